// Package retry decides whether, when and where a failed attempt is repeated.
// Its parts are pure state machines that take the time and random numbers as
// arguments and are not safe for concurrent use.
package retry
