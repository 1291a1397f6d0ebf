package load

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const smallScenario = `{"name":"small","seed":3,"duration_ms":2000,"mix":[
 {"name":"book","customer":"c","rate_per_s":50,"back_end":"app","operation":"book"}]}`

// Guards against a schedule that differs between runs with the same seed.
func TestScheduleDependsOnSeedOnly(t *testing.T) {
	a, err := ParseScenario([]byte(smallScenario))
	require.NoError(t, err)
	b, err := ParseScenario([]byte(smallScenario))
	require.NoError(t, err)
	first, second := a.schedule(), b.schedule()
	require.Len(t, second, len(first))
	assert.InDelta(t, 100, len(first), 40)
	for i := range first {
		assert.Equal(t, first[i].at, second[i].at)
	}
	b.Seed++
	assert.NotEqual(t, first[0].at, b.schedule()[0].at)
}

// Guards against a scenario whose misspelt fields are ignored.
func TestInvalidScenarioIsRejected(t *testing.T) {
	_, err := ParseScenario([]byte(`{"name":"x","seed":1,"duration_ms":2000,"mix":[{"name":"a","customer":"c","rate":5}],"evnts":[]}`))
	assert.ErrorContains(t, err, "rate_per_s")
	assert.ErrorContains(t, err, "evnts")
}

// Guards against a report that misses a violated guarantee.
func TestCheckFindsBrokenGuarantees(t *testing.T) {
	book, board := &Flow{Backend: "app", Operation: "book"}, &Flow{Backend: "app", Operation: "board", Idempotent: true}
	outcomes := []outcome{
		{arrival: arrival{id: 0, flow: book}, result: resultComplete},
		{arrival: arrival{id: 1, flow: book}, result: resultComplete},
		{arrival: arrival{id: 2, flow: book}, result: resultNotRun},
		{arrival: arrival{id: 3, flow: book}, result: resultUnknown},
		{arrival: arrival{id: 4, flow: board}, result: resultComplete},
		{arrival: arrival{id: 5, flow: book}, result: resultComplete},
	}
	rep := &Report{}
	rep.checkExecutions(outcomes, map[string]int{"load-0": 2, "load-2": 1, "load-3": 1, "load-4": 2, "load-5": 1})
	assert.Equal(t, Report{Checked: true, DuplicateExecutions: 1, Lost: 1, WrongNotRun: 1, UnknownThatRan: 1}, *rep)
	assert.False(t, rep.GuaranteesHeld())
}

// Guards against coordinated omission: a server that stalls must not delay later
// arrivals, and its delay must show in the latencies.
func TestArrivalsDoNotWaitForAnswers(t *testing.T) {
	s, err := ParseScenario([]byte(smallScenario))
	require.NoError(t, err)
	var arrived atomic.Int64
	release := make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, _ *http.Request) {
		if arrived.Add(1) == int64(len(s.schedule())) {
			close(release)
		}
		<-release
	}))
	defer srv.Close()
	rep, err := Run(context.Background(), s, Deployment{Entries: []string{srv.URL}, Key: func(string) string { return "k" }}, io.Discard)
	require.NoError(t, err)
	assert.Equal(t, len(s.schedule()), rep.Complete)
	assert.Greater(t, rep.Phases[0].P99Ms, 1000.0)
}

// Guards against events that are triggered out of order or not at all.
func TestEventsHappenInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &Scenario{DurationMs: 1000, Events: []Event{{AtMs: 10, Kind: ZoneOut}, {AtMs: 500, Kind: ZoneIn}}}
		var triggered []EventKind
		r := &run{scenario: s, sender: newSender(nil, nil), deployment: Deployment{
			TriggerEvent: func(_ context.Context, e Event) error {
				triggered = append(triggered, e.Kind)
				return nil
			},
		}}
		r.sender.start = time.Now()
		r.triggerEvents(context.Background())
		assert.Equal(t, []EventKind{ZoneOut, ZoneIn}, triggered)
		assert.Equal(t, 500*time.Millisecond, r.triggered[1].at)
	})
}
