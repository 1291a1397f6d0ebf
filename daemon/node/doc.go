// Package node holds what every process of the system has: its identity, clock,
// event record, logger and metrics.
package node
