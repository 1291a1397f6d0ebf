// Package gateway is the process that answers callers. It forwards each request
// to a target that it chooses itself, keeps to the limits that all instances
// share, and learns configuration and targets from the key-value service or,
// where that fails, from the other instances.
//
// A request goes through handler.go (accept), queue.go (a place at a target, or a
// refusal), attempt.go (send, and what a failure means), stream.go (events),
// and report.go (own answers, log line). callers.go accepts connections, and
// stop.go ends the process without cutting requests.
//
// What the instance believes is owned by one goroutine: control.go takes in
// changes and publishes snapshots, watch.go reads the service, watchers.go
// decides which instances do so, peers.go and peertable.go exchange heartbeats
// and changes with the others, registry.go keeps the instance's own record, and
// addresses.go answers which addresses callers should use.
package gateway
