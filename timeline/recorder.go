package timeline

import "sync"

// Recorder keeps the latest events of one process in a ring buffer of fixed size.
type Recorder struct {
	clock       *Clock
	process     string
	dataCentre  string
	incarnation uint64

	mu           sync.Mutex
	events       []Event
	nextSequence uint64
}

// NewRecorder returns a recorder that keeps the last size events.
func NewRecorder(clock *Clock, process, dataCentre string, incarnation uint64, size int) *Recorder {
	return &Recorder{
		clock:       clock,
		process:     process,
		dataCentre:  dataCentre,
		incarnation: incarnation,
		events:      make([]Event, size),
	}
}

// Record adds an event and sets its process, sequence number and timestamp. It
// also sets the data centre to that of the process if the event has none.
func (r *Recorder) Record(e Event) { r.RecordAt(0, e) }

// RecordAt is like Record for an event that happened at an earlier timestamp;
// zero means now. The timestamp orders an event before its effects, even if the
// event is known only after they may have begun.
func (r *Recorder) RecordAt(at Timestamp, e Event) {
	e.Process, e.Incarnation = r.process, r.incarnation
	if e.DataCentre == "" {
		e.DataCentre = r.dataCentre
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if e.At = at; at == 0 {
		e.At = r.clock.Now()
	}
	e.Sequence = r.nextSequence
	r.events[r.nextSequence%uint64(len(r.events))] = e
	r.nextSequence++
}

// Since returns the kept events starting at the given sequence number, and how
// many of the requested ones were overwritten.
func (r *Recorder) Since(sequence uint64) (events []Event, overwritten uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	size := uint64(len(r.events))
	oldest := uint64(0)
	if r.nextSequence > size {
		oldest = r.nextSequence - size
	}
	if sequence < oldest {
		overwritten = oldest - sequence
		sequence = oldest
	}
	for s := sequence; s < r.nextSequence; s++ {
		events = append(events, r.events[s%size])
	}
	return events, overwritten
}
