// Package timeline records events with a hybrid logical clock and merges the
// records of all processes.
package timeline
