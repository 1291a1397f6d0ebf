// Package caller is the Go client library for callers.
package caller
