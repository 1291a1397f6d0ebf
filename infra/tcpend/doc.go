// Package tcpend makes a reset of a TCP connection known to its reader. The kernel reports
// the error of a connection once, to a read or a write. If a write gets it, the next read
// finds an ordinary end: a response without a length whose connection was reset while its
// request was still being written would look complete.
package tcpend
