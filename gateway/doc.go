// Package gateway implements the load balancer that accepts the requests of
// callers. It chooses a target for each request and forwards the request to it,
// enforces the limits that all instances share, and receives configuration and
// targets from the key-value store or, when the store is unreachable, from the
// other instances.
//
// A request passes through handler.go (validation and routing), queue.go (a
// free slot at a target, or a rejection), attempt.go (sending, classification
// of failures and retries), stream.go (server-sent events) and report.go (the
// gateway's own error responses and the log line). callers.go accepts
// connections, and stop.go shuts the process down without interrupting
// requests.
//
// One goroutine owns the instance's view of the deployment: control.go applies
// changes and publishes snapshots, watch.go reads the store, watchers.go
// selects the instances that watch the store, peers.go and peertable.go
// exchange heartbeats and changes with the other instances, registry.go encodes
// the instance's own record, and addresses.go returns the addresses that
// callers should use.
package gateway
