// Package roundrobin picks the targets in turn.
//
// The choice does not use load reports; only package locality uses them, for the
// spill-over. Entries therefore do not herd on a report. But entries that start at
// the same time would all send to the same target, so each one starts at a random
// position.
package roundrobin
