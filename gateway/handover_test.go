package gateway

import (
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// termLog records which instances were asked to take over a term and which did.
type termLog struct {
	mu              sync.Mutex
	asked, accepted map[uint64][]string // by fencing number
}

// startTermDeployment starts instances that know each other. Those in stopping
// refuse terms, although their heartbeats do not report yet that they are leaving.
func startTermDeployment(t *testing.T, ids, stopping []string) (map[string]*instance, *termLog) {
	l := &termLog{asked: map[uint64][]string{}, accepted: map[uint64][]string{}}
	d := newDeployment(t, config())
	d.takeOver = func(id string, term Term) bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.asked[term.Fencing] = append(l.asked[term.Fencing], id)
		if slices.Contains(stopping, id) {
			return false
		}
		l.accepted[term.Fencing] = append(l.accepted[term.Fencing], id)
		return true
	}
	instances := map[string]*instance{}
	for _, id := range ids {
		instances[id] = d.start(id)
	}
	require.Eventually(t, func() bool {
		for _, g := range instances {
			connected := 0
			g.control.call(t.Context(), func() {
				for _, p := range g.control.peers.byID {
					if p.hasSession() {
						connected++
					}
				}
			})
			if connected != len(ids)-1 {
				return false
			}
		}
		return true
	}, 5*time.Second, 10*time.Millisecond)
	return instances, l
}

// Guards against a term that ends with an instance that is stopping as well and
// whose heartbeat has not reported that yet, and against two coordinators with
// one fencing number.
func TestTermReachesInstanceThatStays(t *testing.T) {
	instances, l := startTermDeployment(t, []string{"g1", "g2", "g3", "g4"}, []string{"g1", "g2", "g3"})
	const terms = 30
	for n := range uint64(terms) {
		instances["g1"].HandOver(t.Context(), Term{Group: "g", Fencing: n + 1, Maps: 2})
	}
	require.Eventually(t, func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return len(l.accepted) == terms
	}, 3*time.Second, 10*time.Millisecond)
	time.Sleep(2 * heartbeatInterval)
	l.mu.Lock()
	defer l.mu.Unlock()
	for n, by := range l.accepted {
		require.Equal(t, []string{"g4"}, by, "term %d", n)
	}
}

// Guards against messages that go around forever if all instances stop.
func TestTermEndsIfNobodyStays(t *testing.T) {
	ids := []string{"g1", "g2", "g3", "g4"}
	instances, l := startTermDeployment(t, ids, ids)
	instances["g1"].HandOver(t.Context(), Term{Group: "g", Fencing: 1})
	time.Sleep(4 * heartbeatInterval)
	l.mu.Lock()
	defer l.mu.Unlock()
	require.NotEmpty(t, l.asked[1])
	require.LessOrEqual(t, len(l.asked[1]), len(ids)*(len(ids)-1), "each instance hands the term to each other one once at most")
}

// Guards against a term that goes to an instance of the same data centre, which
// operators often stop at the same time.
func TestSuccessorIsInAnotherDataCentre(t *testing.T) {
	instances, _ := startTermDeployment(t, []string{"g1", "g2", "g3", "g4"}, nil)
	g := instances["g1"]
	for range 20 {
		var id string
		g.control.call(t.Context(), func() {
			for peerID, p := range g.control.peers.byID {
				p.record.DataCentre = map[string]string{"g2": "dc1", "g3": "dc2", "g4": "dc1"}[peerID]
			}
			id, _ = g.control.successor(Term{}, time.Now())
		})
		require.Equal(t, "g3", id)
	}
}

// Guards against a hand-over that blocks the exit of a process whose gateway has
// ended.
func TestHandOverAfterTheStop(t *testing.T) {
	instances, _ := startTermDeployment(t, []string{"g1", "g2"}, nil)
	g := instances["g1"]
	g.stop()
	done := make(chan struct{})
	go func() {
		for len(g.control.inbox) < cap(g.control.inbox) {
			g.control.inbox <- func() {}
		}
		g.HandOver(t.Context(), Term{Group: "g", Fencing: 1})
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(3 * handOverTimeout):
		require.Fail(t, "HandOver does not return")
	}
}
