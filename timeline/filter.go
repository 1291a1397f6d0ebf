package timeline

import (
	"slices"
	"time"
)

// Filter selects events. An empty field matches every event.
type Filter struct {
	RequestID   string    `json:"request_id,omitempty"`
	OperationID string    `json:"operation_id,omitempty"`
	Customer    string    `json:"customer,omitempty"`
	Target      string    `json:"target,omitempty"`
	DataCentre  string    `json:"data_centre,omitempty"`
	Kinds       []Kind    `json:"kinds,omitempty"`
	From        time.Time `json:"from,omitzero"`
	To          time.Time `json:"to,omitzero"`
}

// Match reports whether the filter selects the event.
func (f *Filter) Match(e *Event) bool {
	switch {
	case f.RequestID != "" && f.RequestID != e.RequestID,
		f.OperationID != "" && f.OperationID != e.OperationID,
		f.Customer != "" && f.Customer != e.Customer,
		f.Target != "" && f.Target != e.Target && f.Target != e.Process,
		f.DataCentre != "" && f.DataCentre != e.DataCentre,
		len(f.Kinds) > 0 && !slices.Contains(f.Kinds, e.Kind):
		return false
	}
	at := e.At.Time()
	if !f.From.IsZero() && at.Before(f.From) {
		return false
	}
	return f.To.IsZero() || at.Before(f.To)
}

// Batch holds the events of one process that match a filter.
type Batch struct {
	Process     string  `json:"process"`
	Incarnation uint64  `json:"incarnation,string"`
	Events      []Event `json:"events"`
	// Overwritten is the number of requested events that the process no longer
	// keeps.
	Overwritten uint64 `json:"overwritten,omitempty"`
	// Next is the sequence number with which the next query continues.
	Next uint64 `json:"next"`
	// Unreachable is the reason why the process could not be queried, or empty.
	Unreachable string `json:"unreachable,omitempty"`
}

// Query returns up to limit kept events that match the filter, starting at the
// sequence number since.
func (r *Recorder) Query(f *Filter, since uint64, limit int) Batch {
	events, overwritten := r.Since(since)
	b := Batch{Process: r.process, Incarnation: r.incarnation, Overwritten: overwritten, Next: since, Events: []Event{}}
	for i := range events {
		if len(b.Events) == limit {
			return b
		}
		b.Next = events[i].Sequence + 1
		if f.Match(&events[i]) {
			b.Events = append(b.Events, events[i])
		}
	}
	return b
}
