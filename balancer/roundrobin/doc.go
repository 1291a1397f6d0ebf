// Package roundrobin picks the targets in turn.
//
// Reports of any age, or none, make no difference to the choice itself; package
// locality reads them for the spill-over. Several entries do not herd on a
// report, but entries that start together send to the same target at the same
// time; each one starts at a random position for that reason.
package roundrobin
