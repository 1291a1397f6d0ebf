// Package membership decides which processes are usable, which pairs of
// processes keep sessions, and which instances watch the key-value store. It
// performs no I/O and reads no clock.
package membership
