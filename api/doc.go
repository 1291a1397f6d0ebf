// Package api contains the goa design of the HTTP APIs for callers and operators,
// and the code generated from it.
package api

//go:generate goa gen github.com/skylarkstep/skylarkstep/api/design
