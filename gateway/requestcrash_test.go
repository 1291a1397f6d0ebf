package gateway

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/gateway/crashguard"
	"github.com/skylarkstep/skylarkstep/routing"
	"github.com/skylarkstep/skylarkstep/routing/quarantine"
)

// crashingBody is the body of a request that crashes each target that begins to
// run it.
const crashingBody = "poison"

// sendBody sends a request whose caller, path and body are always the same.
func (i *instance) sendBody(ctx context.Context, path, key, body string) response {
	return i.sendWithBody(ctx, http.MethodPost, path, http.Header{"X-Key": {key}, "X-Deadline": {"4s"}}, body)
}

// sendUntilCrashes repeats a request that crashes targets, at the instances in
// turn, until it has crashed three or no target begins to run it any longer.
func (f *crashFleet) sendUntilCrashes(path string, instances ...*instance) {
	for k := 0; f.crashes.Load() < crashesOfRequest && k < 4*crashesOfRequest; k++ {
		instances[k%len(instances)].sendBody(f.t.Context(), path, "k1", crashingBody)
	}
	require.GreaterOrEqual(f.t, f.crashes.Load(), int64(crashesOfRequest))
}

// requireNotRepeated repeats the request at each instance, contactTime after it
// has crashed three targets.
func (f *crashFleet) requireNotRepeated(path string, instances ...*instance) {
	before := f.arrivals.Load()
	for range 5 {
		for _, i := range instances {
			resp := i.sendBody(f.t.Context(), path, "k1", crashingBody)
			require.NotEqual(f.t, http.StatusOK, resp.status)
		}
	}
	require.LessOrEqual(f.t, f.arrivals.Load()-before, int64(toleratedSends), "the request was sent again after it had crashed %d targets", f.crashes.Load())
}

// requireOthersServed sends requests that differ from the crashing one in the
// body, the path or the customer.
func (f *crashFleet) requireOthersServed(path string, instances ...*instance) {
	for k := range 3 {
		for _, i := range instances {
			for _, other := range []struct{ path, body string }{{path, fmt.Sprintf("sound%d", k)}, {fmt.Sprintf("%s/%d", path, k), "sound"}} {
				resp := i.sendBody(f.t.Context(), other.path, "k1", other.body)
				require.NoError(f.t, resp.err)
				require.Equal(f.t, http.StatusOK, resp.status, "a sound request was refused: %s", resp.body)
			}
		}
	}
}

// requestPaths holds a path of each kind of route.
var requestPaths = map[string]string{"idempotent": "/read/1", "non-idempotent": "/book/1", "two attempts": "/swap/1", "stream": "/chat/1", "keyed": "/keyed/1"}

// Guards against targets that crash one after the other because a request that has
// crashed targets is sent on each time its caller sends it again, to any instance.
func TestRequestThatCrashesTargetsIsNotRepeated(t *testing.T) {
	t.Parallel()
	for name, path := range requestPaths {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startCrashFleet(t, 12)
			f.crashesOn = func(_ *http.Request, body string) bool { return body == crashingBody }
			f.beginsHead = false
			instances := []*instance{f.d.start("g1"), f.d.start("g2"), f.d.start("g3")}
			f.sendUntilCrashes(path, instances...)
			time.Sleep(contactTime)
			f.requireNotRepeated(path, instances...)
			f.requireOthersServed(path, instances...)
		})
	}
}

