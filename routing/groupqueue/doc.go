// Package groupqueue decides which requests of all instances get the room of a rank
// group, in which order, and which are rejected. It has no I/O and reads no clock.
//
// The load that it answers: more requests than a group can serve in time arrive at
// many instances, each of which sees a few of them. If each instance decided by
// itself, one would serve its least urgent request while the urgent ones of another
// wait. So the process that coordinates the group keeps one queue for all instances.
// The more urgent request goes first; among equally urgent ones those that have come
// back after a rejection, then those that can still meet their latency goal, then the
// one that arrived first. A request that would not start in time is rejected at once,
// with the time at which there will be room. Each rejection moves the time of the next
// one, so that callers return one after the other.
package groupqueue
