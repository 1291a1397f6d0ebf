package e2e

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/infra/standin"
	"github.com/skylarkstep/skylarkstep/platform/platformtest"
)

const (
	// registryReturn is the time after a restore within which the entries of all
	// processes are back in the store.
	registryReturn = 2 * time.Second
	// restoreApplyTime is the time within which a change of the operator must take
	// effect: configApplyMs in the settings of the processes.
	restoreApplyTime = 2 * time.Second
)

// restoreTest is a deployment of two gateways and the process beside a rank, with
// two targets in different data centres, whose store is restored while callers send
// requests.
type restoreTest struct {
	*platformDeployment
	gateways []*platformProcess
	rank     *platformProcess
	// counts holds the requests received by the targets in dc1 and dc2.
	counts [2]*atomic.Int64
	addrs  [2]string
	older  standin.Copy
}

// restores are ways in which the store comes back from an older copy.
var restores = []func(*restoreTest){
	func(s *restoreTest) { // refuses calls before
		s.store.SetRefuse(true)
		time.Sleep(300 * time.Millisecond)
		s.store.Restore(s.older)
		s.store.SetRefuse(false)
	},
	func(s *restoreTest) { // does not answer before
		s.store.SetStall(true)
		time.Sleep(700 * time.Millisecond)
		s.store.Restore(s.older)
		s.store.SetStall(false)
	},
	func(s *restoreTest) { // is not away, and gives out the revisions of before at once
		s.store.Restore(s.older)
		for i := range 200 {
			require.NoError(s.t, s.store.Put(s.t.Context(), "other", i))
		}
	},
	func(s *restoreTest) { // twice
		s.store.Restore(s.older)
		time.Sleep(100 * time.Millisecond)
		s.store.Restore(s.older)
	},
}

// startRestoreTest starts the deployment. Its entries, and those of a target, are
// younger than the copy to which the store is restored.
func startRestoreTest(t *testing.T) (s *restoreTest) {
	s = &restoreTest{platformDeployment: newPlatformDeployment(t)}
	for i := range s.addrs {
		count := &atomic.Int64{}
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			count.Add(1)
			platformtest.MarkResponse(w, r)
			_, _ = io.WriteString(w, "ok")
		}))
		t.Cleanup(func() { srv.CloseClientConnections(); srv.Close() })
		s.counts[i], s.addrs[i] = count, strings.TrimPrefix(srv.URL, "http://")
	}
	s.putConfig(1, "first")
	s.putTarget(0)
	s.older = s.store.TakeCopy()
	s.putTarget(1)
	s.gateways = []*platformProcess{s.start("gateway"), s.start("gateway")}
	s.rank = s.start("rank")
	for _, g := range s.gateways {
		g.waitReady()
	}
	s.requireRegistered(waitTimeout)
	return s
}

// putConfig writes a configuration with one route for each name.
func (s *restoreTest) putConfig(version int, routes ...string) {
	list := make([]platformtest.Route, 0, len(routes))
	for _, name := range routes {
		list = append(list, platformtest.Route{Name: name, Timeout: 3 * time.Second, MaxAttempts: 2})
	}
	require.NoError(s.t, platformtest.PutConfig(s.t.Context(), s.store, version, platformtest.Service{Name: "plain"}, list...))
}

// putTarget writes the entry of a target, as it does itself.
func (s *restoreTest) putTarget(i int) {
	require.NoError(s.t, platformtest.PutTarget(s.t.Context(), s.store, platformtest.Target{
		ID: fmt.Sprintf("p-%d", i), Service: "plain", Addr: s.addrs[i], DataCentre: fmt.Sprintf("dc%d", i+1), Slots: 12,
	}))
}

// requireRegistered fails the test unless the entries of all processes are in the
// store in time.
func (s *restoreTest) requireRegistered(limit time.Duration) {
	require.Eventually(s.t, func() bool {
		return s.countItems("skylarkstep/instances/") == len(s.gateways) && s.countItems("skylarkstep/ranks/") == 1
	}, limit, 5*time.Millisecond, "the entries are not in the store")
}

