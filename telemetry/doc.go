// Package telemetry provides what processes need to be observed: a writer for
// log lines that never blocks, and metrics in the Prometheus text format.
package telemetry
