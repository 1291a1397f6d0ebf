// Package routing holds the routes, back ends, customers and targets of a
// deployment, and the decisions that depend on nothing else: which route a
// request takes, which target serves it, whether it may be retried, and how
// many requests a target may get during its warm-up. It performs no I/O and
// reads no clock.
package routing
