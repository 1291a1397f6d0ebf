// Package openai implements a client for model engines with an OpenAI-style
// completions API that streams server-sent events. The API is extended by token
// offsets, resumption of streams, load reports, cache transfer and orders.
package openai
