// Package node holds the parts that every process of the system has: identity,
// clock, event recorder, logger, metrics, heartbeats and the count of work in
// progress.
package node
