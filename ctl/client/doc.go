// Package client is a client for the operator API of the entries.
package client
