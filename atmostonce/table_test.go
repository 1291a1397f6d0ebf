package atmostonce

import (
	"flag"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestMain fixes the seed of the property test unless the command line sets
// one.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("20261204")
	}
	os.Exit(m.Run())
}

var t0 = time.UnixMilli(1764817200000)

func newTable(retention time.Duration, maxBytes int) *Table {
	return NewTable("app", "app-1", 7, Limits{Retention: retention, MaxBytes: maxBytes})
}

// begin begins an operation that must be absent.
func begin(t require.TestingT, tb *Table, id ID) {
	started, _, err := tb.Begin(id, req("a"), id.Issued)
	require.NoError(t, err)
	require.True(t, started)
}

func req(customer string) Request { return Request{Customer: customer, Digest: [32]byte{1}} }

// Guards against a wrong result of Begin in any state, above all a second run.
func TestBeginInEachState(t *testing.T) {
	id := NewID("app", "app-1", 7, t0)
	for _, tc := range []struct {
		name  string
		setUp func(*Table)
		after time.Duration
		want  State
	}{
		{"running", func(tb *Table) { begin(t, tb, id) }, DefaultRetention, Running},
		{"finished", func(tb *Table) { begin(t, tb, id); tb.Finish(id, &Response{Status: 200}, t0) }, 0, Finished},
		{"failed", func(tb *Table) { begin(t, tb, id); tb.Fail(id, t0) }, 0, Unknown},
		{"aborted", func(tb *Table) { begin(t, tb, id); tb.Abort(id, t0) }, 0, Closed},
		{"closed before it began", func(tb *Table) { tb.Close(id, t0) }, 0, Closed},
		{"evicted", func(tb *Table) { begin(t, tb, id); tb.Finish(id, &Response{}, t0) }, DefaultRetention, Unknown},
		{"evicted when closed", func(tb *Table) { tb.Close(id, t0) }, DefaultRetention, Unknown},
	} {
		t.Run(tc.name, func(t *testing.T) {
			tb := newTable(DefaultRetention, DefaultMaxBytes)
			tc.setUp(tb)
			started, got, err := tb.Begin(id, req("a"), t0.Add(tc.after))
			require.NoError(t, err)
			assert.False(t, started)
			assert.Equal(t, tc.want, got.State)
		})
	}
}

// Guards against running, or stating the outcome of, an id that this
// incarnation does not own, and against an id from the future that would raise
// the eviction horizon.
func TestForeignAndFutureIDsAreUnknown(t *testing.T) {
	for name, id := range map[string]ID{
		"other incarnation": NewID("app", "app-1", 8, t0),
		"other target":      NewID("app", "app-2", 7, t0),
		"other back end":    NewID("web", "app-1", 7, t0),
		"future":            NewID("app", "app-1", 7, t0.Add(2*maxIssueLead)),
	} {
		t.Run(name, func(t *testing.T) {
			tb := newTable(DefaultRetention, DefaultMaxBytes)
			started, got, err := tb.Begin(id, req("a"), t0)
			require.NoError(t, err)
			assert.False(t, started)
			assert.Equal(t, Unknown, got.State)
			assert.Equal(t, Unknown, tb.Close(id, t0).State)
			assert.Equal(t, Unknown, tb.Outcome(id, "a", t0).State)
		})
	}
}

// Guards against a customer that reads or replays the response of another, and
// against a retry that gets the response of another request.
func TestAnswerBelongsToItsRequest(t *testing.T) {
	tb := newTable(DefaultRetention, DefaultMaxBytes)
	id := NewID("app", "app-1", 7, t0)
	begin(t, tb, id)
	tb.Finish(id, &Response{Status: 200, Body: []byte("booked")}, t0)
	assert.Equal(t, Outcome{State: Unknown}, tb.Outcome(id, "b", t0))
	for _, other := range []Request{req("b"), {Customer: "a", Digest: [32]byte{2}}} {
		_, got, err := tb.Begin(id, other, t0)
		require.ErrorIs(t, err, ErrRequestMismatch)
		assert.Nil(t, got.Response)
	}
}

// Guards against a table that grows without limit.
func TestSizeIsBounded(t *testing.T) {
	tb := newTable(DefaultRetention, 16<<10)
	for i := range 1000 {
		id := NewID("app", "app-1", 7, t0.Add(time.Duration(i)*time.Millisecond))
		begin(t, tb, id)
		tb.Finish(id, &Response{Body: make([]byte, 1000)}, id.Issued)
		require.LessOrEqual(t, tb.Bytes(), 16<<10)
	}
	assert.Positive(t, tb.Len())
}

// Guards against a second run, a closed id that runs, and the response of
// another request, under any order of calls and evictions.
func TestTableRunsEachIDAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		tb := newTable(time.Second, rapid.SampledFrom([]int{2 << 10, 1 << 20}).Draw(rt, "max bytes"))
		successor := NewTable("app", "app-2", 9, Limits{Retention: time.Hour, MaxBytes: 1 << 20})
		now := t0
		var ids []ID
		runs, closed, inProgress := map[ID]int{}, map[ID]bool{}, map[ID]bool{}
		check := func(id ID, o Outcome) {
			if o.State == Closed {
				closed[id] = true
			}
			if o.State == Finished && string(o.Response.Body) != id.String() {
				rt.Fatalf("id %s got the response of %s", id, o.Response.Body)
			}
			if closed[id] && runs[id] > 0 {
				rt.Fatalf("id %s is closed but ran", id)
			}
		}
		pick := func() ID { return rapid.SampledFrom(ids).Draw(rt, "id") }
		issue := func(*rapid.T) {
			age := time.Duration(rapid.IntRange(0, 2000).Draw(rt, "age")) * time.Millisecond
			ids = append(ids, NewID("app", "app-1", 7, now.Add(-age)))
		}
		issue(rt)
		rt.Repeat(map[string]func(*rapid.T){
			"issue": issue,
			"advance": func(*rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(rt, "step")) * time.Millisecond)
			},
			"begin": func(*rapid.T) {
				id := pick()
				started, o, err := tb.Begin(id, req("a"), now)
				require.NoError(rt, err)
				if started {
					runs[id]++
					inProgress[id] = true
				}
				check(id, o)
			},
			"settle": func(*rapid.T) {
				id := pick()
				if !inProgress[id] {
					return
				}
				delete(inProgress, id)
				switch rapid.IntRange(0, 2).Draw(rt, "how") {
				case 0:
					tb.Finish(id, &Response{Body: []byte(id.String())}, now)
				case 1:
					tb.Fail(id, now)
				default:
					runs[id]-- // nothing was written to the back end
					tb.Abort(id, now)
					closed[id] = true
				}
			},
			"close":   func(*rapid.T) { id := pick(); check(id, tb.Close(id, now)) },
			"outcome": func(*rapid.T) { id := pick(); check(id, tb.Outcome(id, "a", now)) },
			"hand over": func(*rapid.T) {
				for _, s := range tb.Export(now) {
					successor.Import(s, now)
				}
				id := pick()
				started, o, err := successor.Begin(id, req("a"), now)
				require.NoError(rt, err)
				require.False(rt, started)
				check(id, o)
			},
			"": func(*rapid.T) {
				for id, n := range runs {
					if n > 1 {
						rt.Fatalf("id %s ran %d times", id, n)
					}
					check(id, Outcome{})
				}
			},
		})
	})
}
