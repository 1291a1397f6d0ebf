// Package client talks to the operators' interface of the entries.
package client
