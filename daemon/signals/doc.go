// Package signals registers the signals of a process once, at its start, and keeps
// them registered until its exit. A signal without a registration has its default
// action, which ends the process and interrupts its requests. A registration must
// therefore not depend on a context that ends earlier than the work.
package signals
