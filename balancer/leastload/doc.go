// Package leastload picks the best of four random targets by their requests times
// the service time over the limit: the time until a new request is served,
// without regard to the length of the others. Counting expected tokens instead
// (package twowork) was worse in every measurement, since callers ask for more
// tokens than they get and a free slot matters more than the length of the work
// in the other slots.
//
// Limit and service time come from the last report of any age. The other
// entries' requests count fully from a report of age 0, and are replaced by the
// mean of the data centre with age: 1% of the difference is left at 0.5 s and
// nothing at 2 s and 10 s. This entry's own requests are exact at any age. No
// report: the own requests over an assumed limit of 2. Entries with the same
// stale report do not herd, since what differs in it between targets is forgotten
// and each entry compares four random targets.
package leastload
