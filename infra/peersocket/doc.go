// Package peersocket asks the kernel about the other end of a TCP connection: whether
// it has closed the connection, and when it last sent something. A process that gets
// little processor time reads requests, and learns that their senders have left, long
// after the kernel.
package peersocket
