package gateway

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/infra"
	"github.com/skylarkstep/skylarkstep/infra/standin"
	"github.com/skylarkstep/skylarkstep/routing"
)

// testDecoder decodes items that hold the types of package routing as JSON.
type testDecoder struct{}

func (testDecoder) IsConfig(key string) bool                { return key == "config" }
func (testDecoder) DataCentreOut(key string) (string, bool) { return strings.CutPrefix(key, "out/") }
func (testDecoder) TargetID(key string) (string, bool)      { return strings.CutPrefix(key, "target/") }

func (testDecoder) Config(value []byte) (*routing.Config, error) {
	var c routing.Config
	return &c, json.Unmarshal(value, &c)
}

func (testDecoder) Target(id string, value []byte) (routing.Target, error) {
	t := routing.Target{ID: id}
	return t, json.Unmarshal(value, &t)
}

// testHeaders uses short header names.
type testHeaders struct{}

func (testHeaders) Request(h http.Header) RequestMeta {
	d, _ := time.ParseDuration(h.Get("X-Deadline"))
	m := RequestMeta{ID: h.Get("X-Id"), Key: h.Get("X-Key"), Deadline: d, LastEventID: h.Get("Last-Event-Id")}
	if parts := h.Get("X-Parts"); parts != "" {
		m.PromptParts = strings.Split(parts, ",")
	}
	m.MaxOutputTokens, _ = strconv.Atoi(h.Get("X-Max-Tokens"))
	m.ExpectedOutputTokens, _ = strconv.Atoi(h.Get("X-Expected-Tokens"))
	for size := range strings.SplitSeq(h.Get("X-Part-Tokens"), ",") {
		if n, err := strconv.Atoi(size); err == nil {
			m.PromptPartTokens = append(m.PromptPartTokens, n)
		}
	}
	return m
}

func (testHeaders) Forward(h http.Header, f ForwardMeta) {
	h.Del("X-Key")
	h.Set("X-Target", f.Target)
	if f.LastEventID != "" {
		h.Set("Last-Event-Id", f.LastEventID)
	}
}

func (testHeaders) Response(status int, h http.Header) ResponseMeta {
	m := ResponseMeta{ID: h.Get("X-Id"), NotRun: h.Get("X-Not-Run") != "" || status == http.StatusMisdirectedRequest, Sealed: h.Get("X-Seal") != ""}
	if limit, err := strconv.ParseFloat(h.Get("X-Limit"), 64); err == nil {
		m.RateLimit, m.HasRateLimit = limit, true
	}
	m.Leaving = h.Get("X-Leaving") != ""
	if value := h.Get("Retry-After"); value != "" {
		seconds, err := strconv.ParseFloat(value, 64)
		m.HasRest, m.RestInvalid, m.Rest = true, err != nil || seconds < 0, time.Duration(seconds*float64(time.Second))
	}
	return m
}

func (testHeaders) SetRetryAfter(h http.Header, d time.Duration) {
	h.Set("Retry-After", fmt.Sprint(d.Seconds()))
}
func (testHeaders) SetID(h http.Header, id string) { h.Set("X-Id", id) }

// fakeTarget accepts connections and responds to requests as a test specifies.
type fakeTarget struct {
	id       string
	listener net.Listener
	requests atomic.Int64
	closed   chan struct{} // receives a value when the gateway closes a connection
	// handle responds to a request, whose body it can read.
	handle func(w net.Conn, r *http.Request)
}

func startFakeTarget(t *testing.T, id string, handle func(w net.Conn, r *http.Request)) *fakeTarget {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	f := &fakeTarget{id: id, listener: l, handle: handle, closed: make(chan struct{}, 100)}
	go f.serve()
	t.Cleanup(func() { _ = l.Close() })
	return f
}

func (f *fakeTarget) serve() {
	for {
		c, err := f.listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = c.Close() }()
			br := bufio.NewReader(c)
			for {
				req, err := http.ReadRequest(br)
				if err != nil {
					f.closed <- struct{}{}
					return
				}
				body, _ := io.ReadAll(req.Body)
				req.Body = io.NopCloser(bytes.NewReader(body))
				f.requests.Add(1)
				f.handle(c, req)
			}
		}()
	}
}

func (f *fakeTarget) target(backend string) routing.Target {
	return routing.Target{ID: f.id, Backend: backend, Addr: f.listener.Addr().String(), DataCentre: "dc1", Slots: 4}
}

// writeResponse writes a complete sealed response.
func writeResponse(w io.Writer, r *http.Request, body string) {
	_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Seal: s\r\nContent-Length: %d\r\n\r\n%s", r.Header.Get("X-Id"), len(body), body)
}

