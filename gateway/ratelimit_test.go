package gateway

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/routing"
)

const (
	// limitWindow is the time over which the requests at a target are counted.
	// In each, a target may get limitExcess times what its limit allows, and
	// limitSlack more.
	limitWindow = 4 * time.Second
	limitExcess = 1.5
	limitSlack  = 5
)

// limitedTarget is a target that names a limit in its responses.
type limitedTarget struct {
	*fakeTarget
	// limit is named if it is at least 0. hides is how many of two responses do
	// not name it.
	limit    atomic.Value // float64
	hides    int
	mu       sync.Mutex
	arrivals []time.Time
}

func startLimitedTarget(t *testing.T, id string, limit float64) *limitedTarget {
	l := &limitedTarget{}
	l.limit.Store(limit)
	l.fakeTarget = startFakeTarget(t, id, func(w net.Conn, r *http.Request) {
		l.mu.Lock()
		l.arrivals = append(l.arrivals, time.Now())
		n := len(l.arrivals)
		l.mu.Unlock()
		time.Sleep(10 * time.Millisecond)
		head := ""
		if limit := l.limit.Load().(float64); limit >= 0 && n%2 >= l.hides {
			head = fmt.Sprintf("X-Limit: %g\r\n", limit)
		}
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Seal: s\r\n%sContent-Length: 2\r\n\r\nok", r.Header.Get("X-Id"), head)
	})
	return l
}

// count returns the number of requests between two times.
func (l *limitedTarget) count(from, to time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, at := range l.arrivals {
		if !at.Before(from) && at.Before(to) {
			n++
		}
	}
	return n
}

// most returns the largest number of requests within limitWindow since a time.
func (l *limitedTarget) most(since time.Time) int {
	l.mu.Lock()
	arrivals := slices.Clone(l.arrivals)
	l.mu.Unlock()
	most := 0
	for _, at := range arrivals {
		if !at.Before(since) {
			most = max(most, l.count(at, at.Add(limitWindow)))
		}
	}
	return most
}

// requireLimitKept checks that a target has got neither too many requests since a
// time nor less than half of what its limit allows.
func (l *limitedTarget) requireLimitKept(t *testing.T, limit float64, since time.Time) {
	allowed := limitExcess*limit*limitWindow.Seconds() + limitSlack
	require.LessOrEqual(t, float64(l.most(since)), allowed, "target %s with a limit of %g a second", l.id, limit)
	used := float64(l.count(since, time.Now())) / time.Since(since).Seconds()
	require.GreaterOrEqual(t, used, limit/2, "requests per second at target %s with a limit of %g", l.id, limit)
}

// sendFor sends requests at a rate to each instance and returns how many were
// served.
func sendFor(t *testing.T, d time.Duration, ratePerInstance float64, instances ...*instance) (served, sent int64) {
	var callers sync.WaitGroup
	var ok, all atomic.Int64
	for _, i := range instances {
		callers.Go(func() {
			ticker := time.NewTicker(time.Duration(float64(time.Second) / ratePerInstance))
			defer ticker.Stop()
			for end := time.Now().Add(d); time.Now().Before(end); <-ticker.C {
				callers.Go(func() {
					all.Add(1)
					if i.request(t.Context(), http.MethodPost, fmt.Sprintf("/read/%d", all.Load()), "").status == http.StatusOK {
						ok.Add(1)
					}
				})
			}
		})
	}
	callers.Wait()
	return ok.Load(), all.Load()
}

// startLimited starts a deployment with limited targets.
func startLimited(t *testing.T, targets ...*limitedTarget) *deployment {
	fakes := make([]*fakeTarget, 0, len(targets))
	for _, l := range targets {
		fakes = append(fakes, l.fakeTarget)
	}
	cfg := config()
	cfg.Backends = []routing.Backend{{Name: "b", MaxConns: 100}}
	return newDeployment(t, cfg, fakes...)
}

// Guards against a target that gets more requests than the limit that it names
// allows, summed over all instances.
func TestTargetGetsNoMoreThanItsLimit(t *testing.T) {
	t.Parallel()
	limited, free := startLimitedTarget(t, "limited", 2.5), startLimitedTarget(t, "free", -1)
	d := startLimited(t, limited, free)
	instances := []*instance{d.start("g1"), d.start("g2"), d.start("g3")}
	start := time.Now()
	served, sent := sendFor(t, contactTime+8*time.Second, 10, instances...)
	limited.requireLimitKept(t, 2.5, start.Add(contactTime))
	require.Equal(t, sent, served, "requests beyond the limit go to another target")
}

// Guards against a limit that is half unused because one instance has all the load.
func TestLimitIsUsedAtUnevenLoad(t *testing.T) {
	t.Parallel()
	limited := startLimitedTarget(t, "limited", 8)
	d := startLimited(t, limited, startLimitedTarget(t, "free", -1))
	busy := d.start("g1")
	d.start("g2")
	d.start("g3")
	start := time.Now()
	sendFor(t, contactTime+8*time.Second, 40, busy)
	limited.requireLimitKept(t, 8, start.Add(contactTime))
}

