package timeline

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against giving an effect an earlier timestamp than its cause when the
// wall clock of the receiver is behind.
func TestObservedTimestampsOrderEffects(t *testing.T) {
	var c Clock
	cause := c.Now() + 1000<<counterBits
	c.Observe(cause)
	assert.Greater(t, c.Now(), cause)
	assert.Greater(t, c.Now(), cause+1)
}

// Guards against overwriting events without reporting it.
func TestRecorderCountsOverwritten(t *testing.T) {
	var c Clock
	r := NewRecorder(&c, "p", "dc", 1, 4)
	for range 6 {
		r.Record(Event{Kind: Refused})
	}
	events, overwritten := r.Since(0)
	assert.Len(t, events, 4)
	assert.EqualValues(t, 2, overwritten)
	assert.EqualValues(t, 2, events[0].Sequence)
	events, overwritten = r.Since(5)
	assert.Len(t, events, 1)
	assert.Zero(t, overwritten)
}

func newEvent(at int, process string, seq uint64, e Event) Event {
	e.At, e.Process, e.Incarnation, e.Sequence, e.RequestID = Timestamp(at), process, 1, seq, "r1"
	return e
}

// Guards against duplicate events when two entries report the same target process,
// and against reporting a process as unreachable that another entry has reached.
func TestMergeKeepsEachEventOnce(t *testing.T) {
	a := newEvent(2, "t1", 0, Event{Kind: BackendStarted})
	b := newEvent(1, "e1", 0, Event{Kind: RequestReceived})
	got := Merge([]Batch{
		{Process: "t1", Events: []Event{a}},
		{Process: "t1", Unreachable: "session is closed"},
		{Process: "t2", Unreachable: "session is closed"},
		{Process: "e1", Events: []Event{b}, Overwritten: 3},
		{Process: "t1", Events: []Event{a}},
	})
	assert.Equal(t, []Event{b, a}, got.Events)
	assert.Equal(t, map[string]string{"t2": "session is closed"}, got.Unreachable)
	assert.Equal(t, map[string]uint64{"e1": 3}, got.Overwritten)
}

// Guards against a value of DidRun that the events do not support.
func TestExplainVerdicts(t *testing.T) {
	received := newEvent(1, "e1", 0, Event{Kind: RequestReceived})
	sent := newEvent(2, "e1", 1, Event{Kind: AttemptStarted, Attempt: 1, Target: "t1"})
	started := newEvent(3, "t1", 0, Event{Kind: BackendStarted, Attempt: 1})
	lost := newEvent(5, "e1", 2, Event{Kind: AttemptEnded, Attempt: 1, Error: "target_lost", DidRun: "unknown"})
	refused := newEvent(4, "e1", 2, Event{Kind: AttemptEnded, Attempt: 1, Error: "leaving", DidRun: "not_run"})
	finishedNotRun := newEvent(6, "e1", 3, Event{Kind: RequestFinished, Error: "leaving", DidRun: "not_run"})
	finishedUnknown := newEvent(6, "e1", 3, Event{Kind: RequestFinished, Error: "target_lost", DidRun: "unknown"})
	second := newEvent(5, "e1", 4, Event{Kind: AttemptStarted, Attempt: 2, Target: "t2"})
	secondRefused := newEvent(5, "e1", 5, Event{Kind: AttemptEnded, Attempt: 2, Error: "leaving", DidRun: "not_run"})
	complete := newEvent(6, "e1", 3, Event{Kind: RequestFinished})
	for _, tc := range []struct {
		name   string
		events []Event
		want   string
	}{
		{"answered", []Event{received, sent, started, complete}, "ran"},
		{"refused", []Event{received, sent, refused, finishedNotRun}, "not_run"},
		{"lost after the back end received the call", []Event{received, sent, started, lost, finishedUnknown}, "unknown"},
		{"lost, target not reached", []Event{received, sent, lost, finishedUnknown}, "unknown"},
		{"reported not_run although the back end received the call", []Event{received, sent, started, finishedNotRun}, "unknown"},
		{"first attempt lost, second refused", []Event{received, sent, lost, second, secondRefused, finishedNotRun}, "unknown"},
		{"no events", nil, "unknown"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			assert.Equal(t, tc.want, Explain("r1", &Timeline{Events: tc.events}).DidRun)
		})
	}
}

// Guards against a filter that selects unrelated events.
func TestFilter(t *testing.T) {
	e := newEvent(1, "t1", 0, Event{Kind: Refused, Customer: "c", Target: "t1", DataCentre: "d"})
	for _, tc := range []struct {
		f    Filter
		want bool
	}{
		{Filter{}, true},
		{Filter{RequestID: "r1", Customer: "c", Target: "t1", DataCentre: "d", Kinds: []Kind{Refused}}, true},
		{Filter{RequestID: "r2"}, false},
		{Filter{Customer: "x"}, false},
		{Filter{Target: "x"}, false},
		{Filter{DataCentre: "x"}, false},
		{Filter{Kinds: []Kind{StopStep}}, false},
	} {
		assert.Equal(t, tc.want, tc.f.Match(&e), "%+v", tc.f)
	}
}
