package gateway

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// logBuffer collects the log of a deployment.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

// find returns the first line with a message, or nil.
func (l *logBuffer) find(t *testing.T, msg string) map[string]any {
	if found := l.lines(t, msg); len(found) > 0 {
		return found[0]
	}
	return nil
}

// lines returns the lines with a message. It fails the test on a line that has a
// field twice, of which JSON readers keep only one value.
func (l *logBuffer) lines(t *testing.T, msg string) []map[string]any {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []map[string]any
	s := bufio.NewScanner(bytes.NewReader(l.buf.Bytes()))
	for s.Scan() {
		var fields map[string]any
		require.NoError(t, json.Unmarshal(s.Bytes(), &fields))
		for name := range fields {
			require.Equal(t, 1, strings.Count(s.Text(), `"`+name+`":`), "field %q in %s", name, s.Text())
		}
		if fields["msg"] == msg {
			found = append(found, fields)
		}
	}
	return found
}

func (d *deployment) keepLog() *logBuffer {
	l := &logBuffer{}
	d.logger = slog.New(slog.NewJSONHandler(l, nil)).With("instance", "self", "role", "gateway")
	return l
}

// Guards against a log that does not show whether a late stream began late or
// paused.
func TestLogShowsTimingOfStream(t *testing.T) {
	const pause = 120 * time.Millisecond
	fake := startFakeTarget(t, "r", func(w net.Conn, r *http.Request) {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("X-Id"))
		for range 3 {
			time.Sleep(pause)
			_, _ = fmt.Fprint(w, "f\r\nid: 1\ndata: a\n\n\r\n")
		}
		_, _ = fmt.Fprint(w, "0\r\n\r\n")
	})
	d := newDeployment(t, config(), fake)
	log := d.keepLog()
	g := d.start("g1")
	require.Equal(t, http.StatusOK, g.request(t.Context(), http.MethodPost, "/chat/1", "").status)
	var line map[string]any
	require.Eventually(t, func() bool { line = log.find(t, "request"); return line != nil }, time.Second, time.Millisecond)
	require.GreaterOrEqual(t, line["first_event_ms"], float64(pause.Milliseconds()))
	require.GreaterOrEqual(t, line["longest_gap_ms"], float64(pause.Milliseconds()-20))
}

// Guards against a log from which it cannot be told what requests had in common
// that were in progress when a target crashed.
func TestLogShowsPromptPartsOfLostRequest(t *testing.T) {
	fake := startFakeTarget(t, "r", func(w net.Conn, r *http.Request) {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("X-Id"))
		reset(w)
	})
	d := newDeployment(t, config(), fake)
	log := d.keepLog()
	g := d.start("g1")
	g.requestWithParts(t.Context(), "/chat/1", "shared", "bad", "own")
	for _, msg := range []string{"attempt failed", "request"} {
		var line map[string]any
		require.Eventually(t, func() bool { line = log.find(t, msg); return line != nil }, time.Second, time.Millisecond)
		require.Equal(t, []any{"shared", "bad", "own"}, line["prompt_parts"])
		if msg == "attempt failed" {
			require.Equal(t, true, line["began"])
		}
	}
}

// fingerprintsOf returns the fingerprints in the lines with a message.
func (l *logBuffer) fingerprintsOf(t *testing.T, msg string) []any {
	var found []any
	for _, line := range l.lines(t, msg) {
		found = append(found, line["fingerprint"])
	}
	return found
}

// Guards against a log from which it cannot be told whether two lost requests are
// the same one, sent again.
func TestLogShowsWhetherRequestsAreTheSame(t *testing.T) {
	fake := startFakeTarget(t, "r", func(w net.Conn, _ *http.Request) { reset(w) })
	d := newDeployment(t, config(), fake)
	log := d.keepLog()
	g1, g2 := d.start("g1"), d.start("g2")
	send := func(i *instance, path, key string) {
		lines := len(log.fingerprintsOf(t, "request"))
		i.request(t.Context(), http.MethodPost, path, key)
		require.Eventually(t, func() bool { return len(log.fingerprintsOf(t, "request")) > lines }, time.Second, time.Millisecond)
	}
	send(g1, "/book/1", "")
	send(g2, "/book/1", "")
	send(g1, "/keyed/1", "k1")
	send(g1, "/keyed/1", "k2") // another key of the same customer
	send(g1, "/book/1?again", "")
	found := log.fingerprintsOf(t, "request")
	require.Len(t, found, 5)
	require.NotEmpty(t, found[0])
	require.Equal(t, found[0], found[1])
	require.Equal(t, found[2], found[3])
	require.NotEqual(t, found[0], found[2])
	require.NotEqual(t, found[0], found[4])
	require.Contains(t, log.fingerprintsOf(t, "attempt failed"), found[0])
}

// Guards against a line that names a peer in the field "instance": skylarkctl
// explain would attribute the line to that peer.
func TestLogNamesOwnInstanceOnce(t *testing.T) {
	d := newDeployment(t, config())
	log := d.keepLog()
	d.start("g1")
	d.start("g2")
	var line map[string]any
	require.Eventually(t, func() bool { line = log.find(t, "instance heard"); return line != nil }, 3*time.Second, 5*time.Millisecond)
	require.Equal(t, "self", line["instance"])
	require.Contains(t, []any{"g1", "g2"}, line["peer"])
}
