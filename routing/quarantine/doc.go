// Package quarantine finds the parts of prompts that crash targets, also known
// as poison requests, and keeps the list of those that are quarantined.
//
// A Ledger holds the crashes of targets that instances have reported, each with
// the parts of the requests that the target had just begun to work on. A part
// that is merely frequent is among them too, but requests with it complete
// elsewhere, which a part that crashes every target never sees. decide.go
// chooses the parts to quarantine, and state.go exchanges the crash reports between
// instances: merging is commutative and idempotent, so that every instance
// reaches the same crash reports whatever way it takes.
//
// The package does no input or output and reads no clock.
package quarantine
