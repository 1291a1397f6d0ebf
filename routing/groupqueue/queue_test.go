package groupqueue

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var testStart = time.Unix(1000, 0)

func at(ms int) time.Time { return testStart.Add(time.Duration(ms) * time.Millisecond) }

// full returns the queue of a group that holds as many requests as it may, and completes
// ten of them in a second.
func full() *Queue {
	q := New()
	q.SetLoad(Load{AsOf: testStart, InProgress: 100, Limit: 100, Rate: 10, FullRate: 10, FirstPart: 200 * time.Millisecond}, testStart)
	return q
}

// free reports that some places have become free.
func (q *Queue) free(places float64, now time.Time) []Verdict {
	l := q.load
	l.AsOf, l.InProgress = now, l.Limit-places
	q.SetLoad(l, now)
	return q.Next(now)
}

func request(id uint64, p Priority, now time.Time) Request {
	return Request{Source: "i1", ID: id, Priority: p, GoalBy: now.Add(500 * time.Millisecond), LatestStart: now.Add(5 * time.Second)}
}

func granted(verdicts []Verdict) []uint64 {
	var ids []uint64
	for _, v := range verdicts {
		if v.Granted {
			ids = append(ids, v.ID)
		}
	}
	return ids
}

// Guards against a less urgent request that gets a place while a more urgent one of
// another instance waits, whichever came first.
func TestMoreUrgentRequestsGoFirst(t *testing.T) {
	q := full()
	for id, p := range []Priority{{1, 2}, {1, 0}, {0, 2}, {0, 1}, {1, 1}} {
		r := request(uint64(id), p, at(id))
		r.Source = []string{"i1", "i2"}[id%2]
		_, decided := q.Add(r, at(id))
		require.False(t, decided)
	}
	require.Equal(t, []uint64{3, 2, 1, 4, 0}, granted(q.free(5, at(100))))
}

// Guards against a new request that takes a place past one that waits.
func TestNewRequestDoesNotPassWaitingOnes(t *testing.T) {
	q := full()
	_, decided := q.Add(request(1, Priority{0, 1}, at(0)), at(0))
	require.False(t, decided)
	l := q.load
	l.AsOf, l.InProgress = at(50), 99
	q.SetLoad(l, at(50))
	_, decided = q.Add(request(2, Priority{0, 1}, at(50)), at(50))
	require.False(t, decided)
	require.Equal(t, []uint64{1}, granted(q.Next(at(50))))
}

// Guards against equally urgent requests that are late already and are served before
// those that can still be in time.
func TestRequestsInTimeGoBeforeLateOnes(t *testing.T) {
	q := full()
	late := request(1, Priority{0, 1}, at(0))
	late.GoalBy = at(100)
	q.Add(late, at(0))
	q.Add(request(2, Priority{0, 1}, at(10)), at(10))
	require.Equal(t, []uint64{2}, granted(q.free(1, at(20))))
	require.Equal(t, []uint64{1}, granted(q.free(1, at(60))))
}

// Guards against callers who are sent away again and again while others get in.
func TestReturningCallerGoesFirst(t *testing.T) {
	q := full()
	sentAway := request(1, Priority{0, 1}, at(0))
	sentAway.Identity, sentAway.LatestStart = "booking", at(1)
	v, decided := q.Add(sentAway, at(0))
	require.True(t, decided)
	require.False(t, v.Granted)
	q.free(0, at(300))
	q.Add(request(2, Priority{0, 1}, at(300)), at(300))
	again := request(3, Priority{0, 1}, at(310))
	again.Identity = "booking"
	q.Add(again, at(310))
	require.Equal(t, []uint64{3}, granted(q.free(1, at(320))))
}

// Guards against requests that wait although they cannot start in time: their callers
// learn only then when to come back.
func TestHopelessRequestIsRejectedAtOnce(t *testing.T) {
	q := full()
	for id := range uint64(20) { // two seconds of work
		_, decided := q.Add(request(id, Priority{0, 1}, at(0)), at(0))
		require.False(t, decided)
	}
	r := request(50, Priority{0, 1}, at(0))
	r.LatestStart = at(1000)
	v, decided := q.Add(r, at(0))
	require.True(t, decided)
	require.False(t, v.Granted)
	require.Equal(t, 20, v.Ahead)
	require.Greater(t, v.RetryAfter, 2*time.Second)
}

