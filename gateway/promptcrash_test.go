package gateway

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/gateway/crashguard"
)

const (
	crashingPart = "bad"
	// toleratedCrashes is how many targets a part may crash before requests with
	// it must no longer be sent, and contactTime how long instances then have to
	// agree on it.
	toleratedCrashes = 5
	// crashesOfRequest is how many targets a single request may crash before it
	// must no longer be sent.
	crashesOfRequest = 3
	contactTime      = 3 * time.Second
	// toleratedSends is how many requests may still be sent after that.
	toleratedSends = 3
)

// sendCrashing sends requests with crashingPart to the instances in turn, with
// other first and last parts each, until the targets have crashed often enough or
// no request reaches them any longer.
func (f *crashFleet) sendCrashing(path string, instances ...*instance) {
	for k := 0; f.crashes.Load() < toleratedCrashes && k < 4*toleratedCrashes; k++ {
		i := instances[k%len(instances)]
		i.requestWithParts(f.t.Context(), fmt.Sprintf("%s%d", path, k), "shared", crashingPart, fmt.Sprintf("own%d", k))
	}
}

// requireKeptFromTargets sends many requests with crashingPart to each instance,
// contactTime after the last crash.
func (f *crashFleet) requireKeptFromTargets(path string, instances ...*instance) {
	before := f.arrivals.Load()
	for k := range 5 {
		for _, i := range instances {
			resp := i.requestWithParts(f.t.Context(), fmt.Sprintf("%slate%d", path, k), "shared", crashingPart, fmt.Sprintf("late%d", k))
			if resp.err == nil && resp.status != http.StatusServiceUnavailable {
				require.NotEqual(f.t, http.StatusOK, resp.status)
			}
		}
	}
	require.LessOrEqual(f.t, f.arrivals.Load()-before, int64(toleratedSends), "requests with the part were sent after %d crashes", f.crashes.Load())
}

// requireServed sends harmless requests with the same first part to each instance.
func (f *crashFleet) requireServed(path string, instances ...*instance) {
	for k := range 10 {
		for _, i := range instances {
			resp := i.requestWithParts(f.t.Context(), fmt.Sprintf("%ssound%d", path, k), "shared", fmt.Sprintf("session%d", k), "own")
			require.NoError(f.t, resp.err)
			require.Equal(f.t, http.StatusOK, resp.status, "a sound request with the same first part was refused: %s", resp.body)
		}
	}
}

// Guards against targets that crash one after the other because each instance
// sends on requests with a part of a prompt that has crashed targets before.
func TestPartThatCrashesTargetsIsKeptFromThem(t *testing.T) {
	t.Parallel()
	f := startCrashFleet(t, 12)
	instances := []*instance{f.d.start("g1"), f.d.start("g2"), f.d.start("g3")}
	f.requireServed("/chat/", instances...)
	f.sendCrashing("/chat/", instances...)
	time.Sleep(contactTime)
	f.requireKeptFromTargets("/chat/", instances...)
	f.requireServed("/chat/", instances...)
}

// Guards against an instance that saw no crash itself and sends the part on.
func TestInstanceLearnsOfCrashesOfOthers(t *testing.T) {
	t.Parallel()
	f := startCrashFleet(t, 12)
	saw, others := f.d.start("g1"), []*instance{f.d.start("g2"), f.d.start("g3")}
	f.sendCrashing("/chat/", saw)
	time.Sleep(contactTime)
	f.requireKeptFromTargets("/chat/", others...)
	f.requireServed("/chat/", others...)
}

// Guards against crashes that are too few at each of two instances, and against
// instances that agree through the store only.
func TestInstancesAddUpTheirCrashes(t *testing.T) {
	t.Parallel()
	f := startCrashFleet(t, 12)
	instances := []*instance{f.d.start("g1"), f.d.start("g2")}
	for k, i := range []*instance{instances[0], instances[1], instances[0], instances[1]} {
		i.requestWithParts(t.Context(), fmt.Sprintf("/book/%d", k), "shared", crashingPart, fmt.Sprintf("own%d", k))
	}
	time.Sleep(contactTime)
	f.requireKeptFromTargets("/book/", instances...)
}

// Guards against crash reports that spread through the store only: instances that
// reach each other must agree while it is away.
func TestCrashesAreSharedWithoutStore(t *testing.T) {
	t.Parallel()
	f := startCrashFleet(t, 12)
	saw, other := f.d.start("g1"), f.d.start("g2")
	require.Eventually(t, func() bool { return saw.reachablePeers(t) == 1 && other.reachablePeers(t) == 1 }, 3*time.Second, 5*time.Millisecond)
	saw.kv.refuse.Store(true)
	other.kv.refuse.Store(true)
	f.sendCrashing("/chat/", saw)
	time.Sleep(contactTime)
	f.requireKeptFromTargets("/chat/", other)
}

func (i *instance) reachablePeers(t *testing.T) int {
	n, _ := query(t.Context(), i.control, func() int { return i.control.peers.reachableCount(time.Now()) })
	return n
}

