// Package admission decides which requests a target may start, and when. The
// controller joins the warm-up ramp (package ramp) and the fair queue (package
// fairqueue). It has no I/O, no clock and no goroutine: the caller passes the
// time in and serialises the calls.
//
// Work that can't start in time is refused when it arrives, or as soon as that
// becomes clear, and never starts afterwards. The retry-after grows with the
// work refused in the last second, so that the callers come back spread over the
// time that the target needs to serve them.
package admission
