// Package load sends open-loop load to a deployment, brings about the faults of
// a scenario, and compares what callers saw with what back ends executed.
package load
