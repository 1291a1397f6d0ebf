// Package balancer defines the interfaces of routing policies and what they
// share. A policy is a Builder that makes an immutable Picker from a snapshot of
// the targets; the only thing that changes under a picker is the counters of
// this entry's own requests.
package balancer
