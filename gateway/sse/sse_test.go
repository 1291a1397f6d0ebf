package sse

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// push returns the complete events.
func push(t require.TestingT, s *Splitter, p string) string {
	out, err := s.Push([]byte(p))
	require.NoError(t, err)
	return string(out)
}

// Guards against part of an event being passed on when a target stops in its
// middle: a resumed stream would then repeat those bytes.
func TestOnlyWholeEventsAreReturned(t *testing.T) {
	var s Splitter
	require.Equal(t, "id: 1\ndata: a\n\n", push(t, &s, "id: 1\ndata: a\n\nid: 2\nda"))
	require.Equal(t, "1", s.LastID())
	require.True(t, s.Incomplete())
	s.Reset()
	require.Equal(t, "id: 2\r\ndata: b\r\n\r\n", push(t, &s, "id: 2\r\ndata: b\r\n\r\n"))
	require.Equal(t, "2", s.LastID())
	require.Equal(t, 2, s.Events())
}

// Guards against results that depend on how the bytes were split on the way.
func TestSplitAnywhere(t *testing.T) {
	const stream = "id: 1\ndata: a\n\nskylark: 3\nid: 2\ndata: b\n\nid: 3\n\n"
	rapid.Check(t, func(t *rapid.T) {
		var s Splitter
		var got string
		for rest := []byte(stream); len(rest) > 0; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "n")
			got += push(t, &s, string(rest[:n]))
			rest = rest[n:]
		}
		require.Equal(t, stream, got)
		require.Equal(t, "3", s.LastID())
	})
}

// Guards against a stream without end that is buffered completely, or whose bytes
// are forwarded as events. What precedes them must be forwarded.
func TestBytesThatAreNoEvent(t *testing.T) {
	const good = ": comment\r\n\r\nskylarkstep-version: 3\nid: 1\nevent: token\ndata: a\ndata\n\nid:2\n\nretry: 5\n\n"
	for _, c := range []struct {
		name, unit string
		want       error
	}{
		{"a line without end", "data", ErrTooLarge},
		{"an event without end", "data: a\n", ErrTooLarge},
		{"comments without end", ": a\n", ErrTooLarge},
		{"fields without end", "x: a\r\n", ErrTooLarge},
		{"zeros", "\x00\x00\n", ErrMalformed},
		{"text", "some text\n", ErrMalformed},
		{"text with a blank line", "some text\n\n", ErrMalformed},
		{"text with a colon", "HTTP/1.1 200: OK\n", ErrMalformed},
		{"JSON", "{\"error\":1}\n", ErrMalformed},
		{"an event without an id", "data: a\n\n", ErrNoID},
	} {
		t.Run(c.name, func(t *testing.T) {
			var s Splitter
			out, err := s.Push([]byte(good))
			require.NoError(t, err)
			require.Equal(t, good, string(out))
			for pushed := 0; err == nil && pushed < 4*MaxEventBytes; pushed += len(c.unit) {
				out, err = s.Push([]byte(c.unit))
				require.Empty(t, out)
			}
			require.ErrorIs(t, err, c.want)
			require.LessOrEqual(t, len(s.buf), MaxEventBytes+len(c.unit))
			require.Equal(t, "2", s.LastID())
			require.Equal(t, 2, s.Events())
			s.Reset()
			require.Equal(t, "id: 3\n\n", push(t, &s, "id: 3\n\n"))
		})
	}
}

// Guards against ids that are required of a stream that cannot be resumed and has
// none, and against data without an id in a stream that may be resumed.
func TestIDsOfEvents(t *testing.T) {
	var s Splitter
	require.Equal(t, "data: a\n\ndata: b\n\n", push(t, &s, "data: a\n\ndata: b\n\n"))
	require.Equal(t, 2, s.Events())
	s = Splitter{RequireIDs: true}
	require.Equal(t, ": a\n\n", push(t, &s, ": a\n\n"))
	out, err := s.Push([]byte("id: 1\ndata: a\n\ndata: b\n\n"))
	require.ErrorIs(t, err, ErrNoID)
	require.Equal(t, "id: 1\ndata: a\n\n", string(out))
}

// Guards against a long line that is scanned again with each of its bytes, and
// that thereby occupies a core.
func TestEachLineIsScannedOnce(t *testing.T) {
	var s Splitter
	start := time.Now()
	for range MaxEventBytes / 2 {
		require.Empty(t, push(t, &s, ":\n"))
	}
	require.Less(t, time.Since(start), time.Second)
}
