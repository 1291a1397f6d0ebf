// Package twochoice picks the less loaded of two random targets by the number of
// requests in relation to the limit.
//
// What it does with the age of a report is described in package leastload; it
// does not use the service time, so slow targets get as much as the others until
// their queues grow. Entries with the same stale report do not herd: what differs
// in it between targets is forgotten, and each entry compares two random targets.
package twochoice
