// Package concurrency decides how many requests a rank group may hold at the same
// time. It has no I/O and reads no clock.
//
// The load that it answers: all ranks of a group make each pass together, and a pass
// takes longer the more requests are in progress and the less the expert map fits
// the load. When the expert load shifts under many streams, all of them pause for
// longer than their callers accept, they stay for longer, and the group remains
// overloaded after the cause has gone. A limit on the requests in progress, derived
// from the pace of the last seconds, keeps most streams in time and lets the group
// recover. It ends no request in progress.
package concurrency
