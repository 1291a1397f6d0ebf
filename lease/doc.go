// Package lease acquires and keeps leases on the key-value store and provides
// the fencing number of the holder. A holder stops by its own monotonic clock
// before its lease can expire at the store, unless Options.KeepDuringOutage is
// set.
package lease
