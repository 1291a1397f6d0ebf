package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/infra"
	"github.com/skylarkstep/skylarkstep/routing"
)

// crashFleet is a back end whose targets crash as soon as they begin to respond to
// a request with crashingPart. A crashed target is replaced by a successor.
type crashFleet struct {
	t *testing.T
	d *deployment
	// crashesOn reports whether a request crashes its target.
	crashesOn func(r *http.Request, body string) bool
	// restartPause is the time until the successor of a crashed target starts.
	restartPause time.Duration
	// keepsPort is set if connections to a crashed target are accepted, and closed.
	keepsPort bool
	// beginsHead is set if a crashing target first sends the head of its response.
	beginsHead bool
	// holdCrash, if it is set, delays crashes until the channel is closed.
	holdCrash chan struct{}
	mu        sync.Mutex
	running   map[string]func() // crashes the target, by id
	crashes   atomic.Int64
	// arrivals counts the requests that crash targets and have reached one.
	arrivals atomic.Int64
	started  atomic.Int64
	pause    time.Duration
	slots    int
}

func startCrashFleet(t *testing.T, targets int) *crashFleet {
	f := &crashFleet{t: t, d: newDeployment(t, config()), crashesOn: hasCrashingPart, beginsHead: true, pause: 20 * time.Millisecond, running: map[string]func(){}, slots: 12}
	for range targets {
		f.startTarget()
	}
	return f
}

func hasCrashingPart(r *http.Request, _ string) bool {
	return slices.Contains(strings.Split(r.Header.Get("X-Parts"), ","), crashingPart)
}

// startTarget starts a target under a new id.
func (f *crashFleet) startTarget() {
	id := fmt.Sprintf("t%d", f.started.Add(1))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return // the test has ended
	}
	process := &processListener{Listener: listener}
	fake := &fakeTarget{id: id, listener: process, closed: make(chan struct{}, 1000)}
	crash := sync.OnceFunc(func() { f.crash(id, process) })
	fake.handle = func(w net.Conn, r *http.Request) {
		if r.Header.Get("X-Target") != id {
			refuseMisdirected(w, r)
			return
		}
		f.handle(w, r, crash)
	}
	f.mu.Lock()
	f.running[id] = crash
	f.mu.Unlock()
	f.t.Cleanup(func() { _ = listener.Close() })
	go fake.serve()
	entry := routing.Target{ID: id, Backend: "b", Addr: listener.Addr().String(), DataCentre: "dc1", Slots: f.slots, Incarnation: 1}
	value, err := json.Marshal(entry)
	require.NoError(f.t, err)
	f.commit(infra.Txn{Puts: []infra.Put{{Key: "target/" + id, Value: value}}})
}

// refuseMisdirected answers a request for another target as targets do. Tests run at the
// same time, and the port of a target that has crashed, or of a gateway that has stopped,
// may be given to the target of another test before all have noticed.
func refuseMisdirected(w io.Writer, r *http.Request) {
	_, _ = fmt.Fprintf(w, "HTTP/1.1 421 Misdirected\r\nX-Id: %s\r\nContent-Length: 0\r\n\r\n", r.Header.Get("X-Id"))
}

// commit writes to the store. Successors may start when the test has ended.
func (f *crashFleet) commit(txn infra.Txn) {
	if _, err := f.d.kv.Direct().Commit(context.Background(), txn); err != nil && f.t.Context().Err() == nil {
		f.t.Errorf("write of the entry of a target: %v", err)
	}
}

func (f *crashFleet) handle(w net.Conn, r *http.Request, crash func()) {
	body, _ := io.ReadAll(r.Body)
	if !f.crashesOn(r, string(body)) {
		f.respond(w, r)
		return
	}
	f.arrivals.Add(1)
	if f.holdCrash != nil {
		<-f.holdCrash
	}
	if f.beginsHead {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("X-Id"))
	}
	crash()
}

// respond completes a response after a pause, as a stream with one event if the
// route is one.
func (f *crashFleet) respond(w io.Writer, r *http.Request) {
	body := "ok"
	if strings.HasPrefix(r.URL.Path, "/chat/") {
		body = "id: 1\ndata: ok\n\n"
	}
	time.Sleep(f.pause)
	writeResponse(w, r, body)
}

// crash ends a target with all its connections, and starts a successor.
func (f *crashFleet) crash(id string, process *processListener) {
	f.crashes.Add(1)
	f.mu.Lock()
	delete(f.running, id)
	f.mu.Unlock()
	if !f.keepsPort {
		_ = process.Close()
	}
	process.exit()
	go func() {
		f.commit(infra.Txn{Deletes: []string{"target/" + id}})
		time.Sleep(f.restartPause)
		f.startTarget()
	}()
}

// crashAny crashes a number of targets for a reason that no request has.
func (f *crashFleet) crashAny(n int) {
	f.mu.Lock()
	var crashes []func()
	for _, crash := range f.running {
		if crashes = append(crashes, crash); len(crashes) == n {
			break
		}
	}
	f.mu.Unlock()
	for _, crash := range crashes {
		crash()
	}
}