// Guards against a waiting request that is kept after more urgent ones have taken the
// places that it waited for.
func TestWaitingRequestIsRejectedOnceHopeless(t *testing.T) {
	q := full()
	r := request(1, Priority{1, 1}, at(0))
	r.LatestStart = at(1000)
	_, decided := q.Add(r, at(0))
	require.False(t, decided)
	for id := range uint64(20) {
		q.Add(request(10+id, Priority{0, 1}, at(10)), at(10))
	}
	verdicts := q.Next(at(20))
	require.Len(t, verdicts, 1)
	require.EqualValues(t, 1, verdicts[0].ID)
	require.False(t, verdicts[0].Granted)
}

// Guards against callers who all come back at the same moment.
func TestRejectedCallersReturnOneAfterTheOther(t *testing.T) {
	q := full()
	var last time.Duration
	for id := range uint64(10) {
		r := request(id, Priority{0, 1}, at(0))
		r.LatestStart = at(1)
		v, _ := q.Add(r, at(0))
		require.GreaterOrEqual(t, v.RetryAfter, last)
		last = v.RetryAfter
	}
	require.InDelta(t, 10/(returnShare*10), last.Seconds(), 0.5)
	// Once they have returned, the next one is not told to stay away for as long.
	q.free(0, at(2500))
	r := request(99, Priority{0, 1}, at(2500))
	r.LatestStart = at(2501)
	v, _ := q.Add(r, at(2500))
	require.Less(t, v.RetryAfter, time.Second)
}

// Guards against callers who are kept waiting by a report that is too old, or by a group
// whose load was never reported.
func TestUnknownLoadKeepsNobodyWaiting(t *testing.T) {
	v, decided := New().Add(request(1, Priority{0, 1}, at(0)), at(0))
	require.True(t, decided && v.Granted)
	q := full()
	_, decided = q.Add(request(1, Priority{0, 1}, at(0)), at(0))
	require.False(t, decided)
	late := at(int(loadTimeout.Milliseconds()) + 1)
	require.Equal(t, []uint64{1}, granted(q.Next(late)))
	v, decided = q.Add(request(2, Priority{0, 1}, late), late)
	require.True(t, decided && v.Granted)
}

// Guards against a report that arrives late, from before the latest one, which would free
// places that are taken, or take some that are free.
func TestOlderLoadIsIgnored(t *testing.T) {
	q := full()
	q.SetLoad(Load{AsOf: testStart.Add(-time.Second), InProgress: 0, Limit: 100, Rate: 10}, at(10))
	require.True(t, q.Full(at(10)))
}

// Guards against more grants than there are places until the next report.
func TestGrantsCountUntilTheyAreReported(t *testing.T) {
	q := full()
	q.free(3, at(100))
	n := 0
	for id := range uint64(10) {
		if v, decided := q.Add(request(id, Priority{0, 1}, at(101)), at(101)); decided && v.Granted {
			n++
		}
	}
	require.Equal(t, 3, n)
	// The next report includes them.
	l := q.load
	l.AsOf, l.InProgress = at(200), 100
	q.SetLoad(l, at(200))
	require.InDelta(t, 100, q.InProgress(at(200)), 0.1)
}

// Guards against requests that have left, or whose instance has, and that still get a
// place.
func TestWithdrawnRequestsGetNothing(t *testing.T) {
	q := full()
	for id := range uint64(4) {
		r := request(id, Priority{0, 1}, at(0))
		r.Source = []string{"i1", "i2"}[id%2]
		q.Add(r, at(0))
	}
	q.Withdraw("i1", 0)
	q.WithdrawAll("i2")
	require.Equal(t, []uint64{2}, granted(q.free(4, at(10))))
}

// Guards against a least urgent kind that gets no answer at all: it is told when to come
// back, and takes the room that is left.
func TestLeastUrgentKindGetsTheRest(t *testing.T) {
	q := full()
	for id := range uint64(5) {
		q.Add(request(id, Priority{0, 0}, at(0)), at(0))
	}
	q.Add(request(9, Priority{1, 2}, at(0)), at(0))
	require.Equal(t, []uint64{0, 1, 2, 3, 4, 9}, granted(q.free(6, at(10))))
}
