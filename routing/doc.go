// Package routing holds the routes, back ends, customers and targets of a
// deployment, and the decisions that need nothing else: which route a request
// takes, which target serves it, whether it may be sent again, and how much a
// target in its warm-up may get. It does no I/O and reads no clock.
package routing
