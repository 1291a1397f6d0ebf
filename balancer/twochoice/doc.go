// Package twochoice picks the less loaded of two random targets. The load is the
// number of requests in relation to the limit.
//
// The age of a report has the same effect as in package leastload. The policy does
// not use the service time, so slow targets get as many requests as the others
// until their queues grow. Entries with the same stale report do not herd: the
// differences between targets in it no longer count, and each entry compares two
// random targets.
package twochoice