// Guards against a service of three targets, all of which are down at the same
// time, at which the request is repeated by several instances at once as soon as
// they are back, while harmless requests are in progress beside it and are lost with it.
func TestRequestIsNotRepeatedAtServiceOfThreeTargets(t *testing.T) {
	t.Parallel()
	f := startCrashFleet(t, 3)
	f.crashesOn = func(_ *http.Request, body string) bool { return body == crashingBody }
	f.beginsHead, f.slots, f.restartPause, f.pause = false, 6, time.Second, 60*time.Millisecond
	instances := []*instance{f.d.start("g1"), f.d.start("g2"), f.d.start("g3")}
	f.requireOthersServed("/read/1", instances...)
	var callers sync.WaitGroup
	end := time.Now().Add(12 * time.Second)
	repeat := func(i *instance, path string, body func(n int) string, pause time.Duration) {
		callers.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				i.sendBody(t.Context(), path, "k1", body(n))
				time.Sleep(pause)
			}
		})
	}
	var allowedArrivals atomic.Int64
	callers.Go(func() {
		for f.crashes.Load() < crashesOfRequest && time.Now().Before(end) {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(contactTime)
		allowedArrivals.Store(f.arrivals.Load())
	})
	for k, i := range instances {
		repeat(i, "/read/1", func(int) string { return crashingBody }, 150*time.Millisecond)
		repeat(i, "/read/sound", func(n int) string { return fmt.Sprintf("%d of %d", n, k) }, 20*time.Millisecond)
		repeat(i, "/book/sound", func(n int) string { return fmt.Sprintf("%d of %d", n/4, k) }, 20*time.Millisecond)
	}
	callers.Wait()
	require.LessOrEqual(t, f.arrivals.Load()-allowedArrivals.Load(), int64(toleratedSends), "%d targets crashed", f.crashes.Load())
	f.requireOthersServed("/read/1", instances...)
	for _, i := range instances {
		require.LessOrEqual(t, len(i.guard.View().Entries), 1, "a sound request was blamed")
	}
}

// Guards against crash reports that count only at the instance that saw the crash.
func TestInstanceThatSawNoCrashDoesNotRepeatRequest(t *testing.T) {
	t.Parallel()
	f := startCrashFleet(t, 12)
	f.crashesOn = func(_ *http.Request, body string) bool { return body == crashingBody }
	saw := []*instance{f.d.start("g1"), f.d.start("g2"), f.d.start("g3")}
	other := f.d.start("g4")
	for _, i := range saw { // one crash at each
		i.sendBody(t.Context(), "/book/1", "k1", crashingBody)
	}
	time.Sleep(contactTime)
	f.requireNotRepeated("/book/1", other)
	f.requireOthersServed("/book/1", other)
}

// Guards against instances that forget the request when they all restart.
func TestRequestIsNotRepeatedAfterRestart(t *testing.T) {
	t.Parallel()
	f := startCrashFleet(t, 12)
	f.crashesOn = func(_ *http.Request, body string) bool { return body == crashingBody }
	first := []*instance{f.d.start("g1"), f.d.start("g2")}
	f.sendUntilCrashes("/swap/1", first...)
	time.Sleep(contactTime)
	for _, i := range first {
		i.stop()
	}
	restarted := []*instance{f.d.start("g1"), f.d.start("g3")}
	f.requireNotRepeated("/swap/1", restarted...)
	f.requireOthersServed("/swap/1", restarted...)
}

// Guards against a request of which repeats run at the same time, are queued or are
// hedged while it crashes targets.
func TestRepeatsInProgressEndWithRequest(t *testing.T) {
	t.Parallel()
	f := startCrashFleet(t, 12)
	f.crashesOn = func(_ *http.Request, body string) bool { return body == crashingBody }
	f.beginsHead, f.slots = false, 1
	instances := []*instance{f.d.start("g1"), f.d.start("g2")}
	var callers sync.WaitGroup
	for k := range 40 {
		callers.Go(func() { instances[k%2].sendBody(t.Context(), "/read/1", "k1", crashingBody) })
	}
	callers.Wait()
	time.Sleep(contactTime)
	f.requireNotRepeated("/read/1", instances...)
	f.requireOthersServed("/read/1", instances...)
}

// Guards against requests that are quarantined for crashes of their targets for other
// reasons, although each of them is sent again with the same body.
func TestCrashesForOtherReasonsBlameNoRequest(t *testing.T) {
	t.Parallel()
	f := startCrashFleet(t, 3)
	f.crashesOn = func(*http.Request, string) bool { return false }
	f.pause, f.restartPause = 200*time.Millisecond, 300*time.Millisecond
	instances := []*instance{f.d.start("g1"), f.d.start("g2")}
	var callers sync.WaitGroup
	end := time.Now().Add(8 * time.Second)
	for k := range 12 {
		callers.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				instances[(k+n)%2].sendBody(t.Context(), "/read/1", "k1", strings.Repeat("a", k+n/3))
			}
		})
	}
	for time.Now().Before(end) {
		time.Sleep(700 * time.Millisecond)
		f.crashAny(1 + int(f.crashes.Load())%3)
	}
	callers.Wait()
	for _, i := range instances {
		require.Empty(t, i.guard.View().Entries, "a sound request was blamed")
	}
	f.requireOthersServed("/read/1", instances...)
}

