// Package timeline records the events of a process with the timestamps of a hybrid
// logical clock, merges the records of all processes and explains from them what
// happened to a request.
package timeline
