// Package sse splits a stream of server-sent events into complete events, so
// that an interrupted event is never forwarded.
package sse

import (
	"bytes"

	"github.com/pkg/errors"
)

// MaxEventBytes limits an event with its blank line. An event carries the text of
// a few tokens.
const MaxEventBytes = 64 << 10

// ErrTooLarge reports an event that exceeds MaxEventBytes.
var ErrTooLarge = errors.Errorf("an event of the stream exceeds %d bytes", MaxEventBytes)

// Splitter buffers bytes and returns complete events.
type Splitter struct {
	buf []byte
	// lineStart is the index in buf of the first line that is not complete yet.
	// Lines before it are not scanned again.
	lineStart int
	lastID    string
	events    int
}

// LastID returns the id of the last complete event that Push returned and that
// has one.
func (s *Splitter) LastID() string { return s.lastID }

// Events returns the number of events with an id or data that Push returned.
func (s *Splitter) Events() int { return s.events }

// Reset discards an incomplete event. It is called before another response
// continues the stream.
func (s *Splitter) Reset() { s.buf, s.lineStart = s.buf[:0], 0 }

// Incomplete reports whether bytes of an incomplete event are buffered.
func (s *Splitter) Incomplete() bool { return len(s.buf) > 0 }

// Push adds bytes and returns all complete events, or nil if there are none.
// After an error, which may come with events, the rest of the stream is unusable.
func (s *Splitter) Push(p []byte) ([]byte, error) {
	s.buf = append(s.buf, p...)
	end := s.scanLines()
	var out []byte
	if end > 0 {
		out = bytes.Clone(s.buf[:end])
		s.buf = append(s.buf[:0], s.buf[end:]...)
		s.lineStart -= end
	}
	if len(s.buf) > MaxEventBytes {
		return out, ErrTooLarge
	}
	return out, nil
}

// scanLines scans the lines that have become complete. It returns the length of
// the complete events.
func (s *Splitter) scanLines() (end int) {
	for {
		n := bytes.IndexByte(s.buf[s.lineStart:], '\n')
		if n < 0 {
			return end
		}
		line := bytes.TrimSuffix(s.buf[s.lineStart:s.lineStart+n], []byte("\r"))
		s.lineStart += n + 1
		if len(line) == 0 {
			s.recordEvent(s.buf[end:s.lineStart])
			end = s.lineStart
		}
	}
}

// recordEvent counts an event and stores its id.
func (s *Splitter) recordEvent(event []byte) {
	counts := false
	for line := range bytes.Lines(event) {
		line = bytes.TrimRight(line, "\r\n")
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			s.lastID = string(bytes.TrimPrefix(value, []byte(" ")))
			counts = true
		}
		counts = counts || bytes.HasPrefix(line, []byte("data:"))
	}
	if counts {
		s.events++
	}
}
