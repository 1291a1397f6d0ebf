// Package balancer defines the interfaces of routing policies.
package balancer
