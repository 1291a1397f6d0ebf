// Package fairqueue is a weighted fair queue over customers (start-time fair
// queueing). The customer with the smallest virtual start time goes first; each
// piece of work advances that time by its cost divided by the customer's weight.
//
// Priority orders the work of one customer and has no effect between customers.
// Callers set it themselves, so a priority across customers would let one of
// them starve the others.
package fairqueue
