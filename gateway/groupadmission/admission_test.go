package groupadmission

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
)

// fullLoad is a load at which a group has no room.
const fullLoad = testSlots + 5

// Guards against instances that do not know the load of a group: each of them knows what
// its coordinator knows, whether it runs in the same process or not.
func TestInstancesKnowTheLoad(t *testing.T) {
	a, b := startInstance(t, "a"), startInstance(t, "b")
	a.follow(a)
	b.follow(a)
	defer a.keepReporting(3)()
	for _, i := range []*instance{a, b} {
		i.awaitState(t, func(s GroupState) bool {
			return s.Open && s.InProgress == 3*testRanks && len(s.ByRank) == testRanks && s.ByRank[2] == 3
		})
	}
}

// Guards against a less urgent request that gets a place while a more urgent one waits at
// another instance.
func TestUrgentRequestOfAnotherInstanceGoesFirst(t *testing.T) {
	a, b := startInstance(t, "a"), startInstance(t, "b")
	a.follow(a)
	b.follow(a)
	stop := a.keepReporting(fullLoad)
	for _, i := range []*instance{a, b} {
		i.awaitState(t, func(s GroupState) bool { return s.Metered })
	}
	order := make(chan int, 2)
	var wg sync.WaitGroup
	for n, request := range []struct {
		from     *instance
		priority int
	}{{a, 2}, {b, 0}} {
		wg.Go(func() {
			v, err := request.from.ask(t.Context(), request.priority, 20*time.Second)
			require.NoError(t, err)
			require.True(t, v.Granted)
			order <- request.priority
		})
		require.Eventually(t, func() bool { return a.server.waiting(testGroup) == n+1 }, time.Second, time.Millisecond)
	}
	stop()
	// One place becomes free, and later another one.
	limit := int(a.limit())
	a.reportRequests(limit - 1)
	require.Equal(t, 0, <-order)
	a.reportRequests(limit - 1)
	require.Equal(t, 2, <-order)
	wg.Wait()
}

// Guards against callers who wait although there will be no room in time.
func TestRejectionComesAtOnce(t *testing.T) {
	a := startInstance(t, "a")
	a.follow(a)
	defer a.keepReporting(fullLoad)()
	a.awaitState(t, func(s GroupState) bool { return s.Metered })
	began := time.Now()
	v, err := a.ask(t.Context(), 1, time.Millisecond)
	require.NoError(t, err)
	require.False(t, v.Granted)
	require.Positive(t, v.RetryAfter)
	require.Less(t, time.Since(began), 100*time.Millisecond)
}

// Guards against requests that are held up by a coordinator that is frozen: they must go
// on within the time of one reply, and the next ones at once.
func TestFrozenCoordinatorHoldsNobody(t *testing.T) {
	a, b := startInstance(t, "a"), startInstance(t, "b")
	b.follow(a)
	stop := a.keepReporting(fullLoad)
	b.awaitState(t, func(s GroupState) bool { return s.Metered })
	stop()
	defer a.freeze()()
	began := time.Now()
	_, err := b.ask(t.Context(), 1, 10*time.Second)
	require.ErrorIs(t, err, ErrSilent)
	require.Less(t, time.Since(began), 2*replyTimeout)
	began = time.Now()
	_, err = b.ask(t.Context(), 1, 10*time.Second)
	require.ErrorIs(t, err, ErrSilent)
	require.Less(t, time.Since(began), replyTimeout/2)
}

// Guards against requests that wait on in the queue of a coordinator that gets no reports
// and reads no messages any more: either side lets them go.
func TestWaitingEndsWhenTheCoordinatorFreezes(t *testing.T) {
	a, b := startInstance(t, "a"), startInstance(t, "b")
	b.follow(a)
	stop := a.keepReporting(fullLoad)
	b.awaitState(t, func(s GroupState) bool { return s.Metered })
	goesOn := make(chan bool, 1)
	go func() {
		v, err := b.ask(t.Context(), 1, time.Minute)
		goesOn <- v.Granted || errors.Is(err, ErrSilent)
	}()
	require.Eventually(t, func() bool { return a.server.waiting(testGroup) == 1 }, time.Second, time.Millisecond)
	stop()
	defer a.freeze()()
	select {
	case ok := <-goesOn:
		require.True(t, ok)
	case <-time.After(stateTimeout + sessionTimeout + time.Second):
		require.Fail(t, "the request still waits")
	}
}

// Guards against requests that wait for a coordinator whose instance has gone.
func TestWaitingEndsWithTheSession(t *testing.T) {
	a, b := startInstance(t, "a"), startInstance(t, "b")
	b.follow(a)
	stop := a.keepReporting(fullLoad)
	defer stop()
	b.awaitState(t, func(s GroupState) bool { return s.Metered })
	result := make(chan error, 1)
	go func() {
		_, err := b.ask(t.Context(), 1, time.Minute)
		result <- err
	}()
	require.Eventually(t, func() bool { return a.server.waiting(testGroup) == 1 }, time.Second, time.Millisecond)
	a.cut()
	require.ErrorIs(t, <-result, ErrSilent)
}

