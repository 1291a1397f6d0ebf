// Package twowork compares two random targets and picks the one whose work and the
// new request are estimated to be done first. The estimate is the expected tokens
// (or calls) queued and running, times the service time of one, over the limit.
//
// The age of a report has the same effect as in package leastload, on tokens instead
// of requests. Entries with the same stale report do not herd: the differences
// between targets in it no longer count, and each entry compares two random targets.
package twowork
