// Package crashguard keeps the requests, and parts of prompts, that crash targets
// away from them.
//
// A Guard is shared by the goroutines that serve requests: it admits a request,
// lets one request at a time probe a suspect, and ends requests in progress whose
// subject is quarantined. An Owner belongs to the control goroutine of an
// instance: it holds the crash reports, exchanges them with other instances,
// decides with package quarantine, and publishes the decisions to the Guard.
// tracker.go remembers which subjects are frequent and which completed, wire.go
// and record.go encode crash reports for other instances and for the store.
package crashguard
