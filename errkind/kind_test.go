package errkind

import (
	"context"
	"io"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/assert"
)

// Guards against a kind that is added to the list but not to the table, and
// against two kinds that share a name.
func TestTableIsComplete(t *testing.T) {
	seen := map[string]bool{}
	for _, k := range All() {
		a := k.Response()
		assert.NotEmpty(t, a.Name, "kind %d", k)
		assert.NotZero(t, a.Status, "kind %s", k)
		assert.False(t, seen[a.Name], "name %s is used twice", a.Name)
		seen[a.Name] = true
		got, ok := ParseKind(a.Name)
		assert.True(t, ok)
		assert.Equal(t, k, got)
	}
}

// Guards against telling a caller to repeat a call that may already have run.
func TestMayRepeatImpliesNotRun(t *testing.T) {
	for _, k := range All() {
		a := k.Response()
		if a.Retryable && k != StoreUnavailable {
			assert.Equal(t, NotRun, a.DidRun, "kind %s", k)
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
