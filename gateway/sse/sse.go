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

// Errors of a stream.
var (
	ErrTooLarge  = errors.Errorf("an event of the stream exceeds %d bytes", MaxEventBytes)
	ErrMalformed = errors.New("the stream contains a line that is not part of an event")
	ErrNoID      = errors.New("an event of the stream has no id")
)

// Splitter buffers bytes and returns complete events.
type Splitter struct {
	// RequireIDs is set if the stream may be resumed: data without an id would be
	// repeated then. Without it, ids are required once an event has had one.
	RequireIDs bool

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
	end, err := s.scanLines()
	var out []byte
	if end > 0 {
		out = bytes.Clone(s.buf[:end])
		s.buf = append(s.buf[:0], s.buf[end:]...)
		s.lineStart -= end
	}
	if err == nil && len(s.buf) > MaxEventBytes {
		err = ErrTooLarge
	}
	return out, err
}

// scanLines scans the lines that have become complete. It returns the length of
// the complete events.
func (s *Splitter) scanLines() (end int, err error) {
	for {
		n := bytes.IndexByte(s.buf[s.lineStart:], '\n')
		if n < 0 {
			return end, nil
		}
		line := bytes.TrimSuffix(s.buf[s.lineStart:s.lineStart+n], []byte("\r"))
		if !isEventLine(line) {
			return end, ErrMalformed
		}
		s.lineStart += n + 1
		if len(line) == 0 {
			if err := s.recordEvent(s.buf[end:s.lineStart]); err != nil {
				return end, err
			}
			end = s.lineStart
		}
	}
}

// isEventLine reports whether a line may occur in a stream: a blank line, a
// comment, or a field. Targets also send fields that the standard does not
// define, but only the standard ones may lack the colon. Arbitrary bytes with
// line breaks would otherwise be forwarded as events.
func isEventLine(line []byte) bool {
	if len(line) == 0 || line[0] == ':' {
		return true
	}
	name, _, hasValue := bytes.Cut(line, []byte(":"))
	if !hasValue {
		switch string(name) {
		case "data", "event", "id", "retry":
			return true
		}
		return false
	}
	for _, b := range name {
		if !isNameByte(b) {
			return false
		}
	}
	return true
}

func isNameByte(b byte) bool {
	return 'a' <= b && b <= 'z' || 'A' <= b && b <= 'Z' || '0' <= b && b <= '9' || b == '-' || b == '_' || b == '.'
}

// recordEvent counts an event and stores its id.
func (s *Splitter) recordEvent(event []byte) error {
	hasData, hasID, id := false, false, ""
	for line := range bytes.Lines(event) {
		line = bytes.TrimRight(line, "\r\n")
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id, hasID = string(bytes.TrimPrefix(value, []byte(" "))), true
		}
		hasData = hasData || bytes.HasPrefix(line, []byte("data:"))
	}
	switch {
	case hasID:
		s.lastID = id
	case hasData && (s.RequireIDs || s.lastID != ""):
		return ErrNoID
	}
	if hasData || hasID {
		s.events++
	}
	return nil
}
