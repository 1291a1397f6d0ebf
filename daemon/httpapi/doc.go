// Package httpapi holds what the HTTP listeners of all roles share: the error
// response, the per-request state, the status endpoints and the limits of a
// server.
package httpapi
