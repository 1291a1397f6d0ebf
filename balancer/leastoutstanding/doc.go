// Package leastoutstanding picks the target with the fewest requests of this
// entry in progress, with a random choice among equals. A pick looks at every
// target, so its time grows with their number.
//
// Reports of any age, or none, make no difference to the choice itself; package
// locality reads them for the spill-over. Entries do not herd on a report, but
// each knows only its own requests: with many entries, most counts are 0 or 1
// and the choice becomes random.
package leastoutstanding
