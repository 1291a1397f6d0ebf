package gateway

import (
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/infra"
	"github.com/skylarkstep/skylarkstep/routing"
)

// startTargetThatChecksItsID starts a target that refuses requests for others at its
// address.
func startTargetThatChecksItsID(t *testing.T, id string) *fakeTarget {
	return startFakeTarget(t, id, func(w net.Conn, r *http.Request) {
		if r.Header.Get("X-Target") != id {
			_, _ = fmt.Fprintf(w, "HTTP/1.1 421 Misdirected Request\r\nX-Id: %s\r\nContent-Length: 0\r\n\r\n", r.Header.Get("X-Id"))
			return
		}
		writeResponse(w, r, "ok")
	})
}

// Guards against an entry of another writer that takes the address of a target: the
// target would get no request as long as the entry stays.
func TestOddEntryDoesNotDisplaceTarget(t *testing.T) {
	fake := startTargetThatChecksItsID(t, "r")
	d := newDeployment(t, config(), fake)
	odd := fake.target("b")
	odd.ID, odd.Incarnation = "odd", 99
	d.put("target/odd", odd)
	g := d.start("g1")
	require.Equal(t, 2, g.targetCount())
	for i := range 20 {
		for _, path := range []string{"/book/", "/read/", "/swap/"} {
			resp := g.request(t.Context(), http.MethodGet, path, "")
			require.Equal(t, http.StatusOK, resp.status, "request %d to %s: %s", i, path, resp.body)
		}
	}
}

// Guards against an entry with the address of an instance: its requests would come back
// to the system again and again.
func TestEntryWithAddressOfInstanceIsNoTarget(t *testing.T) {
	fake := startFakeTarget(t, "r", func(w net.Conn, r *http.Request) { writeResponse(w, r, "ok") })
	d := newDeployment(t, config(), fake)
	g, other := d.start("g1"), d.start("g2")
	for _, i := range []*instance{g, other} {
		d.put("target/odd-"+i.id, routing.Target{Backend: "b", Addr: i.opts.CallerAddr, DataCentre: "dc1", Slots: 1000})
		d.put("target/peer-"+i.id, routing.Target{Backend: "b", Addr: i.opts.PeerAddr, DataCentre: "dc1", Slots: 1000})
	}
	for _, i := range []*instance{g, other} {
		require.Eventually(t, func() bool { return i.targetCount() == 5 }, applyTimeout, time.Millisecond)
	}
	const requests = 20
	for range requests {
		require.Equal(t, http.StatusOK, g.request(t.Context(), http.MethodGet, "/read/", "").status)
	}
	require.EqualValues(t, requests, fake.requests.Load())
	require.Len(t, g.snapshot.Load().targets["b"], 1)
}

// countingHandler counts the log lines that contain a text.
type lineCounter struct {
	mu   sync.Mutex
	text string
	n    int
}

func (c *lineCounter) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n += strings.Count(string(p), c.text)
	return len(p), nil
}

func (c *lineCounter) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.n
}

// Guards against an odd entry that its writer renews and that fills the log, and against
// one that ends the reading of the others.
func TestOddEntryIsLoggedOnce(t *testing.T) {
	fake := startFakeTarget(t, "r", func(w net.Conn, r *http.Request) { writeResponse(w, r, "ok") })
	d := newDeployment(t, config(), fake)
	lines := &lineCounter{text: "target entry not readable"}
	d.logger = slog.New(slog.NewJSONHandler(io.MultiWriter(lines), nil))
	g := d.start("g1")
	deep := strings.Repeat(`{"a":`, 20_000) + strings.Repeat("}", 20_000)
	for i := range 10 {
		value := []byte(fmt.Sprintf("%s %d", deep, i))
		_, err := d.kv.Direct().Commit(t.Context(), infra.Txn{Puts: []infra.Put{{Key: "target/odd", Value: value}}})
		require.NoError(t, err)
		time.Sleep(60 * time.Millisecond)
	}
	d.put("target/new", fake.target("b"))
	require.Eventually(t, func() bool { return g.targetCount() == 2 }, applyTimeout, time.Millisecond)
	require.Equal(t, 1, lines.count())
}
