package e2e

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/platform/platformtest"
)

// startCrashingTargets starts targets that crash on some requests, and counts those
// that reach them.
func startCrashingTargets(d *platformDeployment, count int, crashes func(r *http.Request, body string) bool) *atomic.Int64 {
	arrivals := &atomic.Int64{}
	for i := range count {
		var srv *httptest.Server
		srv = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			platformtest.MarkResponse(w, r)
			if !crashes(r, string(body)) {
				_, _ = io.WriteString(w, "id: 1\ndata: x\n\n")
				return
			}
			arrivals.Add(1)
			_ = srv.Listener.Close()
			conn, _, err := http.NewResponseController(w).Hijack()
			if err == nil {
				_ = conn.(*net.TCPConn).SetLinger(0)
				_ = conn.Close()
			}
		}))
		d.t.Cleanup(srv.Close)
		require.NoError(d.t, platformtest.PutTarget(d.t.Context(), d.store, platformtest.Target{
			ID: fmt.Sprintf("c-%d", i), Service: "s", Addr: strings.TrimPrefix(srv.URL, "http://"), DataCentre: "dc1", Slots: 12,
		}))
	}
	return arrivals
}

// sendParts sends a request for a stream with the given parts in its prompt. Its body
// is the prompt, so that requests with other parts have another body.
func (p *platformProcess) sendParts(id string, parts ...string) (status int, body string) {
	return p.sendPrompt(id, strings.Join(parts, " "), parts...)
}

func (p *platformProcess) sendPrompt(id, prompt string, parts ...string) (status int, body string) {
	req, err := http.NewRequestWithContext(p.t.Context(), http.MethodPost, "http://"+p.callerAddr()+"/chat/1", strings.NewReader(prompt))
	require.NoError(p.t, err)
	req.Host = platformtest.Host
	req.Header = platformtest.CallerHeader(id, 4*time.Second)
	platformtest.SetPromptParts(req.Header, parts...)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(data)
}

// Guards against processes that send on a request that crashes targets, or forget it
// when all of them have restarted. Its parts are harmless.
func TestCrashingRequestOutlivesProcesses(t *testing.T) {
	const contactTime = 3 * time.Second
	d := newPlatformDeployment(t)
	// The usual target does not crash, and a response from it would clear the request.
	require.NoError(t, platformtest.RemoveTarget(t.Context(), d.store, "i-1"))
	arrivals := startCrashingTargets(d, 12, func(_ *http.Request, body string) bool { return body == "poison" })
	gateways := []*platformProcess{d.start("gateway"), d.start("gateway")}
	for _, g := range gateways {
		g.waitReady()
	}
	for k := 0; k < 10 && arrivals.Load() < 3; k++ {
		gateways[k%2].sendPrompt(fmt.Sprintf("crash%d", k), "poison", "aa", "bb", "cc")
	}
	time.Sleep(contactTime)
	requireRefused := func(g *platformProcess, id string) {
		before := arrivals.Load()
		status, body := g.sendPrompt(id, "poison", "aa", "bb", "cc")
		require.Equal(t, http.StatusServiceUnavailable, status, body)
		require.Contains(t, body, `"quarantined"`)
		require.Contains(t, body, `"not_run"`)
		require.Equal(t, before, arrivals.Load())
	}
	requireRefused(gateways[0], "10")
	requireRefused(gateways[1], "11")
	for _, g := range gateways {
		g.signal(syscall.SIGKILL)
		<-g.done
	}
	restarted := d.start("gateway")
	restarted.waitReady()
	requireRefused(restarted, "12")
	status, body := restarted.sendPrompt("other", "another prompt", "aa", "bb", "cc")
	require.Equal(t, http.StatusOK, status, body)
}

// Guards against processes that send on a part that crashes targets, or forget it
// when all of them have restarted.
func TestQuarantineOutlivesProcesses(t *testing.T) {
	const contactTime = 3 * time.Second
	d := newPlatformDeployment(t)
	// The usual target does not crash, and a response from it would acquit the part.
	require.NoError(t, platformtest.RemoveTarget(t.Context(), d.store, "i-1"))
	arrivals := startCrashingTargets(d, 12, func(r *http.Request, _ string) bool {
		return strings.Contains(platformtest.PromptParts(r), "bad1")
	})
	gateways := []*platformProcess{d.start("gateway"), d.start("gateway")}
	for _, g := range gateways {
		g.waitReady()
	}
	for k := 0; k < 10 && arrivals.Load() < 5; k++ {
		gateways[k%2].sendParts(fmt.Sprintf("crash%d", k), "aa", "bad1", fmt.Sprintf("c%d", k))
	}
	time.Sleep(contactTime)
	requireRefused := func(g *platformProcess, id string) {
		before := arrivals.Load()
		status, body := g.sendParts(id, "aa", "bad1", "c"+id)
		require.Equal(t, http.StatusServiceUnavailable, status, body)
		require.Contains(t, body, `"quarantined"`)
		require.Contains(t, body, `"not_run"`)
		require.Equal(t, before, arrivals.Load())
	}
	requireRefused(gateways[0], "10")
	requireRefused(gateways[1], "11")
	for _, g := range gateways {
		g.signal(syscall.SIGKILL)
		<-g.done
	}
	restarted := d.start("gateway")
	restarted.waitReady()
	requireRefused(restarted, "12")
	status, body := restarted.sendParts("sound", "aa", "bb", "cc")
	require.Equal(t, http.StatusOK, status, body)
}
