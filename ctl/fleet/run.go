package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/skylarkstep/skylarkstep/infra"
	"github.com/skylarkstep/skylarkstep/infra/standin"
	"github.com/skylarkstep/skylarkstep/routing"
)

// Fleet is one run.
type Fleet struct {
	scenario  *Scenario
	ctx       context.Context
	kv        *standin.KV
	logOutput io.Writer
	start     time.Time
	processes atomic.Int64
	group     group
	// unframedPercent and breakPercent are the shares of responses that are sent
	// without a length, and that break off inside an event.
	unframedPercent, breakPercent atomic.Int64
	// ran holds the ids of the requests on which a target has begun to work.
	ran sync.Map

	mu       sync.Mutex
	members  []*member
	targets  []*target
	crashes  []crashAt
	excused  []excuse
	outcomes []outcome
	failures []string
	// refusedSubjects holds the names under which requests that crash targets were
	// refused.
	refusedSubjects map[string]bool
}

// crashAt is a crash of a target, with what caused it, if a request did.
type crashAt struct {
	at      time.Time
	culprit string
}

// excuse is a time in which a gateway is not expected to know what others do.
type excuse struct {
	gateway  string
	from, to time.Time
}

func (f *Fleet) fail(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failures = append(f.failures, fmt.Sprintf(format, args...))
}

func (f *Fleet) recordCrash(culprit string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crashes = append(f.crashes, crashAt{time.Now(), culprit})
}

func (f *Fleet) put(key string, value []byte) {
	f.commit(infra.Txn{Puts: []infra.Put{{Key: key, Value: value}}})
}

func (f *Fleet) remove(key string) { f.commit(infra.Txn{Deletes: []string{key}}) }

// commit writes to the store, again and again while it does not respond.
func (f *Fleet) commit(txn infra.Txn) {
	for f.ctx.Err() == nil {
		if _, err := f.kv.Direct().Commit(f.ctx, txn); err == nil {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func (f *Fleet) logHandler(instance string) slog.Handler {
	if f.logOutput == nil {
		return slog.DiscardHandler
	}
	return slog.NewJSONHandler(f.logOutput, nil).WithAttrs([]slog.Attr{slog.String("instance", instance), slog.String("role", "gateway")})
}

// Run plays a scenario and checks what callers and targets have seen. It writes the
// log of the gateways to logOutput, which may be nil.
func Run(ctx context.Context, s *Scenario, logOutput io.Writer) (*Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f := &Fleet{scenario: s, ctx: ctx, kv: standin.NewKV(), logOutput: logOutput, refusedSubjects: map[string]bool{}}
	defer f.close()
	if err := f.open(); err != nil {
		return nil, err
	}
	f.start = time.Now()
	var running sync.WaitGroup
	running.Go(f.injectFaults)
	f.sendTraffic(&running)
	running.Wait()
	return f.report(), ctx.Err()
}

// readyTimeout limits the start of all processes.
const readyTimeout = 30 * time.Second

func (f *Fleet) open() error {
	value, err := json.Marshal(f.config())
	if err != nil {
		return errors.WithStack(err)
	}
	f.put(keyConfig, value)
	for range f.scenario.Fleet.Targets {
		f.startTarget()
	}
	for i := range f.scenario.Fleet.Gateways {
		m, err := f.startMember(fmt.Sprintf("gateway-%02d", i))
		if err != nil {
			return err
		}
		f.members = append(f.members, m)
	}
	deadline := time.Now().Add(readyTimeout)
	for _, m := range f.members {
		for m.gateway.Ready() != nil {
			if time.Now().After(deadline) {
				return errors.Errorf("gateway %s is not ready after %s", m.id, readyTimeout)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	time.Sleep(time.Second) // the gateways open sessions to each other
	return nil
}

// config returns a configuration with a route of each kind.
func (f *Fleet) config() routing.Config {
	c := routing.Config{
		Version: 1, Backends: []routing.Backend{{Name: backend, MaxConns: 1000}},
		Customers: []routing.Customer{{Name: "customer", Keys: []string{customerKey}}},
	}
	for _, kind := range []RouteKind{StreamRoute, ReadRoute, BookRoute, KeyedRoute} {
		r := routing.Route{
			Name: string(kind), Host: "h", Prefix: "/" + string(kind) + "/", Kind: routing.Idempotent, Timeout: 3 * time.Second, LatencyGoal: 400 * time.Millisecond,
			Split: []routing.WeightedBackend{{Backend: backend, Weight: 1}}, MaxAttempts: 2, Public: kind != KeyedRoute,
		}
		switch kind {
		case StreamRoute:
			r.Kind, r.Timeout, r.Resumable = routing.Stream, 8*time.Second, true
		case BookRoute:
			r.Kind, r.MaxAttempts = routing.NonIdempotent, 1
		}
		c.Routes = append(c.Routes, r)
	}
	return c
}

// close ends all processes at once.
func (f *Fleet) close() {
	f.mu.Lock()
	members, targets := f.members, f.targets
	f.mu.Unlock()
	for _, t := range targets {
		t.close()
	}
	for _, m := range members {
		m.callers.closeAll()
		_ = m.callers.Close() // ends the gateway without the waits of a planned stop
	}
	for _, m := range members {
		m.stop()
		<-m.ended
	}
}
