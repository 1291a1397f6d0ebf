// Package caller is the client library for callers. A Client fetches the ranked
// addresses of the entries, caches them for their time to live, and fails over to
// the next address when an entry fails.
package caller
