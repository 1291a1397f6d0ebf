// Package upstream sends HTTP/1.1 requests to one target over kept connections.
// Unlike net/http it never sends a request a second time by itself, tells
// whether any byte of a request may have reached the target, and takes an
// answer only if it repeats the id of the request.
package upstream
