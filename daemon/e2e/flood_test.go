package e2e

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/platform/platformtest"
)

// Memory of the machines of a small deployment in bytes.
const (
	gatewayMemory = 284 << 20
	rankMemory    = 152 << 20
)

// floodUnit is the size of one write of a flood in bytes.
const floodUnit = 256 << 10

// floods are responses that never end, by what never ends: their beginning and what follows
// again and again. MARKS, REFUSAL and OTHER stand for the lines by which a response belongs to
// the request, refuses it, or belongs to another one.
var floods = map[string][2]string{
	"no HTTP":                 {"", "garbage "},
	"status line":             {"HTTP/1.1 200 ", "garbage "},
	"header line":             {"HTTP/1.1 200 OK\r\nX-Garbage: ", "garbage "},
	"headers":                 {"HTTP/1.1 200 OK\r\n", "X-Garbage: garbage\r\n"},
	"informational responses": {"", "HTTP/1.1 103 Early Hints\r\nX-Garbage: garbage\r\n\r\n"},
	"body":                    {"HTTP/1.1 200 OK\r\nMARKS\r\n", "garbage "},
	"body of an error":        {"HTTP/1.1 500 Failed\r\nMARKS\r\n", "garbage "},
	"body of a refusal":       {"HTTP/1.1 503 Full\r\nREFUSAL\r\n", "garbage "},
	"body for somebody else":  {"HTTP/1.1 200 OK\r\nOTHER\r\n", "garbage "},
	"chunks":                  {"HTTP/1.1 200 OK\r\nMARKSTransfer-Encoding: chunked\r\n\r\n", "8\r\ngarbage \r\n"},
	"chunk size":              {"HTTP/1.1 200 OK\r\nMARKSTransfer-Encoding: chunked\r\n\r\n", "0"},
	"event":                   {"HTTP/1.1 200 OK\r\nMARKS\r\nid: 1\ndata: x\n\n", "data: garbage\n"},
}

// floodingTarget is a target, and a rank, that answers each request with a flood once it is
// in trouble, as long as the caller keeps the connection.
type floodingTarget struct {
	addr string
	// inTrouble is set from the start, unless a test clears it.
	inTrouble atomic.Bool
	// flooded counts the requests that were answered with a flood.
	flooded atomic.Int64
}

func startFloodingTarget(t *testing.T, flood [2]string) *floodingTarget {
	f := &floodingTarget{}
	f.inTrouble.Store(true)
	unit := []byte(strings.Repeat(flood[1], floodUnit/len(flood[1])))
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !f.inTrouble.Load() {
			if !platformtest.ServeRankReport(w, r) {
				_, _ = io.WriteString(w, "{}")
			}
			return
		}
		f.flooded.Add(1)
		_, _ = io.Copy(io.Discard, r.Body)
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		id := platformtest.RequestID(r)
		lines := strings.NewReplacer("MARKS", platformtest.ResponseLines(id), "REFUSAL", platformtest.RefusalLines(id), "OTHER", platformtest.ResponseLines("other"))
		_, err = lines.WriteString(conn, flood[0])
		for err == nil {
			_, err = conn.Write(unit)
		}
	}))
	t.Cleanup(srv.Close)
	f.addr = strings.TrimPrefix(srv.URL, "http://")
	return f
}

// peakMemory returns the most memory that a process has had in bytes.
func (p *platformProcess) peakMemory() int64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	require.NoError(p.t, err)
	_, after, _ := strings.Cut(string(status), "VmHWM:")
	var kilobytes int64
	_, err = fmt.Sscan(after, &kilobytes)
	require.NoError(p.t, err)
	return kilobytes << 10
}

// startFlooded starts a deployment with a sound target and one that floods.
func startFlooded(t *testing.T, flood [2]string) (*platformDeployment, *floodingTarget) {
	const slots = 12
	d := newPlatformDeployment(t)
	require.NoError(t, platformtest.PutConfig(t.Context(), d.store, 2, platformtest.Service{Name: "s"},
		platformtest.Route{Name: "chat", Timeout: 9 * time.Second, MaxAttempts: 2, Stream: true},
		platformtest.Route{Name: "call", Timeout: 9 * time.Second, MaxAttempts: 2}))
	flooding := startFloodingTarget(t, flood)
	entry := platformtest.Target{ID: "i-flood", Service: "s", Addr: flooding.addr, DataCentre: "dc1", Slots: slots}
	require.NoError(t, platformtest.PutTarget(t.Context(), d.store, entry))
	return d, flooding
}

