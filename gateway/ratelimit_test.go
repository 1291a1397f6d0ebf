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
