// Package leastload compares four random targets and picks the one with the
// shortest estimated wait: requests times service time over the limit. The estimate
// ignores the length of the requests. Counting expected tokens instead (package
// twowork) was worse in every measurement, since callers request more tokens than
// they get, and a free slot matters more than the length of the work in the other
// slots.
//
// Limit and service time come from the last report, whatever its age. The requests
// of the other entries count fully if the report has an age of 0. With age, they
// are replaced by the mean of the data centre: 1% of the difference is left at
// 0.5 s, and nothing at 2 s and 10 s. This entry's own requests are exact at any
// age. Without a report, the estimate is the own requests over an assumed limit
// of 2.
//
// Entries with the same stale report do not herd: the differences between targets
// in it no longer count, and each entry compares four random targets.
package leastload
