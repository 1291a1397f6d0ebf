// Package leastoutstanding picks the target with the fewest requests of this
// entry in progress, and a random one among equals. A pick checks every target, so
// its time grows with their number.
//
// The choice does not use load reports; only package locality uses them, for the
// spill-over. Entries therefore do not herd on a report. But each entry sees only
// its own requests: with many entries, most counts are 0 or 1 and the choice
// becomes random.
package leastoutstanding
