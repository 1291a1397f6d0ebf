// Package expertmap switches and plans the expert maps of rank groups.
//
// Rank, FencingGuard and Coordinator are pure state machines: they take and
// return messages, do no I/O and read no clock. docs/design.md, section 9,
// gives the argument why all ranks of a group use the same map in each step.
package expertmap
