// Package experiment compares routing policies and admission rules in virtual time.
// It runs the same generated arrivals with each policy against simulated targets. A
// target is an engine with slots, a prefix cache and a warm-up phase, behind the
// real admission controller. Equal seeds give equal results.
package experiment