// countItems returns the number of items with the prefix, or -1 if the store does
// not tell.
func (s *restoreTest) countItems(prefix string) int {
	n, err := platformtest.CountItems(s.t.Context(), s.storeURL, prefix)
	if err != nil {
		return -1
	}
	return n
}

// send sends a request on a route and returns the status of the response.
func (s *restoreTest) send(ctx context.Context, g *platformProcess, route string) (int, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/%s/x", g.callerAddr(), route), nil)
	if err != nil {
		return 0, err
	}
	req.Host = platformtest.Host
	req.Header = platformtest.CallerHeader(fmt.Sprint(rand.Uint64()), 3*time.Second)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// requireRoute fails the test unless all gateways serve a route in time.
func (s *restoreTest) requireRoute(route string) {
	start := time.Now()
	for _, g := range s.gateways {
		require.Eventually(s.t, func() bool {
			status, err := s.send(s.t.Context(), g, route)
			return err == nil && status == http.StatusOK
		}, max(time.Millisecond, restoreApplyTime-time.Since(start)), 10*time.Millisecond, "%s does not serve route %q", g.ip, route)
	}
}

// keepSending sends requests on a route to all gateways until stop is called, which
// returns the outcomes that were not 200.
func (s *restoreTest) keepSending(route string) (stop func() []string) {
	ctx, cancel := context.WithCancel(s.t.Context())
	var mu sync.Mutex
	var failed []string
	var wg sync.WaitGroup
	for _, g := range s.gateways {
		wg.Go(func() {
			for ctx.Err() == nil {
				status, err := s.send(context.WithoutCancel(ctx), g, route)
				if err != nil || status != http.StatusOK {
					mu.Lock()
					failed = append(failed, fmt.Sprintf("%s: %d %v", time.Now().Format(time.StampMilli), status, err))
					mu.Unlock()
				}
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	return func() []string { cancel(); wg.Wait(); return failed }
}

// Guards against a store that comes back from an older copy and stops traffic,
// takes back a configuration or an evacuation, loses the entries of the processes,
// or keeps the processes from receiving later changes.
func TestStoreRestoredFromOlderCopy(t *testing.T) {
	s := startRestoreTest(t)
	for i, restore := range restores {
		version := 2 + 3*i
		added := fmt.Sprintf("added%d", version)
		s.putConfig(version, "first", added)
		s.requireRoute(added)
		stopFirst, stopAdded := s.keepSending("first"), s.keepSending(added)
		restore(s)
		s.requireRegistered(registryReturn)
		s.putTarget(0)
		s.putTarget(1)
		time.Sleep(500 * time.Millisecond) // the copy's configuration is the older one
		require.Empty(t, stopAdded(), "the configuration went back")
		s.putConfig(version, "first", added)
		changed := fmt.Sprintf("changed%d", version)
		s.putConfig(version+1, "first", changed)
		s.requireRoute(changed)

		require.NoError(t, platformtest.SetDataCentreOut(t.Context(), s.store, "dc1", true))
		time.Sleep(restoreApplyTime)
		before := s.counts[0].Load()
		elsewhere := s.counts[1].Load()
		restore(s)
		time.Sleep(time.Second)
		require.Equal(t, before, s.counts[0].Load(), "requests reached a data centre that is out of service")
		require.Greater(t, s.counts[1].Load(), elsewhere)
		require.NoError(t, platformtest.SetDataCentreOut(t.Context(), s.store, "dc1", true))
		s.putConfig(version+1, "first", changed)
		s.putTarget(0)
		s.putTarget(1)
		s.requireRegistered(registryReturn)
		require.NoError(t, platformtest.SetDataCentreOut(t.Context(), s.store, "dc1", false))
		require.Eventually(t, func() bool { return s.counts[0].Load() > before }, restoreApplyTime, 5*time.Millisecond, "the data centre was brought back")
		require.Empty(t, stopFirst(), "traffic was interrupted")
	}
	for _, g := range s.gateways {
		g.waitForLog("key-value service restored from an older copy")
		g.waitForLog("own record lost, writing it again")
	}
	s.rank.waitForLog("own record lost, writing it again")
}