// startRequestFleet starts targets that crash on crashingBody, and instances that
// have served other requests.
func startRequestFleet(t *testing.T, targets int, ids ...string) (*crashFleet, []*instance) {
	f := startCrashFleet(t, targets)
	f.crashesOn = func(_ *http.Request, body string) bool { return strings.HasPrefix(body, crashingBody) }
	f.beginsHead = false
	var instances []*instance
	for _, id := range ids {
		instances = append(instances, f.d.start(id))
	}
	return f, instances
}

// Guards against parts of a prompt that are quarantined for one request with them.
func TestPartsOfCrashingRequestAreServed(t *testing.T) {
	t.Parallel()
	f, instances := startRequestFleet(t, 12, "g1", "g2")
	send := func(i *instance, body string) response {
		return i.sendWithBody(t.Context(), http.MethodPost, "/chat/1", http.Header{"X-Parts": {"shared,session,own"}, "X-Deadline": {"4s"}}, body)
	}
	for k := 0; f.crashes.Load() < crashesOfRequest; k++ {
		send(instances[k%2], crashingBody)
	}
	time.Sleep(contactTime)
	before := f.arrivals.Load()
	for k := range 6 {
		require.NotEqual(t, http.StatusOK, send(instances[k%2], crashingBody).status)
		require.Equal(t, http.StatusOK, send(instances[k%2], "harmless").status)
	}
	require.LessOrEqual(t, f.arrivals.Load()-before, int64(toleratedSends))
}

// Guards against repeats that are taken for other requests, and against others that
// are taken for repeats.
func TestWhichRequestsAreTheSame(t *testing.T) {
	t.Parallel()
	f, instances := startRequestFleet(t, 12, "g1")
	cfg := config()
	cfg.Version, cfg.Routes[4].MaxAttempts = 2, 2
	cfg.Customers = append(cfg.Customers, routing.Customer{Name: "d", Keys: []string{"k3"}})
	f.d.put("config", cfg)
	g := instances[0]
	require.Eventually(t, func() bool { return g.snapshot.Load().table.Config.Version == 2 }, 3*time.Second, 5*time.Millisecond)
	large := crashingBody + strings.Repeat("a", 1<<20)
	send := func(method, path, key, body string, more http.Header) response {
		header := http.Header{"X-Key": {key}, "X-Deadline": {"4s"}}
		for name, values := range more {
			header[name] = values
		}
		return g.sendWithBody(t.Context(), method, path, header, body)
	}
	for range crashesOfRequest {
		send(http.MethodPost, "/keyed/1?q=1", "k1", large, nil)
	}
	time.Sleep(time.Second)
	before := f.arrivals.Load()
	for name, resp := range map[string]response{
		"again":              send(http.MethodPost, "/keyed/1?q=1", "k1", large, nil),
		"another key":        send(http.MethodPost, "/keyed/1?q=1", "k2", large, nil),
		"another deadline":   send(http.MethodPost, "/keyed/1?q=1", "k1", large, http.Header{"X-Deadline": {"1500ms"}}),
		"other parts":        send(http.MethodPost, "/keyed/1?q=1", "k1", large, http.Header{"X-Parts": {"first,own"}}),
		"resumes":            send(http.MethodPost, "/keyed/1?q=1", "k1", large, http.Header{"Last-Event-Id": {"3"}}),
		"a trace of its own": send(http.MethodPost, "/keyed/1?q=1", "k1", large, http.Header{"Traceparent": {"00-1-2-01"}}),
	} {
		require.Equal(t, http.StatusServiceUnavailable, resp.status, name)
		require.Contains(t, resp.body, `"quarantined"`, name)
		require.Contains(t, resp.body, `"not_run"`, name)
		require.NotEmpty(t, resp.header.Get("Retry-After"), name)
	}
	require.Equal(t, before, f.arrivals.Load())
	f.crashesOn = func(*http.Request, string) bool { return false }
	for name, resp := range map[string]response{
		"another customer": send(http.MethodPost, "/keyed/1?q=1", "k3", large, nil),
		"another query":    send(http.MethodPost, "/keyed/1?q=2", "k1", large, nil),
		"another body":     send(http.MethodPost, "/keyed/1?q=1", "k1", large+"b", nil),
		"another method":   send(http.MethodPut, "/keyed/1?q=1", "k1", large, nil),
	} {
		require.Equal(t, http.StatusOK, resp.status, name)
	}
}

