package errkind

import (
	"context"
	"io"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/assert"
)

// Guards against adding a kind to the list but not to the table, and against two
// kinds with the same name.
func TestTableIsComplete(t *testing.T) {
	seen := map[string]bool{}
	for _, k := range All() {
		response := k.Response()
		assert.NotEmpty(t, response.Name, "kind %d", k)
		assert.NotZero(t, response.Status, "kind %s", k)
		assert.False(t, seen[response.Name], "name %s is used twice", response.Name)
		seen[response.Name] = true
		got, ok := ParseKind(response.Name)
		assert.True(t, ok)
		assert.Equal(t, k, got)
	}
}

// Guards against telling a caller to retry a call that may already have run.
func TestRetryableImpliesNotRun(t *testing.T) {
	for _, k := range All() {
		response := k.Response()
		if response.Retryable && k != StoreUnavailable {
			assert.Equal(t, NotRun, response.DidRun, "kind %s", k)
		}
	}
}

// Guards against losing the kind when an error is wrapped.
func TestFromKeepsKind(t *testing.T) {
	wrapped := errors.WithMessage(New(Leaving, "target %s", "a"), "dispatch")
	for _, tc := range []struct {
		err  error
		want Kind
	}{
		{wrapped, Leaving},
		{context.Canceled, Canceled},
		{context.DeadlineExceeded, DeadlineExceeded},
		{io.EOF, Internal},
		{nil, Unspecified},
	} {
		assert.Equal(t, tc.want, KindOf(tc.err))
	}
}
