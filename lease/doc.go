// Package lease holds a lease on the key-value service and hands out the
// fencing number of its holder. A holder stops by its own monotonic clock
// before the lease can lapse at the service.
package lease
