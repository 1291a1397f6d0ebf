package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/routing"
)

func newWorkTimes() *workTimes { return &workTimes{groups: map[workGroup]*workSamples{}} }

var chatGroup = workGroup{route: "chat", backend: "b", kind: routing.Stream}

// Guards against requests that are taken during a stop without knowing how long
// they take, and against an estimate that ignores what other routes of the back
// end show.
func TestWorkTimeNeedsSamples(t *testing.T) {
	w := newWorkTimes()
	for range minWorkSamples - 1 {
		w.record(chatGroup, workSample{took: time.Second})
	}
	_, known := w.estimate(chatGroup, 0)
	require.False(t, known)
	other := workGroup{route: "other", backend: "b", kind: routing.Stream}
	w.record(other, workSample{took: time.Second})
	work, known := w.estimate(chatGroup, 0)
	require.True(t, known, "the requests of both routes are enough")
	require.Equal(t, time.Duration(workMargin*float64(time.Second))+workSlack, work)
	_, known = w.estimate(workGroup{route: "read", backend: "b", kind: routing.Idempotent}, 0)
	require.False(t, known, "calls say nothing about streams")
}

// Guards against long requests that are estimated by the many short ones of
// their route, whether or not their sizes are known.
func TestWorkTimeOfRareLongRequests(t *testing.T) {
	sized, unsized := newWorkTimes(), newWorkTimes()
	for n := range maxWorkSamples {
		size := 10.0
		if n%20 == 0 {
			size = 200
		}
		took := time.Duration(size) * 20 * time.Millisecond
		sized.record(chatGroup, workSample{size: size, took: took})
		unsized.record(chatGroup, workSample{took: took})
	}
	long, _ := sized.estimate(chatGroup, 200)
	require.GreaterOrEqual(t, long, 4*time.Second)
	longer, _ := sized.estimate(chatGroup, 400)
	require.GreaterOrEqual(t, longer, 8*time.Second, "larger than any that has completed")
	short, _ := sized.estimate(chatGroup, 10)
	require.Less(t, short, time.Second, "short requests would be rejected in vain")
	unknown, _ := unsized.estimate(chatGroup, 0)
	require.GreaterOrEqual(t, unknown, 4*time.Second)
}

// Guards against the few requests that a route has completed deciding alone, and
// against an estimate far beyond all times because a caller guessed a large size.
func TestWorkTimeOfFewSamplesAndGuesses(t *testing.T) {
	w := newWorkTimes()
	for range minWorkSamples {
		w.record(chatGroup, workSample{size: 10, took: time.Second})
	}
	other := workGroup{route: "other", backend: "b", kind: routing.Stream}
	for range fullWorkSamples {
		w.record(other, workSample{size: 10, took: 3 * time.Second})
	}
	work, _ := w.estimate(chatGroup, 10)
	require.GreaterOrEqual(t, work, 3*time.Second)
	for n := range fullWorkSamples {
		w.record(chatGroup, workSample{size: float64(n + 1), took: time.Second})
	}
	work, _ = w.estimate(chatGroup, fullWorkSamples)
	require.Less(t, work, 2*time.Second)
}

// Guards against a long request that is taken late in a stop because its caller
// expects a short response. The guesses and lengths are those of a played day: a
// stream of 345 tokens was announced as 57.
func TestWorkTimeDoesNotTrustGuesses(t *testing.T) {
	w := newWorkTimes()
	record := func(expected int, took time.Duration) {
		w.record(chatGroup, workSample{size: requestSize(RequestMeta{MaxOutputTokens: 345, ExpectedOutputTokens: expected}), took: took})
	}
	for n := range 2 * fullWorkSamples {
		record(20+n, time.Duration(400+20*n)*time.Millisecond)
	}
	for _, expected := range []int{117, 201, 249, 267, 345} {
		record(expected, 3400*time.Millisecond)
	}
	work, _ := w.estimate(chatGroup, requestSize(RequestMeta{MaxOutputTokens: 345, ExpectedOutputTokens: 57}))
	require.GreaterOrEqual(t, work, 3514*time.Millisecond)
}

// Guards against a stream that is taken late in a stop because no stream as long as
// its maximum has completed yet. The figures are those of a played day: 37 streams of
// 42 events at most, and one of 69 that took 3.1 to 3.4 s.
func TestWorkTimeOfLongestStream(t *testing.T) {
	w := newWorkTimes()
	for n := range 37 {
		events := 6 + n
		expected := 5 * events
		if n%3 == 0 {
			expected *= 4 // some guesses are far off
		}
		w.record(chatGroup, workSample{size: 345, took: 150*time.Millisecond + time.Duration(events-1)*46*time.Millisecond, streamSample: streamSample{
			expected: float64(expected), events: events, firstEvent: 150 * time.Millisecond,
		}})
	}
	work, _ := w.estimate(chatGroup, 345)
	require.GreaterOrEqual(t, work, 3400*time.Millisecond)
	require.Less(t, work, 4200*time.Millisecond, "streams would be rejected in vain")
}

// Guards against a stream that is taken late in a stop because a few short ones of the same
// maximum have completed and no caller has said how long they would be: each event then
// seems to hold 35 tokens, and the longest stream to have 10 events. It has up to 350.
func TestWorkTimeOfLongestStreamWithoutExpectedLengths(t *testing.T) {
	const eventPause, maxTokens = 90 * time.Millisecond, 350
	for name, streams := range map[string]int{"few": minWorkSamples, "some": 15, "many": maxWorkSamples} {
		t.Run(name, func(t *testing.T) {
			w := newWorkTimes()
			for n := range streams {
				events := 6 + n%5
				w.record(chatGroup, workSample{size: maxTokens, took: time.Duration(events) * eventPause, streamSample: streamSample{
					events: events, firstEvent: eventPause,
				}})
			}
			work, known := w.estimate(chatGroup, maxTokens)
			require.True(t, known)
			require.GreaterOrEqual(t, work, maxTokens*eventPause)
			require.Less(t, work, 5*maxTokens*eventPause/4, "longer than any stream can take")
		})
	}
}

