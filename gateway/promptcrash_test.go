package gateway

import (
	"context"
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

const (
	crashingPart = "bad"
	// toleratedCrashes is how many targets a part may crash before requests with
	// it must no longer be sent, and contactTime how long instances then have to
	// agree on it.
	toleratedCrashes = 5
	contactTime      = 3 * time.Second
	// toleratedSends is how many requests may still be sent after that.
	toleratedSends = 3
)

// crashFleet is a back end whose targets crash as soon as they begin to respond to
// a request with crashingPart. A crashed target is replaced by a successor.
type crashFleet struct {
	t *testing.T
	d *deployment
	// beginsHead is set if a crashing target first sends the head of its response.
	beginsHead bool
	// holdCrash, if it is set, delays a crash until the channel is closed.
	holdCrash chan struct{}
	crashes   atomic.Int64
	// arrivals counts the requests with crashingPart that reached targets.
	arrivals atomic.Int64
	started  atomic.Int64
	pause    time.Duration
}

func startCrashFleet(t *testing.T, targets int) *crashFleet {
	f := &crashFleet{t: t, d: newDeployment(t, config()), beginsHead: true, pause: 20 * time.Millisecond}
	for range targets {
		f.startTarget()
	}
	return f
}

// startTarget starts a target under a new id.
func (f *crashFleet) startTarget() {
	f.startTargetAs(fmt.Sprintf("t%d", f.started.Add(1)), 1)
}

func (f *crashFleet) startTargetAs(id string, incarnation int64) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return // the test has ended
	}
	process := &processListener{Listener: listener}
	fake := &fakeTarget{id: id, listener: process, closed: make(chan struct{}, 1000)}
	var crash sync.Once
	fake.handle = func(w net.Conn, r *http.Request) {
		f.handle(w, r, func() { crash.Do(func() { f.crash(id, process) }) })
	}
	f.t.Cleanup(func() { _ = listener.Close() })
	go fake.serve()
	entry := routing.Target{ID: id, Backend: "b", Addr: listener.Addr().String(), DataCentre: "dc1", Slots: 12, Incarnation: incarnation}
	f.d.put("target/"+id, entry)
}

func (f *crashFleet) handle(w net.Conn, r *http.Request, crash func()) {
	if !slices.Contains(strings.Split(r.Header.Get("X-Parts"), ","), crashingPart) {
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
	_ = process.Close()
	process.exit()
	go func() {
		_, _ = f.d.kv.Direct().Commit(context.Background(), infra.Txn{Deletes: []string{"target/" + id}})
		f.startTarget()
	}()
}

// sendCrashing sends requests with crashingPart to the instances in turn, with
// other first and last parts each, until the targets have crashed often enough or
// no request reaches them any longer.
func (f *crashFleet) sendCrashing(path string, instances ...*instance) {
	for k := 0; f.crashes.Load() < toleratedCrashes && k < 4*toleratedCrashes; k++ {
		i := instances[k%len(instances)]
		i.requestWithParts(f.t.Context(), fmt.Sprintf("%s%d", path, k), "shared", crashingPart, fmt.Sprintf("own%d", k))
	}
}

// requireKeptFromTargets sends many requests with crashingPart to each instance,
// contactTime after the last crash.
func (f *crashFleet) requireKeptFromTargets(path string, instances ...*instance) {
	before := f.arrivals.Load()
	for k := range 5 {
		for _, i := range instances {
			resp := i.requestWithParts(f.t.Context(), fmt.Sprintf("%slate%d", path, k), "shared", crashingPart, fmt.Sprintf("late%d", k))
			if resp.err == nil && resp.status != http.StatusServiceUnavailable {
				require.NotEqual(f.t, http.StatusOK, resp.status)
			}
		}
	}
	require.LessOrEqual(f.t, f.arrivals.Load()-before, int64(toleratedSends), "requests with the part were sent after %d crashes", f.crashes.Load())
}

// requireServed sends sound requests with the same first part to each instance.
func (f *crashFleet) requireServed(path string, instances ...*instance) {
	for k := range 10 {
		for _, i := range instances {
			resp := i.requestWithParts(f.t.Context(), fmt.Sprintf("%ssound%d", path, k), "shared", fmt.Sprintf("session%d", k), "own")
			require.NoError(f.t, resp.err)
			require.Equal(f.t, http.StatusOK, resp.status, "a sound request with the same first part was refused: %s", resp.body)
		}
	}
}

// Guards against targets that crash one after the other because each instance
// sends on requests with a part of a prompt that has crashed targets before.
func TestPartThatCrashesTargetsIsKeptFromThem(t *testing.T) {
	t.Parallel()
	f := startCrashFleet(t, 12)
	instances := []*instance{f.d.start("g1"), f.d.start("g2"), f.d.start("g3")}
	f.requireServed("/chat/", instances...)
	f.sendCrashing("/chat/", instances...)
	time.Sleep(contactTime)
	f.requireKeptFromTargets("/chat/", instances...)
	f.requireServed("/chat/", instances...)
}
