// Package gateway is the process that answers callers. It forwards each request
// to a target that it chooses itself, keeps to the limits that all instances
// share, and learns configuration and targets from the key-value service or,
// where that fails, from the other instances.
package gateway
