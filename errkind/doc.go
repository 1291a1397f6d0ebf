// Package errkind defines the closed list of error kinds and the table that maps
// each kind to the response that a caller receives. Every error that leaves a
// process has one of these kinds.
package errkind
