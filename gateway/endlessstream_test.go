package gateway

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const firstEvent = "id: 1\ndata: first\n\n"

// streamScripts are streams that begin well and then send bytes without end that
// contain no further event.
var streamScripts = map[string]func(net.Conn, *http.Request){
	"line":                  flood(sealedHead+"\r\n"+firstEvent+"data: ", garbageText),
	"line, slowly":          dribble(sealedHead+"\r\n"+firstEvent+"data: ", garbageText),
	"event":                 flood(sealedHead+"\r\n"+firstEvent, "data: "+garbageText+"\n"),
	"event, slowly":         dribble(sealedHead+"\r\n"+firstEvent, "data: "+garbageText+"\n"),
	"comment lines":         flood(sealedHead+"\r\n"+firstEvent, ": "+garbageText+"\n"),
	"comment lines, slowly": dribble(sealedHead+"\r\n"+firstEvent, ": "+garbageText+"\n"),
	"no events":             flood(sealedHead+"\r\n"+firstEvent, garbageText+"\n\n"),
	"no events, slowly":     dribble(sealedHead+"\r\n"+firstEvent, garbageText+"\n\n"),
	"no text":               flood(sealedHead+"\r\n"+firstEvent, "\x00\xff\n\n\r\n"),
	"events without ids":    flood(sealedHead+"\r\n"+firstEvent, "data: "+garbageText+"\n\n"),
	"no chunk":              flood(chunkedHead+fmt.Sprintf("%x\r\n%s\r\n", len(firstEvent), firstEvent), garbageText),
	"chunk size":            flood(chunkedHead+fmt.Sprintf("%x\r\n%s\r\n", len(firstEvent), firstEvent), "0000"),
	"event in small chunks": flood(chunkedHead+fmt.Sprintf("%x\r\n%s\r\n", len(firstEvent), firstEvent), "1\r\nd\r\n"),
	"event of many chunks":  dribble(chunkedHead+fmt.Sprintf("%x\r\n%s\r\n", len(firstEvent), firstEvent), "1\r\nd\r\n"),
}

// streamLimit is the time within which a stream goes on or is interrupted: the
// time for an event, and what a loaded machine may add.
const streamLimit = eventTimeout + 3*time.Second

// Guards against a stream that waits until its deadline for an event that never
// ends, buffers it without limit, or passes on bytes that are no event.
func TestStreamWithoutEnd(t *testing.T) {
	for name, handle := range streamScripts {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			t.Run("resumable", func(t *testing.T) { t.Parallel(); requireResumed(t, handle) })
			t.Run("not resumable", func(t *testing.T) { t.Parallel(); requireInterrupted(t, handle) })
		})
	}
}

// requireResumed sends a stream that may be resumed to a target that behaves as
// specified after its first event.
func requireResumed(t *testing.T, handle func(net.Conn, *http.Request)) {
	const second = "id: 2\ndata: second\n\n"
	g, bad, good := startBadAndGood(t, handle, second)
	start := time.Now()
	resp := g.requestWithin(t.Context(), patientDeadline, http.MethodPost, "/chat/1", "")
	require.Less(t, time.Since(start), streamLimit)
	require.NoError(t, resp.err)
	require.Equal(t, firstEvent+second, resp.body)
	require.EqualValues(t, 1, good.requests.Load())
	bad.requireClosed(t)
	require.Positive(t, g.target("bad").currentFailureRate())
}

// requireInterrupted does the same with a stream that may not be resumed.
func requireInterrupted(t *testing.T, handle func(net.Conn, *http.Request)) {
	bad := startFakeTarget(t, "bad", handle)
	cfg := patientConfig()
	cfg.Routes[3].Resumable, cfg.Routes[3].MaxAttempts = false, 1
	g := newDeployment(t, cfg, bad).start("g1")
	start := time.Now()
	resp := g.requestWithin(t.Context(), patientDeadline, http.MethodPost, "/chat/1", "")
	require.Less(t, time.Since(start), streamLimit)
	require.Error(t, resp.err, "an interrupted stream must not look complete")
	require.Equal(t, firstEvent, resp.body)
	bad.requireClosed(t)
	require.Positive(t, g.target("bad").currentFailureRate())
}

// Guards against a stream that waits until its deadline because a target sends
// comments instead of events, although its other streams continue.
func TestCommentsAreNoProgress(t *testing.T) {
	second := "id: 2\ndata: second\n\n"
	g, bad, _ := startBadAndGood(t, dribble(sealedHead+"\r\n"+firstEvent, ": wait\n\n"), second)
	others := time.NewTicker(50 * time.Millisecond)
	defer others.Stop()
	target := g.target("bad")
	go func() {
		for now := range others.C {
			target.recordResponse(now, now.Add(-time.Minute))
		}
	}()
	start := time.Now()
	resp := g.requestWithin(t.Context(), patientDeadline, http.MethodPost, "/chat/1", "")
	require.Less(t, time.Since(start), atOnce)
	require.NoError(t, resp.err)
	require.Equal(t, firstEvent+second, strings.ReplaceAll(resp.body, ": wait\n\n", ""))
	bad.requireClosed(t)
}
