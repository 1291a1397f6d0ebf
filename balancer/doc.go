// Package balancer defines the interfaces of routing policies and the load
// estimates that they share. A policy is a Builder that makes a Picker from a
// snapshot of the targets. The snapshot of a picker never changes; only the
// counters of this entry's own requests do.
package balancer