// Guards against limits that are mixed up, against decimals that are cut off, and
// against limits that apply no longer when they rise or fall, or are named in some
// responses only.
func TestLimitsOfSeveralTargets(t *testing.T) {
	t.Parallel()
	slow, half, changing := startLimitedTarget(t, "slow", 0.5), startLimitedTarget(t, "half", 3), startLimitedTarget(t, "changing", 6)
	half.hides = 1
	d := startLimited(t, slow, half, changing, startLimitedTarget(t, "free", -1))
	instances := []*instance{d.start("g1"), d.start("g2"), d.start("g3")}
	start := time.Now()
	changed := start.Add(contactTime + 5*time.Second)
	time.AfterFunc(time.Until(changed), func() { changing.limit.Store(2.0) })
	sendFor(t, 2*contactTime+13*time.Second, 15, instances...)
	slow.requireLimitKept(t, 0.5, start.Add(contactTime))
	half.requireLimitKept(t, 3, start.Add(contactTime))
	changing.requireLimitKept(t, 2, changed.Add(contactTime))
	require.GreaterOrEqual(t, changing.count(start.Add(contactTime), changed), 15, "half of 6 a second in 5 s")
}

// Guards against a limit that stays after the target has ceased to name it.
func TestLimitEnds(t *testing.T) {
	t.Parallel()
	limited := startLimitedTarget(t, "limited", 3)
	d := startLimited(t, limited, startLimitedTarget(t, "free", -1))
	instances := []*instance{d.start("g1"), d.start("g2")}
	ends := time.Now().Add(contactTime)
	time.AfterFunc(contactTime, func() { limited.limit.Store(-1.0) })
	sendFor(t, contactTime+12*time.Second, 20, instances...)
	require.Greater(t, limited.count(ends.Add(10*time.Second), ends.Add(12*time.Second)), 20, "10 of the 20 requests a second go to each target")
}

// Guards against an instance that has just started and sends more than the limit
// until a response tells it of the limit.
func TestStartedInstanceKnowsLimit(t *testing.T) {
	t.Parallel()
	limited := startLimitedTarget(t, "limited", 2)
	d := startLimited(t, limited, startLimitedTarget(t, "free", -1))
	first := d.start("g1")
	sendFor(t, 2*time.Second, 10, first)
	second := d.start("g2")
	require.Eventually(t, func() bool {
		target := second.target("limited")
		target.mu.Lock()
		defer target.mu.Unlock()
		return target.rateLimit.named
	}, contactTime, 10*time.Millisecond)
	start := time.Now()
	sendFor(t, limitWindow, 20, second)
	require.LessOrEqual(t, limited.count(start, start.Add(limitWindow)), 17)
}

// Guards against requests that wait in vain if all targets have named a limit: those
// beyond it are refused soon, with a time after which there is room.
func TestRequestsBeyondAllLimitsAreRefused(t *testing.T) {
	t.Parallel()
	a, b := startLimitedTarget(t, "a", 2), startLimitedTarget(t, "b", 2)
	d := startLimited(t, a, b)
	instances := []*instance{d.start("g1"), d.start("g2")}
	start := time.Now()
	served, sent := sendFor(t, contactTime+8*time.Second, 10, instances...)
	a.requireLimitKept(t, 2, start.Add(contactTime))
	b.requireLimitKept(t, 2, start.Add(contactTime))
	require.Less(t, served, sent)
	for range 10 {
		before := time.Now()
		resp := instances[0].request(t.Context(), http.MethodPost, "/read/last", "")
		if resp.status == http.StatusOK {
			continue
		}
		require.Contains(t, []int{http.StatusTooManyRequests, http.StatusServiceUnavailable}, resp.status)
		require.NotEmpty(t, resp.header.Get("Retry-After"))
		require.Less(t, time.Since(before), 2*time.Second, "it was held although it could not be served")
	}
}

// Guards against retries and hedges that are not counted at a limited target.
func TestRetriesCountTowardsLimit(t *testing.T) {
	t.Parallel()
	limited := startLimitedTarget(t, "limited", 2)
	failing := startFakeTarget(t, "failing", func(w net.Conn, r *http.Request) {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 500 E\r\nX-Id: %s\r\nX-Seal: s\r\nContent-Length: 0\r\n\r\n", r.Header.Get("X-Id"))
	})
	cfg := config()
	cfg.Backends = []routing.Backend{{Name: "b", MaxConns: 100}}
	d := newDeployment(t, cfg, limited.fakeTarget, failing)
	instances := []*instance{d.start("g1"), d.start("g2"), d.start("g3")}
	start := time.Now()
	sendFor(t, contactTime+6*time.Second, 10, instances...)
	limited.requireLimitKept(t, 2, start.Add(contactTime))
}