// Guards against places that go to an instance that has gone, or to a caller that has left.
func TestLeftRequestsLeaveTheQueue(t *testing.T) {
	a, b := startInstance(t, "a"), startInstance(t, "b")
	a.follow(a)
	b.follow(a)
	defer a.keepReporting(fullLoad)()
	for _, i := range []*instance{a, b} {
		i.awaitState(t, func(s GroupState) bool { return s.Metered })
	}
	ctx, leave := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	for _, i := range []*instance{a, b, b} {
		wg.Go(func() {
			_, err := i.ask(ctx, 1, time.Minute)
			require.ErrorIs(t, err, context.Canceled)
		})
	}
	require.Eventually(t, func() bool { return a.server.waiting(testGroup) == 3 }, time.Second, time.Millisecond)
	leave()
	wg.Wait()
	require.Eventually(t, func() bool { return a.server.waiting(testGroup) == 0 }, time.Second, time.Millisecond)
}

// Guards against a group that is flooded when its coordinator changes: the next one has
// seen no load yet, and would take its limit for that of an idle group.
func TestNextCoordinatorKeepsTheLimit(t *testing.T) {
	a, b := startInstance(t, "a"), startInstance(t, "b")
	b.follow(a)
	stop := a.keepReporting(6)
	b.awaitState(t, func(s GroupState) bool { return s.Limit > 0 })
	stop()
	a.server.EndLoad(testGroup)
	b.mu.Lock()
	b.lastLimit = 0.6 * testRanks * testSlots
	b.mu.Unlock()
	b.follow(b)
	defer b.keepReporting(6)()
	b.awaitState(t, func(s GroupState) bool { return s.Limit <= 0.6*testRanks*testSlots+0.1 })
}

// Guards against two coordinators of one group, of which one has not heard yet that it was
// replaced: an instance follows the one that it was told of last, and gets an answer.
func TestInstanceFollowsTheNextCoordinator(t *testing.T) {
	a, b, c := startInstance(t, "a"), startInstance(t, "b"), startInstance(t, "c")
	c.follow(a)
	defer a.keepReporting(2)()
	c.awaitState(t, func(s GroupState) bool { return s.InProgress == 2*testRanks })
	defer b.keepReporting(5)()
	c.follow(b)
	c.awaitState(t, func(s GroupState) bool { return s.InProgress == 5*testRanks })
}

// Guards against a report that claims an empty group forever, or a full one: without new
// ones it counts for a short time only.
func TestOldReportCountsForNobody(t *testing.T) {
	a := startInstance(t, "a")
	a.follow(a)
	a.report(fullLoad)
	a.awaitState(t, func(s GroupState) bool { return s.Metered })
	time.Sleep(stateTimeout)
	_, known := a.client.State(testGroup, time.Now())
	require.False(t, known)
	v, err := a.ask(t.Context(), 1, time.Second)
	require.NoError(t, err)
	require.True(t, v.Granted)
}

// Guards against instances that send as much as the group has room, each of them, before
// the next load says that it is full.
func TestInstancesShareTheRoomBetweenLoads(t *testing.T) {
	a := startInstance(t, "a")
	a.follow(a)
	a.report(0)
	a.awaitState(t, func(s GroupState) bool { return s.Open })
	s, _ := a.client.State(testGroup, time.Now())
	const instances = 8
	sent := 0
	for a.client.SendUnmetered(testGroup, instances, time.Now()) {
		sent++
	}
	require.InDelta(t, s.Room()/instances, sent, 1)
	require.True(t, a.client.SendUnmetered("unknown group", instances, time.Now()))
}

// Guards against back ends whose engine times are not configured: nobody waits for places
// there, as before.
func TestNoPlacesWithoutEngineTimes(t *testing.T) {
	a := startInstance(t, "a")
	a.follow(a)
	l := fullGroupLoad("other")
	a.server.SetLoad(l)
	a.awaitState(t, func(s GroupState) bool { return !s.Metered })
	v, err := a.ask(t.Context(), 1, time.Second)
	require.NoError(t, err)
	require.True(t, v.Granted)
}

// Guards against grants for a rank that has got all of them.
func TestGrantsNameRanksWithFewRequests(t *testing.T) {
	a := startInstance(t, "a")
	a.follow(a)
	a.report(0)
	a.awaitState(t, func(s GroupState) bool { return s.Open })
	byRank := map[int]int{}
	for range 2 * testRanks {
		v, err := a.ask(t.Context(), 1, time.Second)
		require.NoError(t, err)
		byRank[v.Rank]++
	}
	for rank := range testRanks {
		require.Equal(t, 2, byRank[rank], fmt.Sprint("rank ", rank))
	}
}
