// Package random picks a random target. It is the baseline of the experiments.
//
// The choice does not use load reports; only package locality uses them, for the
// spill-over. Entries with the same stale report therefore do not herd.
package random
