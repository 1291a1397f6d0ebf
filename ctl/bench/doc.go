// Package bench compares the request path with a bare reverse proxy: the same
// load and the same stand-ins, through each of them in a process of its own.
package bench
