// Package sse splits a stream of server-sent events into complete events, so
// that an interrupted event is never forwarded.
package sse

import "bytes"

// Splitter buffers bytes and returns complete events.
type Splitter struct {
	buf    []byte
	lastID string
	events int
}

// LastID returns the id of the last complete event that Push returned and that
// has one.
func (s *Splitter) LastID() string { return s.lastID }

// Events returns the number of events with an id or data that Push returned.
func (s *Splitter) Events() int { return s.events }

// Reset discards an incomplete event. It is called before another response
// continues the stream.
func (s *Splitter) Reset() { s.buf = s.buf[:0] }

// Incomplete reports whether bytes of an incomplete event are buffered.
func (s *Splitter) Incomplete() bool { return len(s.buf) > 0 }

// Push adds bytes and returns all complete events, or nil if there are none.
// The result is valid until the next call.
func (s *Splitter) Push(p []byte) []byte {
	s.buf = append(s.buf, p...)
	end := 0
	for {
		n := eventEnd(s.buf[end:])
		if n == 0 {
			break
		}
		s.recordEvent(s.buf[end : end+n])
		end += n
	}
	if end == 0 {
		return nil
	}
	out := bytes.Clone(s.buf[:end])
	s.buf = append(s.buf[:0], s.buf[end:]...)
	return out
}

// eventEnd returns the length of the first event with its blank line, or 0 if
// it is incomplete.
func eventEnd(b []byte) int {
	start := 0
	for {
		i := bytes.IndexByte(b[start:], '\n')
		if i < 0 {
			return 0
		}
		line := bytes.TrimSuffix(b[start:start+i], []byte("\r"))
		start += i + 1
		if len(line) == 0 {
			return start
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
