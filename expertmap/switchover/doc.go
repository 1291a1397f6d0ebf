// Package switchover changes the expert map of a rank group whose ranks take
// single orders: prepare, arm, disarm, hold and go. It decides from the states
// that the ranks report and does no I/O, so that it does not matter which
// orders were lost, which came late, and which coordinator sent them.
//
// The order of a switch keeps every pass on one map:
//
//  1. Prepare the map on all ranks. Its version is used for one content only.
//  2. When all report it prepared, hold a coming step at one rank.
//  3. When the hold is reported, arm all ranks for that step.
//  4. When all report that they are armed, let the held step go.
//
// An arm whose answer was lost may still come later. It does no harm while the
// step is held, and the rank refuses it once the step has begun. So a switch
// that has begun to arm is always finished, by whoever coordinates: the group
// stays held until every rank is seen armed.
package switchover