// Guards against a stream that is taken late in a stop because half of the few callers
// that said how long their streams would be were far off: an event then seems to hold 20
// tokens instead of 5, and the longest stream to have 18 events instead of 70.
func TestWorkTimeOfFewExpectedLengths(t *testing.T) {
	const eventPause, maxTokens, tokensPerEvent = 90 * time.Millisecond, 350, 5
	w := newWorkTimes()
	for n := range minWorkSamples {
		events := 6 + n
		expected := tokensPerEvent * events
		if n%2 == 0 {
			expected *= 4
		}
		w.record(chatGroup, workSample{size: maxTokens, took: time.Duration(events) * eventPause, streamSample: streamSample{
			expected: float64(expected), events: events, firstEvent: eventPause,
		}})
	}
	work, known := w.estimate(chatGroup, maxTokens)
	require.True(t, known)
	require.GreaterOrEqual(t, work, maxTokens/tokensPerEvent*eventPause)
	require.Less(t, work, 5*maxTokens/tokensPerEvent*eventPause/4, "streams would be rejected in vain")
}

// Guards against a panic when the samples of a back end were discarded to bound the
// memory, and those of a route were not.
func TestWorkTimeWithoutSamplesOfBackend(t *testing.T) {
	w := newWorkTimes()
	for range fullWorkSamples {
		w.record(chatGroup, workSample{size: 345, took: time.Second})
	}
	delete(w.groups, workGroup{backend: "b", kind: routing.Stream})
	work, known := w.estimate(chatGroup, 345)
	require.True(t, known)
	require.GreaterOrEqual(t, work, time.Second)
}

// Guards against an estimate that fails without expected lengths, without maxima, or
// for streams of a single event.
func TestWorkTimeOfStreamsWithoutSizes(t *testing.T) {
	for name, c := range map[string]struct {
		sample            workSample
		atLeast, lessThan time.Duration
	}{
		"nothing known": {workSample{took: time.Second, streamSample: streamSample{events: 20, firstEvent: time.Millisecond}}, time.Second, 2 * time.Second},
		// An event may hold a single token, so that 100 events may come. How long one
		// takes is known at most where all streams had a single one.
		"no guesses": {workSample{size: 100, took: time.Second, streamSample: streamSample{events: 20, firstEvent: time.Millisecond}}, 5 * time.Second, 6500 * time.Millisecond},
		"one event":  {workSample{size: 100, took: time.Second, streamSample: streamSample{events: 1, firstEvent: time.Millisecond}}, 100 * time.Second, 125 * time.Second},
		"no event":   {workSample{size: 100, took: time.Second}, time.Second, 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorkTimes()
			for range 2 * minWorkSamples {
				w.record(chatGroup, c.sample)
			}
			work, known := w.estimate(chatGroup, c.sample.size)
			require.True(t, known)
			require.GreaterOrEqual(t, work, c.atLeast)
			require.Less(t, work, c.lessThan)
		})
	}
}

// Guards against an estimate that follows a change of the load too late or never,
// and against memory that grows with each route that a configuration adds.
func TestWorkTimeForgets(t *testing.T) {
	w := newWorkTimes()
	for range maxWorkSamples {
		w.record(chatGroup, workSample{took: 5 * time.Second})
	}
	for range maxWorkSamples {
		w.record(chatGroup, workSample{took: time.Second})
	}
	work, _ := w.estimate(chatGroup, 0)
	require.Less(t, work, 2*time.Second)
	for n := range 3 * maxWorkGroups {
		w.record(workGroup{route: string(rune(n)), backend: "b"}, workSample{took: time.Second})
	}
	require.LessOrEqual(t, len(w.groups), maxWorkGroups)
}

// Guards against requests that are taken although they end after the stop, and
// against rejected requests whose caller would have its final response in time.
// The times are those of a stop of 8 s.
func TestStopWindow(t *testing.T) {
	beganAt := time.Now()
	w := &stopWindow{beganAt: beganAt, endsAt: beganAt.Add(7600 * time.Millisecond)}
	for name, c := range map[string]struct {
		arrives, deadline, work time.Duration
		known                   bool
		fits                    bool
	}{
		"long stream, early":              {100 * time.Millisecond, 8 * time.Second, 4 * time.Second, true, true},
		"long stream, late":               {4200 * time.Millisecond, 8 * time.Second, 4 * time.Second, true, false},
		"short call, late":                {7 * time.Second, 3 * time.Second, 300 * time.Millisecond, true, true},
		"short call, at the end":          {7400 * time.Millisecond, 3 * time.Second, 300 * time.Millisecond, true, false},
		"nothing known, long deadline":    {0, 8 * time.Second, 0, false, false},
		"nothing known, deadline in time": {time.Second, 3 * time.Second, 0, false, true},
		"deadline in time":                {3 * time.Second, 4 * time.Second, 6 * time.Second, true, true},
		"after the end":                   {7700 * time.Millisecond, time.Second, 0, true, false},
	} {
		now := beganAt.Add(c.arrives)
		require.Equal(t, c.fits, w.decide(now, now.Add(c.deadline), c.work, c.known).fits(now), name)
	}
}
