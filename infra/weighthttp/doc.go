// Package weighthttp is a client of the weight store over HTTP.
package weighthttp