// Guards against instances that forget the part when they all restart, and against
// one that has just started and saw no crash.
func TestQuarantineSurvivesRestart(t *testing.T) {
	t.Parallel()
	f := startCrashFleet(t, 12)
	first := []*instance{f.d.start("g1"), f.d.start("g2")}
	f.sendCrashing("/chat/", first...)
	time.Sleep(contactTime)
	for _, i := range first {
		i.stop()
	}
	restarted := []*instance{f.d.start("g1"), f.d.start("g3")}
	f.requireKeptFromTargets("/chat/", restarted...)
	f.requireServed("/chat/", restarted...)
}

// Guards against a stopping instance that takes requests with the part.
func TestStoppingInstanceKeepsPartFromTargets(t *testing.T) {
	t.Parallel()
	f := startCrashFleet(t, 12)
	f.d.stopTimeout = 5 * time.Second
	saw, stopping := f.d.start("g1"), f.d.start("g2")
	go stopping.stop()
	require.Eventually(t, stopping.isLeaving, time.Second, time.Millisecond)
	f.sendCrashing("/chat/", saw)
	time.Sleep(contactTime)
	f.requireKeptFromTargets("/chat/", stopping)
}

// Guards against harmless parts that are quarantined when targets crash for another reason
// again and again, and against targets that are held back afterwards.
func TestCrashesForOtherReasonsBlameNoPart(t *testing.T) {
	t.Parallel()
	f := startCrashFleet(t, 12)
	f.pause = 200 * time.Millisecond
	instances := []*instance{f.d.start("g1"), f.d.start("g2")}
	var callers sync.WaitGroup
	end := time.Now().Add(4 * time.Second)
	for k := range 24 {
		callers.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				i := instances[(k+n)%len(instances)]
				i.requestWithParts(t.Context(), fmt.Sprintf("/chat/%d-%d", k, n), "shared", fmt.Sprintf("session%d", k), "own")
			}
		})
	}
	for time.Now().Before(end) {
		time.Sleep(400 * time.Millisecond)
		f.crashAny(3)
	}
	callers.Wait()
	for _, i := range instances {
		require.Empty(t, i.guard.View().Entries, "a sound part was blamed")
	}
	f.requireServed("/chat/", instances...)
}

// Guards against requests that wait for a slot with the part and are sent, or
// wait on, although it has been quarantined meanwhile.
func TestQueuedRequestEndsWithQuarantine(t *testing.T) {
	t.Parallel()
	f := startCrashFleet(t, 1)
	f.slots, f.pause = 1, 3*time.Second
	f.crashAny(1) // the successor has one slot
	g := f.d.start("g1")
	require.Eventually(t, func() bool { return len(g.snapshot.Load().targets["b"]) == 1 }, 3*time.Second, 5*time.Millisecond)
	go g.requestWithParts(t.Context(), "/chat/1", "shared", "own")
	require.Eventually(t, func() bool { return g.inFlight.Load() == 1 }, time.Second, time.Millisecond)
	time.Sleep(50 * time.Millisecond) // it has the slot
	queued := make(chan response, 1)
	go func() { queued <- g.requestWithParts(t.Context(), "/chat/2", "shared", crashingPart, "own") }()
	require.Eventually(t, func() bool { return g.inFlight.Load() == 2 }, time.Second, time.Millisecond)
	time.Sleep(50 * time.Millisecond)
	g.SetQuarantined(t.Context(), crashingPart, true)
	select {
	case resp := <-queued:
		require.Equal(t, http.StatusServiceUnavailable, resp.status)
		require.Contains(t, resp.body, `"not_run"`)
		require.Contains(t, resp.body, `"quarantined"`)
	case <-time.After(500 * time.Millisecond):
		t.Fatal("a queued request with a quarantined part waits on")
	}
	require.Zero(t, f.arrivals.Load())
}

// Guards against requests that are at a target and crash it, or another one, after
// their part has been quarantined, and against "not run" for one that may have run.
func TestRequestInProgressEndsWithQuarantine(t *testing.T) {
	t.Parallel()
	for _, path := range []string{"/chat/", "/read/", "/book/"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			f := startCrashFleet(t, 3)
			f.holdCrash = make(chan struct{})
			t.Cleanup(func() { close(f.holdCrash) })
			g := f.d.start("g1")
			inProgress := make(chan response, 1)
			go func() { inProgress <- g.requestWithParts(t.Context(), path+"1", "shared", crashingPart, "own") }()
			require.Eventually(t, func() bool { return f.arrivals.Load() == 1 }, time.Second, time.Millisecond)
			g.SetQuarantined(t.Context(), crashingPart, true)
			select {
			case resp := <-inProgress:
				require.Equal(t, http.StatusBadGateway, resp.status)
				require.NotContains(t, resp.body, `"not_run"`)
			case <-time.After(500 * time.Millisecond):
				t.Fatal("a request with a quarantined part goes on")
			}
			require.EqualValues(t, 1, f.arrivals.Load())
		})
	}
}

