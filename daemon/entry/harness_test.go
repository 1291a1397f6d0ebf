package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/balancer"
	"github.com/skylarkstep/skylarkstep/config"
	"github.com/skylarkstep/skylarkstep/configsync"
	"github.com/skylarkstep/skylarkstep/daemon/httpapi"
	"github.com/skylarkstep/skylarkstep/daemon/node"
	"github.com/skylarkstep/skylarkstep/daemon/target"
	"github.com/skylarkstep/skylarkstep/engine"
	"github.com/skylarkstep/skylarkstep/engine/standin"
	"github.com/skylarkstep/skylarkstep/wire"
	"github.com/skylarkstep/skylarkstep/wire/wirepb"
)

var testKey = []byte("test-cluster-key-0123")

const (
	testCustomer = "test-customer"
	testPrompt   = "which booth is free?"
	// testStreamWindow is the stream window of a session, see package wire.
	testStreamWindow = 256 << 10
)

// inBubble runs a test in virtual time. yamux keeps timers in a sync.Pool, and
// a timer of an earlier bubble must not be reused; two garbage collections
// empty the pool. The first meter of go-metrics starts a goroutine that never
// ends, so it must be created outside the bubble.
func inBubble(t *testing.T, f func(t *testing.T)) {
	t.Helper()
	metrics.NewMeter().Stop()
	runtime.GC()
	runtime.GC()
	synctest.Test(t, f)
}

// pipeListener accepts in-memory connections, which work with virtual time.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error   { l.once.Do(func() { close(l.closed) }); return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)} }

func (l *pipeListener) dial() (net.Conn, error) {
	near, far := net.Pipe()
	select {
	case l.conns <- far:
		return near, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// targetScript is the behaviour of a scripted target process.
type targetScript func(st *wire.Stream, d *wirepb.Dispatch)

// fixture is one entry behind an HTTP server, with targets of one model back
// end that are connected in memory. Targets are tried in the order in which
// they were added.
type fixture struct {
	t               *testing.T
	entry           *Entry
	config          *config.Config
	callerListener  *pipeListener
	pool            pool
	fields          map[string]any // additional fields of requests
	nodes           []*node.Node   // of the target processes
	targetListeners map[string]*pipeListener
}

func newFixture(t *testing.T, targets ...string) *fixture {
	c := &config.Config{Revision: 1}
	c.Inventory.Regions = []config.Region{{Name: "ebro"}}
	c.Inventory.DataCentres = []config.DataCentre{{Name: "burgos", Region: "ebro"}}
	c.Inventory.Entries = []config.Entry{
		{Name: "entry-burgos", DataCentre: "burgos", HTTPAddr: "127.0.0.1:20000", PeerAddr: "127.0.0.1:20001"},
	}
	c.Inventory.Backends = []config.Backend{{Name: "pintor-lm", Kind: config.KindModel, Model: "pintor"}}
	c.Inventory.Customers = []config.Customer{{Name: "taller", KeySHA256: []string{sha256Hex(testCustomer)}}}
	for i, name := range targets {
		c.Inventory.Targets = append(c.Inventory.Targets, config.Target{
			Name: name, Backend: "pintor-lm", DataCentre: "burgos", PeerAddr: "127.0.0.1:" + strconv.Itoa(20002+i),
		})
	}
	s := &config.Settings{Role: config.RoleEntry, Name: "entry-burgos", DataCentre: "burgos"}
	f := &fixture{t: t, config: c, callerListener: newPipeListener(), targetListeners: map[string]*pipeListener{}}
	f.entry = New(Options{Settings: s, Node: testNode(s)})
	return f
}

func testNode(s *config.Settings) *node.Node {
	s.ClusterKey = string(testKey)
	return node.New(s, io.Discard)
}

// start starts serving callers.
func (f *fixture) start() {
	f.pool.picker = inOrder(f.pool.targets)
	f.entry.snapshot.Store(&snapshot{
		verdict:   configsync.Freshness{ValidUntil: time.Now().Add(24 * time.Hour)},
		config:    f.config,
		customers: map[string]*config.Customer{sha256Hex(testCustomer): &f.config.Inventory.Customers[0]},
		pools:     map[string]*pool{"pintor-lm": &f.pool},
	})
	srv := httpapi.NewServer(f.entry.Handler(), f.entry.node.Log)
	go func() { _ = srv.Serve(f.callerListener) }()
	f.t.Cleanup(func() {
		_ = srv.Close()
		_ = f.callerListener.Close()
		// net/http lingers for half a second before it closes a connection with
		// unread input. The sleep is in virtual time.
		time.Sleep(time.Second)
		synctest.Wait()
	})
}

// addModelTarget adds a real target process with the given engine.
func (f *fixture) addModelTarget(name string, m engine.Model) {
	s := &config.Settings{Role: config.RoleTarget, Name: name, DataCentre: "burgos", StopTimeoutMs: 1000,
		Target: config.TargetSettings{Backend: "pintor-lm", Kind: config.KindModel}}
	ln := newPipeListener()
	f.targetListeners[name] = ln
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	n := testNode(s)
	f.nodes = append(f.nodes, n)
	tgt := target.New(target.Options{Settings: s, Node: n, Model: m})
	go func() {
		defer close(done)
		assert.NoError(f.t, tgt.Run(ctx, ln))
	}()
	f.t.Cleanup(func() { cancel(); <-done })
	conn, err := ln.dial()
	require.NoError(f.t, err)
	session := f.addSession(name, conn)
	document, err := json.Marshal(f.config)
	require.NoError(f.t, err)
	require.NoError(f.t, session.Control().Send(&wirepb.Control{Body: &wirepb.Control_Deltas{
		Deltas: &wirepb.Deltas{Snapshot: document, SnapshotRevision: f.config.Revision},
	}}))
	go func() {
		var m wirepb.Control
		for session.Control().Recv(&m) == nil {
			m.Reset()
		}
	}()
	synctest.Wait()
}

// addScriptedTarget adds a target process whose behaviour is given by a
// function.
func (f *fixture) addScriptedTarget(name string, run targetScript) {
	near, far := net.Pipe()
	go func() {
		s, err := wire.Server(far, testKey, &wirepb.Hello{Instance: name})
		if !assert.NoError(f.t, err) {
			return
		}
		for {
			st, err := s.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = st.Close() }()
				var open wirepb.Open
				if st.Recv(&open) == nil {
					run(st, open.GetDispatch())
				}
			}()
		}
	}()
	f.addSession(name, near)
}

