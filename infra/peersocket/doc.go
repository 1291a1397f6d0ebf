// Package peersocket asks the kernel what it knows of the other end of a TCP
// connection and has not told this process yet. A process that gets little processor
// time reads requests, and learns that their senders have left, long after the kernel.
package peersocket
