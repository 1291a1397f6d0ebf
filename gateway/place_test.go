package gateway

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/routing"
)

// placeConfig returns a configuration whose back end has engines with known times.
func placeConfig() routing.Config {
	cfg := groupConfig()
	cfg.Backends[0].Engine = &routing.EngineTimes{
		StepsPerPass: 5, Step: 4 * time.Millisecond, PerRequest: time.Millisecond, UsualPrompt: 800, UsualResponse: 100, ExpertShare: 0.85,
	}
	for i := range cfg.Routes {
		if cfg.Routes[i].Kind == routing.Stream {
			cfg.Routes[i].GapGoal, cfg.Routes[i].LatencyGoal = 150*time.Millisecond, 500*time.Millisecond
		}
	}
	return cfg
}

// startPlaces starts two instances before two groups of two ranks each. The first instance
// coordinates both.
func startPlaces(t *testing.T, cfg routing.Config) (a, b *instance, targets []*fakeTarget) {
	for i := range 4 {
		targets = append(targets, startFakeTarget(t, fmt.Sprint("r", i), answerKind))
	}
	d := newDeployment(t, cfg, targets...)
	d.decodeRank = decodeTestRank
	for i, f := range targets {
		d.put(fmt.Sprintf("rank/%s/%d", groupOf(i), i%2), f.listener.Addr().String()+" "+groupOf(i))
	}
	for _, group := range []string{"g0", "g1"} {
		d.put("coordinator/"+group, "a")
	}
	a, b = d.start("a"), d.start("b")
	for _, i := range []*instance{a, b} {
		require.Eventually(t, func() bool { return len(i.snapshot.Load().groups["b"]) == 2 }, 2*time.Second, time.Millisecond)
	}
	return a, b, targets
}

func groupOf(target int) string { return fmt.Sprint("g", target/2) }

// keepLoads reports loads of the groups until the test ends; requestsPerRank holds one for
// each group, and -1 stands for a group that is not open.
func keepLoads(t *testing.T, coordinator *instance, requestsPerRank ...int) {
	for i, n := range requestsPerRank {
		load := &routing.GroupLoad{Group: fmt.Sprint("g", i), Backend: "b", Open: n >= 0, Imbalance: 1, Slowdown: 1}
		for range 2 {
			load.Ranks = append(load.Ranks, routing.RankLoad{Running: max(0, n)})
		}
		keepGroupLoad(t, coordinator, load)
	}
}

// keepGroupLoad reports the load of a group until the test ends, each time as a new one.
func keepGroupLoad(t *testing.T, coordinator *instance, load *routing.GroupLoad) {
	ctx, cancel := context.WithCancel(t.Context())
	var reporting sync.WaitGroup
	t.Cleanup(reporting.Wait)
	t.Cleanup(cancel)
	reporting.Go(func() {
		for ctx.Err() == nil {
			latest := *load
			latest.AsOf = time.Now()
			coordinator.SetGroupLoad(&latest)
			select {
			case <-time.After(50 * time.Millisecond):
			case <-ctx.Done():
			}
		}
	})
}

// awaitLoads waits until the instance knows the loads of the groups.
func (i *instance) awaitLoads(t *testing.T, groups int) {
	t.Helper()
	require.Eventually(t, func() bool {
		known := 0
		for _, group := range []string{"g0", "g1"} {
			if _, ok := i.admission.State(group, time.Now()); ok {
				known++
			}
		}
		return known == groups
	}, 5*time.Second, 5*time.Millisecond)
}

// Guards against requests that are sent to a group which cannot serve, while another one
// can: each of them used up an attempt.
func TestClosedGroupGetsNoRequests(t *testing.T) {
	a, b, targets := startPlaces(t, placeConfig())
	keepLoads(t, a, -1, 0)
	for _, i := range []*instance{a, b} {
		i.awaitLoads(t, 2)
		for range 10 {
			require.Equal(t, http.StatusOK, i.request(t.Context(), http.MethodPost, "/chat/1", "").status)
		}
	}
	require.Zero(t, targets[0].requests.Load()+targets[1].requests.Load())
	require.Positive(t, targets[2].requests.Load())
	require.Positive(t, targets[3].requests.Load())
}

