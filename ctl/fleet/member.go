package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/skylarkstep/skylarkstep/gateway"
	"github.com/skylarkstep/skylarkstep/infra"
	"github.com/skylarkstep/skylarkstep/routing"
)

// Headers between callers, gateways and targets.
const (
	headerID        = "X-Request-Id"
	headerDeadline  = "X-Deadline"
	headerParts     = "X-Prompt-Parts"
	headerGateway   = "X-Gateway"
	headerNotRun    = "X-Not-Run"
	headerSeal      = "X-Seal"
	headerLimit     = "X-Rate-Limit"
	headerLastEvent = "Last-Event-Id"
	headerKey       = "X-Key"
	headerRest      = "Retry-After"
	headerLeaving   = "X-Leaving"
)

// headers implements gateway.Headers. Targets see from which gateway a request
// comes.
type headers struct{ gatewayID string }

func (headers) Request(h http.Header) gateway.RequestMeta {
	deadline, _ := time.ParseDuration(h.Get(headerDeadline))
	m := gateway.RequestMeta{ID: h.Get(headerID), Key: h.Get(headerKey), Deadline: deadline, LastEventID: h.Get(headerLastEvent)}
	if parts := h.Get(headerParts); parts != "" {
		m.PromptParts = strings.Split(parts, ",")
	}
	return m
}

func (g headers) Forward(h http.Header, f gateway.ForwardMeta) {
	h.Set(headerGateway, g.gatewayID)
	if f.LastEventID != "" {
		h.Set(headerLastEvent, f.LastEventID)
	}
}

func (headers) Response(_ int, h http.Header) gateway.ResponseMeta {
	m := gateway.ResponseMeta{ID: h.Get(headerID), NotRun: h.Get(headerNotRun) != "", Sealed: h.Get(headerSeal) != ""}
	if limit, err := strconv.ParseFloat(h.Get(headerLimit), 64); err == nil {
		m.RateLimit, m.HasRateLimit = limit, true
	}
	m.Leaving = h.Get(headerLeaving) != ""
	if seconds, err := strconv.ParseFloat(h.Get(headerRest), 64); err == nil {
		m.HasRest, m.Rest = true, time.Duration(seconds*float64(time.Second))
	}
	return m
}

func (headers) SetRetryAfter(h http.Header, d time.Duration) {
	h.Set("Retry-After", strconv.FormatFloat(d.Seconds(), 'f', 2, 64))
}

func (headers) SetID(h http.Header, id string) { h.Set(headerID, id) }

// decoder implements gateway.ItemDecoder for items in JSON.
type decoder struct{}

const (
	keyConfig    = "config"
	targetPrefix = "target/"
	outPrefix    = "out/"
)

func (decoder) IsConfig(key string) bool                { return key == keyConfig }
func (decoder) DataCentreOut(key string) (string, bool) { return strings.CutPrefix(key, outPrefix) }
func (decoder) TargetID(key string) (string, bool)      { return strings.CutPrefix(key, targetPrefix) }

func (decoder) Config(value []byte) (*routing.Config, error) {
	var c routing.Config
	return &c, json.Unmarshal(value, &c)
}

func (decoder) Target(id string, value []byte) (routing.Target, error) {
	t := routing.Target{ID: id}
	return t, json.Unmarshal(value, &t)
}

// store is a member's access to the store, which can be cut.
type store struct {
	infra.KV
	cut *atomic.Bool
}

var errCut = errors.New("cut off from the store")

func (s store) List(ctx context.Context, prefix string) ([]infra.Item, int64, error) {
	if s.cut.Load() {
		return nil, 0, errCut
	}
	return s.KV.List(ctx, prefix)
}

func (s store) Commit(ctx context.Context, txn infra.Txn) (infra.TxnResult, error) {
	if s.cut.Load() {
		return infra.TxnResult{}, errCut
	}
	return s.KV.Commit(ctx, txn)
}

func (s store) Watch(ctx context.Context, prefix string, after int64) (<-chan []infra.Event, error) {
	if s.cut.Load() {
		return nil, errCut
	}
	source, err := s.KV.Watch(ctx, prefix, after)
	if err != nil {
		return nil, err
	}
	return s.forward(ctx, source), nil
}

// watchInterval is how often a watch tells that nothing has changed.
const watchInterval = 100 * time.Millisecond

func (s store) forward(ctx context.Context, source <-chan []infra.Event) <-chan []infra.Event {
	out := make(chan []infra.Event)
	go func() {
		defer close(out)
		for {
			var batch []infra.Event
			select {
			case b, ok := <-source:
				if !ok {
					return
				}
				batch = b
			case now := <-time.After(watchInterval):
				batch = []infra.Event{{AsOf: now}}
			case <-ctx.Done():
				return
			}
			if s.cut.Load() {
				return
			}
			select {
			case out <- batch:
			case <-ctx.Done():
				return
			}
		}
	}()
	return out
}

// cuttable is a listener whose connections can be ended and refused.
type cuttable struct {
	net.Listener
	cut   *atomic.Bool
	mu    sync.Mutex
	conns []net.Conn
}

func (l *cuttable) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.cut.Load() {
			_ = c.Close()
			continue
		}
		l.mu.Lock()
		l.conns = append(l.conns, c)
		l.mu.Unlock()
		return c, nil
	}
}

func (l *cuttable) closeAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		_ = c.Close()
	}
	l.conns = nil
}

// member is one running gateway.
type member struct {
	id      string
	gateway *gateway.Gateway
	url     string
	cut     atomic.Bool
	peers   *cuttable
	callers *cuttable
	stop    func() // planned stop
	ended   chan struct{}
}

const (
	customerKey = "k"
	region      = "r1"
	backend     = "model"
	dataCentre  = "dc1"
	// addressTTL, stopTimeout and maxStaleness are as on the platform.
	addressTTL   = 2 * time.Second
	stopTimeout  = 7500 * time.Millisecond
	maxStaleness = 6 * time.Second
)

// startMember starts a gateway.
func (f *Fleet) startMember(id string) (*member, error) {
	m := &member{id: id, ended: make(chan struct{})}
	callers, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrapf(err, "listen for the callers of %s", id)
	}
	peers, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		_ = callers.Close()
		return nil, errors.Wrapf(err, "listen for the peers of %s", id)
	}
	m.peers, m.callers = &cuttable{Listener: peers, cut: &m.cut}, &cuttable{Listener: callers, cut: &atomic.Bool{}}
	m.url = "http://" + callers.Addr().String()
	size := f.scenario.Fleet
	m.gateway = gateway.New(gateway.Options{
		Instance: id, Process: fmt.Sprintf("%s/%d", id, f.processes.Add(1)), DataCentre: dataCentre, Region: region, Regions: map[string]string{dataCentre: region},
		CallerAddr: callers.Addr().String(), PeerAddr: peers.Addr().String(), AddressTTL: addressTTL,
		Limits: gateway.Limits{
			MaxIsolatedStaleness: maxStaleness, StopTimeout: stopTimeout,
			Retries: routing.RetryLimits{Ratio: 0.2, Slack: 4 * float64(size.Targets), Window: 10 * time.Second},
		},
		KV: store{f.kv.Direct(), &m.cut}, ItemDecoder: decoder{}, Headers: headers{id}, Log: slog.New(f.logHandler(id)), Registry: metrics.NewRegistry(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	m.stop = cancel
	go func() {
		defer close(m.ended)
		_ = m.gateway.Run(ctx, gateway.Listeners{Callers: m.callers, Peers: m.peers})
		m.callers.closeAll()
	}()
	return m, nil
}
