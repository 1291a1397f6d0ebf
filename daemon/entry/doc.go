// Package entry is the role of an entry instance: it answers callers and
// operators over HTTP and sends work to target processes. One goroutine owns
// the control state and publishes immutable snapshots; traffic only reads them.
package entry
