// Package upstream sends HTTP/1.1 requests to one target over persistent
// connections. Unlike net/http, it never resends a request, reports whether any
// byte of a request may have reached the target, and accepts a response only if
// it carries the id of the request. The head of a response is limited in size
// and in time.
package upstream
