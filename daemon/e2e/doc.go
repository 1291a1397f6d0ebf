// Package e2e holds tests that run skylarkd as separate processes over TCP. The
// stand-ins run in the test process. A test ends, pauses and resumes only the
// processes that it started itself.
package e2e
