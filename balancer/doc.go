// Package balancer defines the interfaces of routing policies and the load
// estimates that they share. A policy is a Builder that makes a Picker from a
// snapshot of the targets. The snapshot of a picker never changes; only the
// counters of this entry's own requests change.
//
// Entries herd if they all send to the same targets at the same time, for example
// because they have the same stale load report. The documentation of each policy
// says whether this can happen.
package balancer
