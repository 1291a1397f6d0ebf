package sse

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against part of an event being passed on when a target stops in its
// middle: a resumed stream would then repeat those bytes.
func TestOnlyWholeEventsAreReturned(t *testing.T) {
	var s Splitter
	require.Equal(t, "id: 1\ndata: a\n\n", string(s.Push([]byte("id: 1\ndata: a\n\nid: 2\nda"))))
	require.Equal(t, "1", s.LastID())
	require.True(t, s.Incomplete())
	s.Reset()
	require.Equal(t, "id: 2\r\ndata: b\r\n\r\n", string(s.Push([]byte("id: 2\r\ndata: b\r\n\r\n"))))
	require.Equal(t, "2", s.LastID())
	require.Equal(t, 2, s.Events())
}

// Guards against results that depend on how the bytes were split on the way.
func TestSplitAnywhere(t *testing.T) {
	const stream = "id: 1\ndata: a\n\nskylark: 3\nid: 2\ndata: b\n\nid: 3\n\n"
	rapid.Check(t, func(t *rapid.T) {
		var s Splitter
		var got []byte
		for rest := []byte(stream); len(rest) > 0; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "n")
			got = append(got, s.Push(rest[:n])...)
			rest = rest[n:]
		}
		require.Equal(t, stream, string(got))
		require.Equal(t, "3", s.LastID())
	})
}
