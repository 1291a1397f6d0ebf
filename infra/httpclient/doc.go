// Package httpclient makes the HTTP clients of the product strict. A peer in trouble may
// send anything, and net/http returns some responses that are not valid HTTP/1.1, reads
// heads of up to 10 MB, and follows redirects.
package httpclient
