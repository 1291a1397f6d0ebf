// Package endless provides a stand-in of a faulty HTTP server for tests. It
// responds to each request with bytes that never end.
package endless
