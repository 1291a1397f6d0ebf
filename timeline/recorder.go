package timeline

import "sync"

// Recorder keeps the latest events of one process in a bounded ring.
type Recorder struct {
	clock       *Clock
	process     string
	dataCentre  string
	incarnation uint64

	mu   sync.Mutex
	ring []Event
	next uint64
}

// NewRecorder returns a recorder that keeps size events.
func NewRecorder(clock *Clock, process, dataCentre string, incarnation uint64, size int) *Recorder {
	return &Recorder{
		clock:       clock,
		process:     process,
		dataCentre:  dataCentre,
		incarnation: incarnation,
		ring:        make([]Event, size),
	}
}

// Record adds an event and stamps it with the process and the time. The data
// centre of the process is filled in when the event names none.
func (r *Recorder) Record(e Event) { r.RecordAt(0, e) }

// RecordAt adds an event that happened at a reading of the clock taken earlier;
// zero means now. An event that became known only after its effects could begin
// keeps its place before them.
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
	e.Sequence = r.next
	r.ring[r.next%uint64(len(r.ring))] = e
	r.next++
}

// Since returns the kept events from the given sequence number on, and how
// many older ones were overwritten.
func (r *Recorder) Since(sequence uint64) (events []Event, overwritten uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	size := uint64(len(r.ring))
	oldest := uint64(0)
	if r.next > size {
		oldest = r.next - size
	}
	if sequence < oldest {
		overwritten = oldest - sequence
		sequence = oldest
	}
	for s := sequence; s < r.next; s++ {
		events = append(events, r.ring[s%size])
	}
	return events, overwritten
}
