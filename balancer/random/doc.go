// Package random picks a random target. It is the baseline of the measurements.
//
// Reports of any age, or none, make no difference to the choice itself; package
// locality reads them for the spill-over. Entries with the same stale report do
// not herd, since no choice depends on it.
package random