// Guards against a target whose bytes without end are kept until the gateway has used up
// the memory of its machine: the requests of other clients would end with it.
func TestFloodingTargetEndsNoGateway(t *testing.T) {
	const (
		clients = 400
		runTime = 2 * time.Second
	)
	for name, flood := range floods {
		t.Run(name, func(t *testing.T) {
			d, flooding := startFlooded(t, flood)
			g := d.start("gateway")
			g.waitReady()
			answers := g.playClients(clients, runTime)
			t.Logf("peak %d MB, %d answers, %d requests at the flooding target", g.peakMemory()>>20, answers, flooding.flooded.Load())
			require.Positive(t, flooding.flooded.Load())
			require.Positive(t, answers)
			require.Less(t, g.peakMemory(), int64(gatewayMemory))
			select {
			case <-g.done:
				require.Fail(t, "the gateway has ended")
			default:
			}
		})
	}
}

// playClients lets clients send streams and calls one after the other for a time, and
// returns the number of those that were answered.
func (p *platformProcess) playClients(clients int, runTime time.Duration) int64 {
	ctx, cancel := context.WithTimeout(p.t.Context(), runTime)
	defer cancel()
	var answers atomic.Int64
	var playing sync.WaitGroup
	for i := range clients {
		path := [...]string{"/chat/1", "/call/1"}[i%2]
		playing.Go(func() {
			for k := 0; ctx.Err() == nil; k++ {
				if p.isAnswered(ctx, path, fmt.Sprintf("%d-%d", i, k)) {
					answers.Add(1)
				}
			}
		})
	}
	playing.Wait()
	return answers.Load()
}

// isAnswered sends a request and reports whether it gets a complete response of 200.
func (p *platformProcess) isAnswered(ctx context.Context, path, id string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.callerAddr()+path, strings.NewReader("x"))
	if err != nil {
		return false
	}
	req.Host = platformtest.Host
	req.Header = platformtest.CallerHeader(id, 4*time.Second)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}

// Guards against a rank whose bytes without end are kept by the process beside it, or by
// the gateway that coordinates its group. The rank is in order until both have begun.
func TestFloodingRankEndsNoProcess(t *testing.T) {
	const runTime = 2 * time.Second
	for name, flood := range floods {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newPlatformDeployment(t)
			experts := &platformtest.Experts{Sets: 1, Experts: 4, Placements: 4, Spare: 1}
			require.NoError(t, platformtest.PutConfig(t.Context(), d.store, 2, platformtest.Service{Name: "s", Experts: experts}))
			flooding := startFloodingTarget(t, flood)
			flooding.inTrouble.Store(false)
			d.target = flooding.addr
			d.putTarget(12)
			rank, gateway := d.start("rank"), d.start("gateway")
			rank.waitForLog("rank joined")
			gateway.waitForLog("coordinating")
			flooding.inTrouble.Store(true)
			time.Sleep(runTime)
			gateway.waitForLog("query of rank failed")
			byBoth := flooding.flooded.Load()
			require.Less(t, rank.peakMemory(), int64(rankMemory))
			rank.signal(terminate)
			rank.waitForExit()
			atExit := flooding.flooded.Load()
			require.Eventually(t, func() bool { return flooding.flooded.Load() > atExit }, waitTimeout, time.Millisecond, "the gateway does not ask the rank itself")
			time.Sleep(runTime)
			t.Logf("%d floods by both, %d by the gateway alone; gateway %d MB", byBoth, flooding.flooded.Load()-atExit, gateway.peakMemory()>>20)
			require.Less(t, gateway.peakMemory(), int64(gatewayMemory))
			gateway.signal(terminate)
			gateway.waitForExit()
		})
	}
}
