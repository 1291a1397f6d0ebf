// Package api holds the goa design of the HTTP interfaces for callers and
// operators, and the code generated from it.
package api

//go:generate goa gen github.com/skylarkstep/skylarkstep/api/design
