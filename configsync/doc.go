// Package configsync accepts changes of the configuration at the key-value
// service and keeps the revision in force in each process. Store does I/O;
// Replica and Judge are pure state machines that take the time as an argument.
package configsync
