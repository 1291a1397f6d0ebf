// Package twowork picks the better of two random targets by the estimated time
// until their work and the new request are done: expected tokens (or calls)
// queued and running, times the service time of one, over the limit.
//
// What it does with the age of a report is described in package leastload, for
// tokens instead of requests. Entries with the same stale report do not herd:
// what differs in it between targets is forgotten, and each entry compares two
// random targets.
package twowork
