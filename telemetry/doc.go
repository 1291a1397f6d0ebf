// Package telemetry holds what processes use to be observed: a writer for log
// lines that never blocks, and metrics in the Prometheus text format.
package telemetry
