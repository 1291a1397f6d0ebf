// Package fairqueue implements a weighted fair queue over customers (start-time
// fair queueing). The customer with the smallest virtual start time is served
// first. Each served item advances that time by its cost divided by the
// customer's weight.
//
// Priority orders the items of one customer and has no effect between customers.
// Callers set it themselves, so a priority across customers would let one customer
// starve the others.
package fairqueue