// Guards against a caller that has the requests of others turned away by naming
// them as parts of prompts that crash targets.
func TestPartNamedLikeRequestIsIgnored(t *testing.T) {
	t.Parallel()
	f, instances := startRequestFleet(t, 12, "g1")
	g := instances[0]
	const other = "request:0123456789abcdef0123456789abcdef"
	for k := range 4 {
		header := http.Header{"X-Parts": {other + ",own"}, "X-Deadline": {"4s"}}
		g.sendWithBody(t.Context(), http.MethodPost, fmt.Sprintf("/book/%d", k), header, crashingBody)
	}
	time.Sleep(time.Second)
	require.NotContains(t, g.guard.View().CrashCounts, other)
	require.NotContains(t, g.guard.View().Entries, other)
	require.EqualValues(t, 4, f.crashes.Load())
}

// Guards against repeats that reach targets through an instance that stops, has
// just started while the store is away, or was cut off.
func TestEachInstanceKeepsRequestFromTargets(t *testing.T) {
	t.Parallel()
	f, instances := startRequestFleet(t, 12, "g1", "g2", "g3")
	f.d.stopTimeout = 8 * time.Second
	saw, stopping, cut := instances[0], instances[1], instances[2]
	cut.kv.refuse.Store(true)
	go stopping.stop()
	require.Eventually(t, stopping.isLeaving, time.Second, time.Millisecond)
	f.sendUntilCrashes("/book/1", saw)
	time.Sleep(contactTime)
	started := f.d.start("g4")
	f.requireNotRepeated("/book/1", saw, stopping, cut, started)
}

// Guards against a crash that no refused connection shows, because the host of the
// target is gone: the removal of its entry confirms it.
func TestCrashThatEntryShowsCountsAgainstRequest(t *testing.T) {
	t.Parallel()
	f, instances := startRequestFleet(t, 12, "g1")
	f.keepsPort = true
	for range crashesOfRequest {
		instances[0].sendBody(t.Context(), "/book/1", "k1", crashingBody)
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(contactTime)
	f.requireNotRepeated("/book/1", instances...)
}

// Guards against an operator who cannot see or clear a request that is turned away.
func TestOperatorSeesAndClearsRequest(t *testing.T) {
	t.Parallel()
	f, instances := startRequestFleet(t, 12, "g1", "g2")
	f.sendUntilCrashes("/book/1", instances...)
	var list crashguard.List
	require.Eventually(t, func() bool {
		list = instances[1].QuarantineList(t.Context())
		return len(list.Parts) == 1
	}, contactTime, 10*time.Millisecond)
	require.True(t, quarantine.IsRequest(list.Parts[0].Part))
	require.Equal(t, []string{"g1", "g2"}, list.Parts[0].Reporters)
	require.Len(t, list.Parts[0].Crashes, crashesOfRequest)
	resp := instances[1].sendBody(t.Context(), "/book/1", "k1", crashingBody)
	require.Contains(t, resp.body, list.Parts[0].Part, "the response does not name what the operator must look for")
	f.crashesOn = func(*http.Request, string) bool { return false }
	instances[0].SetQuarantined(t.Context(), list.Parts[0].Part, false)
	require.Eventually(t, func() bool {
		return instances[1].sendBody(t.Context(), "/book/1", "k1", crashingBody).status == http.StatusOK
	}, contactTime, 10*time.Millisecond)
}