// reset closes a connection with a TCP reset.
func reset(w net.Conn) {
	_ = w.(*net.TCPConn).SetLinger(0)
	_ = w.Close()
}

// faultyKV can refuse all calls of one instance, or deliver no events, and
// counts the open watches. Like the store of the platform, it sends events on a
// watch even if nothing has changed.
type faultyKV struct {
	infra.KV
	refuse, mute atomic.Bool
	// brokenBefore is the revision before which no watch can begin.
	brokenBefore atomic.Int64
	watches      atomic.Int64
}

var errRefused = errors.New("refused")

func (k *faultyKV) List(ctx context.Context, prefix string) ([]infra.Item, int64, error) {
	if k.refuse.Load() {
		return nil, 0, errRefused
	}
	return k.KV.List(ctx, prefix)
}

func (k *faultyKV) Watch(ctx context.Context, prefix string, after int64) (<-chan []infra.Event, error) {
	if k.refuse.Load() || after < k.brokenBefore.Load() {
		return nil, errRefused
	}
	ctx, cancel := context.WithCancel(ctx)
	source, err := k.KV.Watch(ctx, prefix, after)
	out := make(chan []infra.Event)
	k.watches.Add(1)
	go func() {
		defer close(out)
		defer cancel()
		defer k.watches.Add(-1)
		for {
			var batch []infra.Event
			select {
			case b, ok := <-source:
				if !ok {
					return
				}
				batch = b
			case now := <-time.After(50 * time.Millisecond):
				batch = []infra.Event{{AsOf: now}}
			case <-ctx.Done():
				return
			}
			if k.refuse.Load() {
				return
			}
			if k.mute.Load() {
				continue
			}
			select {
			case out <- batch:
			case <-ctx.Done():
				return
			}
		}
	}()
	return out, err
}

// deployment is a store with gateways.
type deployment struct {
	t  *testing.T
	kv *standin.KV
	// stopTimeout is short by default, so that tests end soon.
	stopTimeout time.Duration
	logger      *slog.Logger
	// wrapCallers changes the listener for callers; it may be nil.
	wrapCallers func(net.Listener) net.Listener
	// takeOver is called with the instance that a term is handed over to; it may
	// be nil.
	takeOver func(id string, t Term) bool
	// decodeRank decodes the records of ranks; it may be nil.
	decodeRank func(key string, value []byte) (routing.RankMember, bool)
}

// decodeTestCoordinator decodes records of the form "coordinator/GROUP" with the instance.
func decodeTestCoordinator(key string, value []byte) (group, instance string, ok bool) {
	group, ok = strings.CutPrefix(key, "coordinator/")
	return group, instance, ok && json.Unmarshal(value, &instance) == nil
}

func newDeployment(t *testing.T, cfg routing.Config, targets ...*fakeTarget) *deployment {
	d := &deployment{t: t, kv: standin.NewKV(), stopTimeout: stopMargin + 100*time.Millisecond, logger: slog.New(slog.DiscardHandler)}
	d.put("config", cfg)
	for _, target := range targets {
		d.put("target/"+target.id, target.target("b"))
	}
	return d
}

func (d *deployment) put(key string, value any) {
	data, err := json.Marshal(value)
	require.NoError(d.t, err)
	_, err = d.kv.Direct().Commit(d.t.Context(), infra.Txn{Puts: []infra.Put{{Key: key, Value: data}}})
	require.NoError(d.t, err)
}

// processListener closes all of its connections when the process of a gateway
// would exit, as the operating system does.
type processListener struct {
	net.Listener
	mu    sync.Mutex
	conns []net.Conn
}

func (l *processListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, c)
	return c, nil
}

func (l *processListener) exit() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		_ = c.Close()
	}
}

// instance is a running gateway with its own access to the store.
type instance struct {
	*Gateway
	url  string
	kv   *faultyKV
	stop func()
}

func (d *deployment) start(id string) *instance {
	i := d.launch(id)
	require.Eventually(d.t, func() bool { return i.Ready() == nil }, 3*time.Second, 5*time.Millisecond)
	return i
}

