// Package lease holds leases on the key-value service and their fencing numbers.
package lease