// Guards against a suspect that is hedged, sent by several requests at once, or
// sent again after its second crash.
func TestSuspectIsTriedByOneRequestOnce(t *testing.T) {
	t.Parallel()
	f := startCrashFleet(t, 12)
	g := f.d.start("g1")
	first := g.requestWithParts(t.Context(), "/read/1", "shared", crashingPart, "own")
	require.Equal(t, http.StatusBadGateway, first.status)
	require.EqualValues(t, 2, f.arrivals.Load(), "a request was sent again after its second crash")
	f.holdCrash = make(chan struct{})
	results := make(chan response, 10)
	for k := range 10 {
		go func() {
			results <- g.requestWithParts(t.Context(), fmt.Sprintf("/read/held%d", k), "shared", crashingPart, fmt.Sprint(k))
		}()
	}
	for range 9 {
		resp := <-results
		require.Equal(t, http.StatusServiceUnavailable, resp.status)
		require.Contains(t, resp.body, `"not_run"`)
	}
	time.Sleep(2 * hedgeDelay)
	require.EqualValues(t, 3, f.arrivals.Load(), "a suspect was sent by several requests at once, or hedged")
	close(f.holdCrash)
	require.Equal(t, http.StatusBadGateway, (<-results).status)
}

// Guards against a stream with the part that goes on from target to target.
func TestStreamWithCrashingPartIsNotResumedAgain(t *testing.T) {
	t.Parallel()
	f := startCrashFleet(t, 12)
	cfg := config()
	cfg.Version, cfg.Routes[3].MaxAttempts = 2, 6
	f.d.put("config", cfg)
	g := f.d.start("g1")
	require.Eventually(t, func() bool { return g.snapshot.Load().table.Config.Version == 2 }, 3*time.Second, 5*time.Millisecond)
	resp := g.requestWithParts(t.Context(), "/chat/1", "shared", crashingPart, "own")
	require.Equal(t, http.StatusBadGateway, resp.status)
	require.EqualValues(t, 2, f.arrivals.Load())
}

// Guards against a response that a crash ends before its head.
func TestCrashBeforeHeadIsEvidence(t *testing.T) {
	t.Parallel()
	f := startCrashFleet(t, 12)
	f.beginsHead = false
	g := f.d.start("g1")
	f.sendCrashing("/book/", g)
	time.Sleep(contactTime)
	f.requireKeptFromTargets("/book/", g)
}

// Guards against the last part of a prompt being quarantined, which no other request
// has, and against other requests that have it in another place.
func TestLastPartIsNeverBlamed(t *testing.T) {
	t.Parallel()
	f := startCrashFleet(t, 12)
	g := f.d.start("g1")
	for k := range 6 {
		g.requestWithParts(t.Context(), fmt.Sprintf("/book/%d", k), fmt.Sprintf("session%d", k), crashingPart)
	}
	time.Sleep(time.Second)
	require.NotContains(t, g.guard.View().Entries, crashingPart)
	require.Empty(t, g.guard.View().Entries)
}

// Guards against an operator who cannot see, add or clear a part, or whose decision
// reaches one instance only.
func TestOperatorDecidesOnParts(t *testing.T) {
	t.Parallel()
	f := startCrashFleet(t, 12)
	g1, g2 := f.d.start("g1"), f.d.start("g2")
	operator := func(method, part string) *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		g1.QuarantineHandler().ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), method, QuarantinePath+"?part="+part, nil))
		return w
	}
	f.sendCrashing("/chat/", g1)
	var list crashguard.List
	require.Eventually(t, func() bool {
		require.NoError(t, json.Unmarshal(operator(http.MethodGet, "").Body.Bytes(), &list))
		return len(list.Parts) == 1
	}, contactTime, 10*time.Millisecond)
	require.Equal(t, crashingPart, list.Parts[0].Part)
	require.Equal(t, "quarantined", list.Parts[0].State)
	require.GreaterOrEqual(t, len(list.Parts[0].Crashes), 3)
	require.Equal(t, []string{"g1"}, list.Parts[0].Reporters)

	require.Equal(t, http.StatusNoContent, operator(http.MethodDelete, crashingPart).Code)
	require.Equal(t, http.StatusNoContent, operator(http.MethodPost, "session1").Code)
	require.Eventually(t, func() bool {
		entries := g2.guard.View().Entries
		_, added := entries["session1"]
		_, cleared := entries[crashingPart]
		return added && !cleared
	}, contactTime, 10*time.Millisecond)
	resp := g2.requestWithParts(t.Context(), "/chat/1", "shared", "session1", "own")
	require.Equal(t, http.StatusServiceUnavailable, resp.status)
	require.Contains(t, resp.body, "session1")
	require.Equal(t, http.StatusBadRequest, operator(http.MethodPost, "").Code)
	require.Equal(t, http.StatusBadRequest, operator(http.MethodPost, strings.Repeat("a", maxPartBytes+1)).Code)
}
