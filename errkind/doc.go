// Package errkind holds the closed list of error kinds and the table that maps
// each kind to the answer that a caller sees. Every error that leaves a
// process carries one of these kinds.
package errkind
