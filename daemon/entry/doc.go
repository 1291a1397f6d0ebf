// Package entry implements the role of an entry instance. An entry serves
// callers and operators over HTTP and dispatches work to target processes. One
// goroutine owns the control state and publishes immutable snapshots; request
// handlers only read these.
//
// In each data centre, two entries are watchers: they watch the head of the
// configuration, which names the accepted revision, in the key-value store. All
// other processes pull missing revisions over their sessions. An entry that may
// have missed a change of the configuration is isolated and rejects new work,
// unless the configuration permits it to serve.
package entry
