// Package bench compares the request path with a bare reverse proxy. Both get the
// same load and use the same stand-ins, and each runs in a process of its own.
package bench
