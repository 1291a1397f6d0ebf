package target

import (
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/atmostonce"
	"github.com/skylarkstep/skylarkstep/config"
	"github.com/skylarkstep/skylarkstep/daemon/node"
	"github.com/skylarkstep/skylarkstep/engine/standin"
	"github.com/skylarkstep/skylarkstep/wire/wirepb"
)

// peerTarget is a target process of the plain service "app".
type peerTarget struct {
	*Target
	addr   string
	stop   context.CancelFunc
	exited chan struct{}
}

func startPeerTarget(t *testing.T, name string, stopTimeout time.Duration) *peerTarget {
	s := &config.Settings{Role: config.RoleTarget, Name: name, ClusterKey: testKey, StopTimeoutMs: int(stopTimeout.Milliseconds()),
		Target: config.TargetSettings{Backend: "app", Kind: config.KindService}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := &peerTarget{addr: listener.Addr().String(), exited: make(chan struct{})}
	p.Target = New(Options{Settings: s, Node: node.New(s, io.Discard), Service: standin.NewService(standin.ServiceOptions{}).Direct()})
	ctx, cancel := context.WithCancel(context.Background())
	p.stop = cancel
	go func() {
		defer close(p.exited)
		_ = p.Run(ctx, listener)
	}()
	t.Cleanup(cancel)
	return p
}

// store runs an operation to its end and returns its id.
func (p *peerTarget) store() atmostonce.ID {
	id := atmostonce.NewID("app", p.node.Name, p.node.Incarnation, time.Now())
	r := atmostonce.Request{Customer: "c"}
	exec, _ := p.operations.begin(id, r)
	p.operations.finish(id, exec, &atmostonce.Response{Status: 200, Body: []byte("done")}, nil)
	return id
}

func (p *peerTarget) holds(id atmostonce.ID) bool {
	return p.operations.outcomeFor(id, &wirepb.Outcome{Customer: "c"}).State == atmostonce.Finished
}

// know activates a configuration with targets at the addresses, by name.
func (p *peerTarget) know(addrs map[string]string) {
	c := &config.Config{Revision: 1}
	for name, addr := range addrs {
		c.Inventory.Targets = append(c.Inventory.Targets, config.Target{Name: name, Backend: "app", PeerAddr: addr})
	}
	p.config.Store(c)
}

// listenSilently accepts connections and never answers, like a paused process.
func listenSilently(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	return l.Addr().String()
}

// Guards against a planned stop that is killed because successors are paused: it
// must end in its time, with the responses at the successor that answers.
func TestPausedSuccessorsDoNotDelayStop(t *testing.T) {
	p := startPeerTarget(t, "app-1", 6*time.Second)
	id := p.store()
	addrs := map[string]string{"app-1": p.addr}
	for i := range 8 {
		addrs[fmt.Sprintf("app-%d", i+2)] = listenSilently(t)
	}
	p.know(addrs)
	successors := newHandover(p.Target).successors(p.config.Load(), origin{"app-1", p.node.Incarnation})
	sound := startPeerTarget(t, successors[2].Name, time.Second)
	addrs[successors[2].Name] = sound.addr
	p.know(addrs)
	startedAt := time.Now()
	p.stop()
	<-p.exited
	require.Less(t, time.Since(startedAt), 6*time.Second)
	require.True(t, sound.holds(id), "the response is lost")
}

// Guards against a stop that ends later than its timeout because all successors
// are paused.
func TestHandoverEndsWithStop(t *testing.T) {
	p := startPeerTarget(t, "app-1", 2*time.Second)
	p.store()
	addrs := map[string]string{"app-1": p.addr}
	for i := range 8 {
		addrs[fmt.Sprintf("app-%d", i+2)] = listenSilently(t)
	}
	p.know(addrs)
	startedAt := time.Now()
	p.stop()
	<-p.exited
	require.Less(t, time.Since(startedAt), 2500*time.Millisecond)
}

// Guards against stored responses that are lost because other work is still in
// progress at the end of the stop, and against the response of the work that
// finishes last.
func TestResponsesMoveWhileWorkIsInProgress(t *testing.T) {
	p, successor := startPeerTarget(t, "app-1", 2*time.Second), startPeerTarget(t, "app-2", time.Second)
	first := p.store()
	p.know(map[string]string{"app-1": p.addr, "app-2": successor.addr})
	require.True(t, p.work.Begin())
	p.stop()
	require.Eventually(t, func() bool { return successor.holds(first) }, 2*time.Second, 10*time.Millisecond)
	last := p.store()
	p.work.End()
	<-p.exited
	require.True(t, successor.holds(last))
}

// Guards against responses that are lost with a successor that stops as well and
// has handed over its own already.
func TestStoppingTargetTakesOverNoResponses(t *testing.T) {
	p := startPeerTarget(t, "app-1", 5*time.Second)
	id := p.store()
	addrs := map[string]string{"app-1": p.addr, "app-2": "", "app-3": ""}
	p.know(addrs)
	order := newHandover(p.Target).successors(p.config.Load(), origin{"app-1", p.node.Incarnation})
	stopping, staying := startPeerTarget(t, order[0].Name, 5*time.Second), startPeerTarget(t, order[1].Name, time.Second)
	addrs[order[0].Name], addrs[order[1].Name] = stopping.addr, staying.addr
	p.know(addrs)
	stopping.know(addrs)
	// A dispatch in progress keeps the first successor in its stop.
	require.True(t, stopping.work.Begin())
	defer stopping.work.End()
	stopping.stop()
	require.Eventually(t, stopping.work.Closed, time.Second, time.Millisecond)
	p.stop()
	<-p.exited
	require.True(t, staying.holds(id), "the response is lost when the first successor exits")
}
