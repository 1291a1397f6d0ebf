// Package experiment compares routing policies and admission rules in virtual
// time. It replays recorded arrivals against simple targets: an engine with
// slots, a prefix cache and a cold state, behind the real admission controller.
// Equal seeds give equal results.
package experiment
