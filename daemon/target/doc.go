// Package target is the role of the process in a target's slot. It is the only
// way to the engine or plain service behind it, owns admission, and has the last
// word on whether work may start.
package target
