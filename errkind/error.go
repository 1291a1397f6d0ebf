package errkind

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Error is an error with a kind. DidRun and RetryAfter are set by the process
// that raised the error, from what it can tell about the call.
type Error struct {
	Kind       Kind
	DidRun     DidRun
	RetryAfter time.Duration
	Message    string
	cause      error
}

// New returns an error whose DidRun is the default of the kind.
func New(k Kind, format string, args ...any) *Error {
	return &Error{Kind: k, DidRun: k.Response().DidRun, Message: fmt.Sprintf(format, args...)}
}

// Wrap returns an error of the given kind with cause as its cause.
func Wrap(cause error, k Kind, format string, args ...any) *Error {
	e := New(k, format, args...)
	e.cause = cause
	return e
}

// WithDidRun returns a copy of the error with another DidRun.
func (e *Error) WithDidRun(d DidRun) *Error {
	c := *e
	c.DidRun = d
	return &c
}

// WithRetryAfter returns a copy of the error with the time after which the
// caller should retry.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// Error implements error.
func (e *Error) Error() string {
	if e.cause == nil {
		return e.Kind.String() + ": " + e.Message
	}
	return e.Kind.String() + ": " + e.Message + ": " + e.cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// From returns err as an *Error, or nil for nil. Errors without a kind become
// Internal, except those of a context, which become DeadlineExceeded or Canceled.
func From(err error) *Error {
	var e *Error
	switch {
	case err == nil:
		return nil
	case errors.As(err, &e):
		return e
	case errors.Is(err, context.DeadlineExceeded):
		return Wrap(err, DeadlineExceeded, "the deadline passed")
	case errors.Is(err, context.Canceled):
		return Wrap(err, Canceled, "the caller disconnected or cancelled the request")
	default:
		return Wrap(err, Internal, "unexpected error")
	}
}

// KindOf returns the kind of err, or Unspecified for nil.
func KindOf(err error) Kind {
	if err == nil {
		return Unspecified
	}
	return From(err).Kind
}
