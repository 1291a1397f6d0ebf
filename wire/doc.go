// Package wire carries protobuf messages between skylarkstep's own processes.
// A Session is one authenticated yamux session over TCP with a control stream
// and any number of work streams. Every message is prefixed by its length.
package wire
