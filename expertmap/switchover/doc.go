// Package switchover changes the expert map of a rank group whose ranks accept
// single orders: prepare, arm, disarm, hold and go. It derives the next orders
// from the states that the ranks report and does no I/O. It therefore does not
// matter which orders were lost or late, or which coordinator sent them.
//
// The sequence of a switch keeps every forward pass on one map:
//
//  1. Prepare the map on all ranks. A version is used for one map only.
//  2. When all ranks report the map as prepared, let one rank hold a coming
//     step: the group pauses before this held step.
//  3. When that rank reports the hold, arm all ranks for the held step: each
//     uses the new map from that step on.
//  4. When all ranks report that they are armed, send go to the holding rank:
//     the group begins the held step.
//
// An arm order that got no reply may still arrive later. It does no harm while
// the step is held, and the rank refuses it once the step has begun. Once a
// coordinator has begun to arm ranks, every later coordinator therefore finishes
// the switch: the group stays held until all ranks report that they are armed.
//
// States are reports, which may be older than orders that were carried out since.
// History therefore remembers the orders of one coordinator, and a coordinator first
// claims all ranks: after that no order of a lower fencing number can change what
// they report. Finish is for a process without a history.
package switchover
