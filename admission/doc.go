// Package admission decides which requests a target may start, and when. The
// controller combines the warm-up ramp (package ramp) with the fair queue (package
// fairqueue). It does no I/O, reads no clock and starts no goroutine: the caller
// passes in the time and serialises the calls.
//
// Work that cannot start in time is refused on arrival, or as soon as the
// controller can tell, and never starts afterwards. The Retry-After grows with the
// work refused in the last second, so that client retries are spread over the time
// that the target needs to serve them.
package admission
