// Package gateway implements the load balancer that accepts the requests of
// callers. It chooses a target for each request and forwards the request to it,
// enforces the limits that all instances share, and receives configuration and
// targets from the key-value store or, when the store is unreachable, from the
// other instances.
//
// A request passes through handler.go (validation and routing), queue.go (a
// free slot at a target, or a rejection), attempt.go (sending, classification
// of failures and retries), stream.go (server-sent events) and report.go (the
// gateway's own error responses and the log line). crash.go refuses requests with
// parts that crash targets, and records what the result of an attempt says about
// its parts; ratelimit.go keeps to the limits that targets name. target.go records
// the state of each target, and outage.go detects that a back end as a whole
// refuses requests. callers.go accepts connections, and stop.go shuts the process
// down without interrupting requests.
//
// One goroutine owns the instance's view of the deployment: control.go applies
// changes and publishes snapshots, watch.go reads the store, watchers.go
// selects the instances that watch the store, peers.go and peertable.go
// exchange heartbeats and changes with the other instances, quarantine.go decides
// with them which parts of prompts are kept from targets, registry.go encodes
// the instance's own record, and addresses.go returns the addresses that
// callers should use.
package gateway
