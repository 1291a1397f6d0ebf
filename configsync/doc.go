// Package configsync stores changes of the configuration in the key-value store
// and keeps the active revision in each process. Store does I/O. Replica and
// EvaluateFreshness are pure: they do no I/O and read no clock.
package configsync
