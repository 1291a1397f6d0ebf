// Package gateway implements the load balancer that accepts the requests of
// callers. It chooses a target for each request and forwards the request to it,
// enforces the limits that all instances share, and receives configuration and
// targets from the key-value store or, when the store is unreachable, from the
// other instances.
//
// A request passes through handler.go (validation and routing), queue.go (a
// free slot at a target, or a rejection), attempt.go (sending, classification
// of failures and retries), stream.go (server-sent events) and report.go (the
// gateway's own error responses and the log line). crash.go refuses requests that
// crash targets, or have such parts, and records what the result of an attempt says
// about them. targetreport.go records what a target says of itself in a response: the
// rest that it wants, that it leaves, and the limit to which ratelimit.go keeps.
// target.go holds the state of each target and decides by it, and outage.go detects
// that a back end as a whole refuses requests. callers.go accepts connections, and stop.go shuts the process
// down without interrupting requests.
//
// One goroutine owns the instance's view of the deployment: control.go applies
// changes and publishes snapshots, watch.go reads the store, watchers.go
// selects the instances that watch the store, peers.go and peertable.go
// exchange heartbeats and changes with the other instances, quarantine.go exchanges
// crash reports with them (package crashguard decides by these), registry.go encodes
// the instance's own record, and addresses.go returns the addresses that
// callers should use.
package gateway
