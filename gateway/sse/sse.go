// Package sse splits a stream of server-sent events into whole events, so that
// an event that was cut is never passed on.
package sse

import "bytes"

// Splitter collects bytes and returns whole events.
type Splitter struct {
	buf    []byte
	lastID string
	events int
}

// LastID returns the id of the last whole event that was returned.
func (s *Splitter) LastID() string { return s.lastID }

// Events returns the number of events that were returned.
func (s *Splitter) Events() int { return s.events }

// Reset drops an incomplete event, before another answer goes on.
func (s *Splitter) Reset() { s.buf = s.buf[:0] }

// Incomplete reports whether bytes of an unfinished event are held.
func (s *Splitter) Incomplete() bool { return len(s.buf) > 0 }

// Push adds bytes and returns the whole events held, or nil. The result is
// valid until the next call.
func (s *Splitter) Push(p []byte) []byte {
	s.buf = append(s.buf, p...)
	end := 0
	for {
		n := eventEnd(s.buf[end:])
		if n == 0 {
			break
		}
		s.note(s.buf[end : end+n])
		end += n
	}
	if end == 0 {
		return nil
	}
	out := bytes.Clone(s.buf[:end])
	s.buf = append(s.buf[:0], s.buf[end:]...)
	return out
}

// eventEnd returns the length of the first event with its blank line, or 0.
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

func (s *Splitter) note(event []byte) {
	data := false
	for line := range bytes.Lines(event) {
		line = bytes.TrimRight(line, "\r\n")
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			s.lastID = string(bytes.TrimPrefix(value, []byte(" ")))
			data = true
		}
		data = data || bytes.HasPrefix(line, []byte("data:"))
	}
	if data {
		s.events++
	}
}
