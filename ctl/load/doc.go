// Package load sends open-loop load to a deployment, triggers the timed events of
// a scenario, and compares what callers saw with what back ends executed.
package load
