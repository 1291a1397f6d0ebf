// Package httpapi holds what the HTTP listeners of all roles share: the error
// answer, the per-request state, and the limits of a server.
package httpapi