// Guards against callers of one instance who wait in vain, or are sent on to a group that
// is full with the requests of other instances: they learn at once when to come back.
func TestFullGroupsRejectAtAllInstances(t *testing.T) {
	a, b, targets := startPlaces(t, placeConfig())
	keepLoads(t, a, 20, 20)
	for _, i := range []*instance{a, b} {
		i.awaitLoads(t, 2)
		began := time.Now()
		resp := i.requestWithin(t.Context(), 300*time.Millisecond, http.MethodPost, "/chat/1", "")
		require.Equal(t, http.StatusTooManyRequests, resp.status, resp.body)
		require.NotEmpty(t, resp.header.Get("Retry-After"))
		require.Contains(t, resp.body, "not_run")
		require.Less(t, time.Since(began), 200*time.Millisecond)
	}
	for _, f := range targets {
		require.Zero(t, f.requests.Load())
	}
}

// Guards against a group that gets no request while no instance coordinates it, although
// its ranks serve.
func TestGroupWithoutCoordinatorKeepsItsShare(t *testing.T) {
	a, b, targets := startPlaces(t, placeConfig())
	keepLoads(t, a, 2) // of g0 only
	for _, i := range []*instance{a, b} {
		i.awaitLoads(t, 1)
		for range 20 {
			require.Equal(t, http.StatusOK, i.request(t.Context(), http.MethodPost, "/chat/1", "").status)
		}
	}
	require.Greater(t, targets[2].requests.Load()+targets[3].requests.Load(), int64(5))
}

// Guards against back ends without known engine times, or without a goal for pauses, whose
// requests would need places: they are served as before.
func TestNoPlacesUnlessTheConfigurationAsksForThem(t *testing.T) {
	withoutTimes, withoutGoal := placeConfig(), placeConfig()
	withoutTimes.Backends[0].Engine = nil
	for i := range withoutGoal.Routes {
		withoutGoal.Routes[i].GapGoal = 0
	}
	for _, cfg := range []routing.Config{withoutTimes, withoutGoal} {
		a, b, _ := startPlaces(t, cfg)
		keepLoads(t, a, 3, 3)
		for _, i := range []*instance{a, b} {
			i.awaitLoads(t, 2)
			state, _ := i.admission.State("g0", time.Now())
			require.False(t, state.Metered)
			require.Equal(t, http.StatusOK, i.request(t.Context(), http.MethodPost, "/chat/1", "").status)
		}
	}
}

// Guards against requests that are held up by a coordinator that has gone: they are sent
// without a place.
func TestRequestsGoOnWithoutCoordinator(t *testing.T) {
	a, b, _ := startPlaces(t, placeConfig())
	for _, group := range []string{"g0", "g1"} {
		load := &routing.GroupLoad{Group: group, Backend: "b", AsOf: time.Now(), Open: true, Imbalance: 1, Slowdown: 1, Ranks: make([]routing.RankLoad, 2)}
		load.Ranks[0].Running, load.Ranks[1].Running = 20, 20
		a.SetGroupLoad(load)
	}
	b.awaitLoads(t, 2)
	a.stop()
	resp := b.request(t.Context(), http.MethodPost, "/chat/1", "")
	require.Equal(t, http.StatusOK, resp.status, resp.body)
}

// Guards against loads of ranks that only some instances know: all of them know what the
// ranks have reported, and what they have sent themselves since.
func TestReportedLoadOfTargets(t *testing.T) {
	a, b, _ := startPlaces(t, placeConfig())
	keepLoads(t, a, 3, 7)
	for _, i := range []*instance{a, b} {
		i.awaitLoads(t, 2)
		for id, want := range map[string]int64{"r0": 3, "r1": 3, "r2": 7, "r3": 7} {
			require.Eventually(t, func() bool {
				target := i.target(id)
				target.mu.Lock()
				defer target.mu.Unlock()
				n, reported := target.load(time.Now())
				return reported && n == want
			}, 2*time.Second, 5*time.Millisecond, "instance %s, target %s", i.id, id)
		}
	}
	target := a.target("r0")
	target.ownRequests.Add(2)
	target.mu.Lock()
	n, _ := target.load(time.Now())
	target.mu.Unlock()
	require.EqualValues(t, 5, n)
	target.ownRequests.Add(-2)
}
