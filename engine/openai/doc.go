// Package openai is a client of model engines that speak the OpenAI-style
// completions format with server-sent events, extended by offsets, resume,
// load reports, cache transfer and orders.
package openai