func (f *fixture) addSession(name string, conn net.Conn) *wire.Session {
	session, err := wire.Client(conn, testKey, f.entry.node.Hello(0))
	require.NoError(f.t, err)
	f.t.Cleanup(func() { _ = session.Close() })
	f.pool.targets = append(f.pool.targets, route{
		name: name, dataCentre: "burgos", session: session,
		incarnation: session.Peer().GetIncarnation(), outstanding: &balancer.Counter{},
	})
	return session
}

// inOrder is a picker that tries targets in order, so that a test knows which
// target fails first.
type inOrder []route

func (p inOrder) Pick(r balancer.Request) (int, error) {
	if i := slices.IndexFunc(p, func(t route) bool { return !r.Avoid(t.name) }); i >= 0 {
		return i, nil
	}
	return 0, balancer.ErrNoTarget
}

// sendRequest sends a request and returns the connection, from which nothing
// has been read.
func (f *fixture) sendRequest(tokens int, prompt string) net.Conn {
	conn, err := f.callerListener.dial()
	require.NoError(f.t, err)
	fields := map[string]any{"model": "pintor", "prompt": prompt, "max_tokens": tokens, "deadline_ms": 3600000}
	maps.Copy(fields, f.fields)
	body, err := json.Marshal(fields)
	require.NoError(f.t, err)
	req, err := http.NewRequest(http.MethodPost, "http://entry/v1/completions", bytes.NewReader(body))
	require.NoError(f.t, err)
	req.Header.Set("Authorization", "Bearer "+testCustomer)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Request-Id", "req-7")
	require.NoError(f.t, req.Write(conn))
	return conn
}

type response struct {
	status int
	header http.Header
	body   string
	took   time.Duration
}

// complete sends a request and reads the complete response.
func (f *fixture) complete(tokens int, prompt string) response {
	start := time.Now()
	conn := f.sendRequest(tokens, prompt)
	defer func() { _ = conn.Close() }()
	return f.readResponse(conn, start)
}

func (f *fixture) readResponse(conn net.Conn, start time.Time) response {
	res, err := http.ReadResponse(newReader(conn), nil)
	require.NoError(f.t, err)
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(res.Body)
	require.NoError(f.t, err)
	return response{res.StatusCode, res.Header, string(data), time.Since(start)}
}

// wantStream returns the complete response to testPrompt, byte for byte.
func wantStream(tokens int) string {
	var b strings.Builder
	for i := range tokens {
		b.WriteString(`data: {"offset":` + strconv.Itoa(i) + `,"text":"` + standin.TokenText(testPrompt, i) + "\"}\n\n")
	}
	b.WriteString("event: done\ndata: {\"finish_reason\":\"length\",\"tokens\":" + strconv.Itoa(tokens) + "}\n\n")
	return b.String()
}

func tokenFrame(offset int, text ...string) *wirepb.Frame {
	return &wirepb.Frame{Body: &wirepb.Frame_Tokens{Tokens: &wirepb.Tokens{Offset: uint32(offset), Text: text}}}
}

func endFrame(tokens int) *wirepb.Frame {
	return &wirepb.Frame{Body: &wirepb.Frame_End{End: &wirepb.End{FinishReason: "length", Tokens: uint32(tokens)}}}
}

func acceptedFrame() *wirepb.Frame {
	return &wirepb.Frame{Body: &wirepb.Frame_Accepted{Accepted: &wirepb.Accepted{}}}
}
