// Package httpclient makes the HTTP clients of the product strict: net/http returns some
// responses that are not valid HTTP/1.1, and a peer in trouble may send anything.
package httpclient
