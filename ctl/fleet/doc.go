// Package fleet runs gateways as on the users' platform in this process, against
// stand-in targets on loopback that misbehave as real ones do: they crash on a
// part of a prompt, name a limit, send responses without a length, or break off in
// an event. Beside that, targets crash for other reasons, instances are cut off or
// stopped and started, and the key-value store is away.
//
// scenario.go describes a run, member.go and target.go are its processes,
// traffic.go its callers, faults.go what goes wrong, and check.go compares what
// callers and targets have seen with what they were promised.
package fleet
