// Package wire transports protobuf messages between skylarkstep's own processes.
// A Session is an authenticated yamux session over TCP with one control stream
// and a limited number of work streams. Every message is prefixed by its length.
package wire
