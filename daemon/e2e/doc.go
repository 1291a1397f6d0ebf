// Package e2e holds tests that run skylarkd as separate processes over TCP. The
// stand-ins for engines, services and the key-value store run in the test process.
// A test stops, pauses and resumes only the processes that it started itself.
package e2e
