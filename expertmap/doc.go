// Package expertmap switches and plans the expert maps of rank groups.
//
// Rank, Gate and Coordinator are pure state machines: messages in, messages
// out, no I/O and no clock. docs/design.md, section 9, gives the argument why
// all ranks of a group use the same map in each step.
package expertmap
