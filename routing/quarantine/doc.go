// Package quarantine finds the requests, and the parts of prompts, that crash
// targets, also known as poison messages, and keeps the list of those that are
// quarantined.
//
// A Ledger holds the crashes of targets that instances have reported, each with
// the requests that the target had just begun to work on and the shared parts of
// their prompts: the suspects. What was merely beside the culprit is among them too,
// but completes elsewhere, which a culprit never does. records.go counts the
// crashes that no known culprit explains against each suspect, request.go chooses
// requests and decide.go parts to quarantine, and state.go exchanges the crash
// reports between instances: merging is commutative and idempotent, so that every
// instance reaches the same crash reports whatever way it takes.
//
// The package does no input or output and reads no clock.
package quarantine
