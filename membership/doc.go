// Package membership decides which processes are usable and which pairs of
// processes keep sessions. It has no I/O and no clock.
package membership
