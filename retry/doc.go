// Package retry decides whether, when and where a failed attempt is repeated.
// Its parts are state machines that take the time and random numbers as
// arguments. They are not safe for concurrent use.
package retry