// launch starts a gateway and does not wait until it is ready.
func (d *deployment) launch(id string) *instance {
	callers, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(d.t, err)
	peers, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(d.t, err)
	kv := &faultyKV{KV: d.kv.Direct()}
	var takeOver func(Term) bool
	if d.takeOver != nil {
		takeOver = func(t Term) bool { return d.takeOver(id, t) }
	}
	g := New(Options{
		TakeOver: takeOver, DecodeRank: d.decodeRank, DecodeCoordinator: decodeTestCoordinator,
		Instance: id, DataCentre: "dc1", Region: "r1", Regions: map[string]string{"dc1": "r1"},
		CallerAddr: callers.Addr().String(), PeerAddr: peers.Addr().String(), AddressTTL: time.Second,
		Limits: Limits{MaxIsolatedStaleness: 6 * time.Second, StopTimeout: d.stopTimeout, Retries: routing.RetryLimits{Ratio: 0.2, Slack: 90, Window: 10 * time.Second}},
		KV:     kv, ItemDecoder: testDecoder{}, Headers: testHeaders{}, Log: d.logger, Registry: metrics.NewRegistry(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	process := &processListener{Listener: callers}
	if d.wrapCallers != nil {
		process.Listener = d.wrapCallers(callers)
	}
	running.Go(func() {
		defer process.exit()
		_ = g.Run(ctx, Listeners{Callers: process, Peers: peers})
	})
	stop := sync.OnceFunc(func() { cancel(); running.Wait() })
	d.t.Cleanup(func() {
		if !g.isLeaving() {
			_ = callers.Close() // ends Run without the waits of a planned stop
		}
		stop()
	})
	return &instance{Gateway: g, url: "http://" + callers.Addr().String(), kv: kv, stop: stop}
}

// config returns a configuration with one route of each kind.
func config() routing.Config {
	split := []routing.WeightedBackend{{Backend: "b", Weight: 1}}
	return routing.Config{
		Version: 1,
		Routes: []routing.Route{
			{Name: "book", Host: "h", Prefix: "/book/", Kind: routing.NonIdempotent, Timeout: 3 * time.Second, Split: split, MaxAttempts: 1, Public: true},
			{Name: "swap", Host: "h", Prefix: "/swap/", Kind: routing.NonIdempotent, Timeout: 3 * time.Second, Split: split, MaxAttempts: 2, Public: true},
			{Name: "read", Host: "h", Prefix: "/read/", Kind: routing.Idempotent, Timeout: 3 * time.Second, Split: split, MaxAttempts: 2, Public: true},
			{Name: "chat", Host: "h", Prefix: "/chat/", Kind: routing.Stream, Timeout: 5 * time.Second, Split: split, MaxAttempts: 2, Public: true, Resumable: true},
			{Name: "keyed", Host: "h", Prefix: "/keyed/", Kind: routing.Idempotent, Timeout: time.Second, Split: split, MaxAttempts: 1},
		},
		Backends:  []routing.Backend{{Name: "b", MaxConns: 100, WarmUp: 3 * time.Second, WarmUpRate: 100}},
		Customers: []routing.Customer{{Name: "c", Keys: []string{"k1", "k2"}}},
	}
}

type response struct {
	status int
	header http.Header
	body   string
	err    error
}

// request sends a request with a deadline of 4 s.
func (i *instance) request(ctx context.Context, method, path, key string) response {
	return i.requestWithin(ctx, 4*time.Second, method, path, key)
}

func (i *instance) requestWithin(ctx context.Context, deadline time.Duration, method, path, key string) response {
	return i.send(ctx, method, path, http.Header{"X-Key": {key}, "X-Deadline": {deadline.String()}})
}

// requestWithParts sends a request with a prompt of the given parts.
func (i *instance) requestWithParts(ctx context.Context, path string, parts ...string) response {
	return i.send(ctx, http.MethodPost, path, http.Header{"X-Parts": {strings.Join(parts, ",")}, "X-Deadline": {"4s"}})
}

// send sends a request with the given headers on a connection of its own.
func (i *instance) send(ctx context.Context, method, path string, header http.Header) response {
	return i.sendWithBody(ctx, method, path, header, "x")
}

func (i *instance) sendWithBody(ctx context.Context, method, path string, header http.Header, body string) response {
	req, err := http.NewRequestWithContext(ctx, method, i.url+path, strings.NewReader(body))
	if err != nil {
		return response{err: err}
	}
	req.Host, req.Header = "h", header
	req.Header.Set("X-Id", "id-"+path)
	httpResp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return response{err: err}
	}
	defer func() { _ = httpResp.Body.Close() }()
	received, err := io.ReadAll(httpResp.Body)
	return response{httpResp.StatusCode, headerWithClose(httpResp), string(received), err}
}

// headerWithClose returns the header of a response with "Connection: close",
// which net/http removes when it reads the response.
func headerWithClose(resp *http.Response) http.Header {
	if resp.Close {
		resp.Header.Set("Connection", "close")
	}
	return resp.Header
}

// target returns the state of the instance for a target.
func (i *instance) target(id string) (t *target) {
	i.control.call(context.Background(), func() { t = i.control.targets[id] })
	return t
}

func (i *instance) targetCount() (n int) {
	i.control.call(context.Background(), func() { n = len(i.control.targets) })
	return n
}
