// Package entry implements the role of an entry instance. An entry serves
// callers and operators over HTTP and dispatches work to target processes. One
// goroutine owns the control state and publishes immutable snapshots; request
// handlers only read these.
package entry
