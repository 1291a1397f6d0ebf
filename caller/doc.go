// Package caller is the client library for callers. A Client asks the system
// which addresses to use, keeps the answer for its time to live, and goes on at
// the next address when an entry fails.
package caller
