// Package groupadmission lets all instances share the room of the rank groups. The
// instance that coordinates a group knows the load of its ranks from their agents. It
// derives how many requests the group may hold (package concurrency), sends both to
// the instances that subscribe to the group, and keeps the queue of the requests that
// want a place (package groupqueue). Server is its side, Client that of every
// instance, also of the same process.
//
// While a group has room, instances send their requests without asking. Near its limit
// the group is metered: each request needs a place. If the coordinator falls silent,
// instances go on without its verdicts, as they do before the group has one; what
// reaches the ranks then is still part of the load that they report.
package groupadmission
