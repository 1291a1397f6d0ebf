package target

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/skylarkstep/skylarkstep/config"
	"github.com/skylarkstep/skylarkstep/daemon/node"
	"github.com/skylarkstep/skylarkstep/engine"
	"github.com/skylarkstep/skylarkstep/engine/standin"
	"github.com/skylarkstep/skylarkstep/errkind"
	"github.com/skylarkstep/skylarkstep/wire/wirepb"
)

// watchedModel counts what an engine is given.
type watchedModel struct {
	engine.Model
	bears int // while cold

	mu       sync.Mutex
	cold     bool
	running  int
	overruns int
	calls    int
	deadline time.Duration // of the last call
}

func (m *watchedModel) Generate(ctx context.Context, g engine.Generation, emit func(engine.Token) error) (engine.Finish, error) {
	m.mu.Lock()
	if m.calls++; m.cold && m.running >= m.bears {
		m.overruns++
	}
	m.running++
	m.deadline = g.Deadline
	m.mu.Unlock()
	defer func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.running--
	}()
	return m.Model.Generate(ctx, g, emit)
}

func (m *watchedModel) setCold(cold bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cold = cold
}

// bench is a target process that attempts reach without a session, since yamux
// shares timers between synctest bubbles.
type bench struct {
	t      *testing.T
	target *Target
	model  *watchedModel
	config config.Config
}

func newBench(t *testing.T, m *watchedModel, w config.WarmupRule, l config.LimitRule) *bench {
	settings := &config.Settings{
		Role: config.RoleTarget, Name: "t1", DataCentre: "burgos",
		Target: config.TargetSettings{Backend: "lm", Kind: config.KindModel},
	}
	b := &bench{t: t, model: m}
	b.target = New(Options{Settings: settings, Node: node.New(settings, io.Discard), Model: m})
	b.config.Inventory = config.Inventory{
		Regions:     []config.Region{{Name: "ebro"}},
		DataCentres: []config.DataCentre{{Name: "burgos", Region: "ebro"}},
		Backends:    []config.Backend{{Name: "lm", Kind: config.KindModel, Model: "m"}},
		Targets:     []config.Target{{Name: "t1", Backend: "lm", DataCentre: "burgos", PeerAddr: "127.0.0.1:1"}},
		Entries:     []config.Entry{},
		Customers:   []config.Customer{},
	}
	w.Backend, l.Backend = "lm", "lm"
	b.config.Rules.Warmup, b.config.Rules.Limits = []config.WarmupRule{w}, []config.LimitRule{l}
	b.change(func(*config.Rules) {})
	return b
}

func (b *bench) change(f func(*config.Rules)) {
	f(&b.config.Rules)
	b.config.Revision++
	document, err := json.Marshal(b.config)
	require.NoError(b.t, err)
	_, err = config.ParseConfig(document)
	require.NoError(b.t, err)
	b.target.take(nil, &wirepb.Deltas{Snapshot: document, SnapshotRevision: b.config.Revision})
	require.Equal(b.t, b.config.Revision, b.target.revision())
}

type answer struct {
	failure *wirepb.Failure
	end     *wirepb.End
	took    time.Duration
}

// Send implements sink.
func (a *answer) Send(m proto.Message) error {
	f := m.(*wirepb.Frame)
	if f.GetFailure() != nil {
		a.failure = f.GetFailure()
	}
	if f.GetEnd() != nil {
		a.end = f.GetEnd()
	}
	return nil
}

// ask serves one attempt and returns its whole answer.
func (b *bench) ask(d *wirepb.Dispatch) answer {
	body, _ := json.Marshal(ModelRequest{Model: "m", Prompt: d.GetRequestId(), MaxTokens: int(d.GetExpectedTokens())})
	d.Body, d.Backend, d.TargetIncarnation = body, "lm", b.target.node.Incarnation
	ctx, cancel := context.WithTimeout(b.t.Context(), time.Duration(d.GetRemainingMs())*time.Millisecond)
	defer cancel()
	begun, a := time.Now(), answer{}
	b.target.serveAttempt(ctx, &a, d)
	a.took = time.Since(begun)
	assert.True(b.t, (a.failure == nil) != (a.end == nil), "an answer has one end")
	return a
}

// load sends one request an interval for a time and returns the answers.
func (b *bench) load(d, interval time.Duration) (served int, refused, failed []answer) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	end := time.Now().Add(d)
	for i := 0; time.Now().Before(end); i++ {
		wg.Go(func() {
			a := b.ask(&wirepb.Dispatch{
				RequestId: fmt.Sprint(i), Customer: fmt.Sprint("c", i%3), ExpectedTokens: uint32(10 + i%7), RemainingMs: 5000,
			})
			mu.Lock()
			defer mu.Unlock()
			switch {
			case a.failure == nil:
				served++
			case errkind.DidRun(a.failure.GetDidRun()) == errkind.NotRun && a.failure.GetRetryAfterMs() > 0:
				refused = append(refused, a)
			default:
				failed = append(failed, a)
			}
		})
		time.Sleep(interval)
	}
	wg.Wait()
	return served, refused, failed
}

// Guards against a cold engine that many entries push over, at its start and
// after it turns cold again without warning.
func TestColdEngineIsNotOverrun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const warmUp = 8 * time.Second
		m := standin.NewModel(standin.ModelOptions{
			TokenInterval: 5 * time.Millisecond, Concurrency: 16, Cold: true, ColdConcurrency: 2, WarmUp: warmUp,
			FallOver: 3 * time.Second,
		})
		w := &watchedModel{Model: m.Direct(), bears: 2, cold: true}
		b := newBench(t, w, config.WarmupRule{Initial: 2, Factor: 2, IntervalMs: 9000},
			config.LimitRule{Concurrency: 16, MaxWaitMs: 200})

		served, refused, failed := b.load(warmUp, 3*time.Millisecond)
		t.Logf("cold start: served %d, refused %d, failed %d, overruns %d", served, len(refused), len(failed), w.overruns)
		assert.Zero(t, w.overruns)
		assert.Empty(t, failed)
		assert.Greater(t, served, 150)

		w.setCold(false)
		b.load(30*time.Second, 3*time.Millisecond)
		load, _ := b.target.load()
		require.EqualValues(t, 16, load.GetLimit())

		w.setCold(true)
		m.GoCold()
		served, refused, failed = b.load(warmUp, 3*time.Millisecond)
		t.Logf("cold again: served %d, refused %d, failed %d, overruns %d", served, len(refused), len(failed), w.overruns)
		// The first overrun is what shows that the engine turned cold. Its fall
		// fails the 16 in progress and each probe until it stands up again.
		assert.LessOrEqual(t, w.overruns, 2)
		assert.LessOrEqual(t, len(failed), 30)
		assert.Greater(t, served, 80)
	})
}

// Guards against refused work that runs later, and against a refusal that comes
// only near the deadline.
func TestRefusedWorkNeverRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := standin.NewModel(standin.ModelOptions{TokenInterval: 20 * time.Millisecond, Concurrency: 4})
		w := &watchedModel{Model: m.Direct()}
		b := newBench(t, w, config.WarmupRule{Initial: 4, Factor: 2, IntervalMs: 1000},
			config.LimitRule{Concurrency: 4, MaxWaitMs: 400})
		served, refused, failed := b.load(10*time.Second, 5*time.Millisecond)
		time.Sleep(time.Minute)
		assert.Empty(t, failed)
		assert.Equal(t, served, w.calls, "the engine got only what was served")
		assert.Greater(t, len(refused), served)
		atOnce := 0
		for _, a := range refused {
			require.LessOrEqual(t, a.took, 400*time.Millisecond)
			if a.took < time.Millisecond {
				atOnce++
			}
		}
		t.Logf("served %d, refused %d, at once %d", served, len(refused), atOnce)
		assert.Greater(t, atOnce*10, len(refused)*8)
	})
}

// Guards against an engine that works against a deadline without the time that
// the request has spent in the queue.
func TestRemainingTimeAfterQueueing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := standin.NewModel(standin.ModelOptions{TokenInterval: 10 * time.Millisecond})
		w := &watchedModel{Model: m.Direct()}
		b := newBench(t, w, config.WarmupRule{Initial: 1, Factor: 2, IntervalMs: 1000},
			config.LimitRule{Concurrency: 1, MaxWaitMs: 5000})
		go b.ask(&wirepb.Dispatch{RequestId: "a", ExpectedTokens: 101, RemainingMs: 3000})
		synctest.Wait()
		a := b.ask(&wirepb.Dispatch{RequestId: "b", ExpectedTokens: 10, RemainingMs: 3000})
		require.Nil(t, a.failure)
		assert.Equal(t, 2*time.Second, w.deadline)
	})
}

// Guards against queued work that starts after its data centre was taken out,
// and against a target that takes up its old limit when the data centre returns.
func TestZoneOutAndIn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := standin.NewModel(standin.ModelOptions{TokenInterval: 5 * time.Millisecond})
		w := &watchedModel{Model: m.Direct()}
		b := newBench(t, w, config.WarmupRule{Initial: 2, Factor: 2, IntervalMs: 200},
			config.LimitRule{Concurrency: 8, MaxWaitMs: 1000})
		b.load(5*time.Second, 5*time.Millisecond)
		load, warming := b.target.load()
		require.EqualValues(t, 8, load.GetLimit())
		require.False(t, warming)

		for i := range 8 {
			go b.ask(&wirepb.Dispatch{RequestId: fmt.Sprint(i), ExpectedTokens: 50, RemainingMs: 5000})
		}
		synctest.Wait()
		calls := w.calls
		queued := make(chan answer)
		go func() { queued <- b.ask(&wirepb.Dispatch{RequestId: "q", ExpectedTokens: 5, RemainingMs: 5000}) }()
		synctest.Wait()
		load, _ = b.target.load()
		require.EqualValues(t, 1, load.GetQueued())
		b.change(func(r *config.Rules) { r.DataCentresOut = []string{"burgos"} })
		a := <-queued
		assert.Equal(t, errkind.Leaving, errkind.Kind(a.failure.GetKind()))
		assert.Equal(t, errkind.NotRun, errkind.DidRun(a.failure.GetDidRun()))
		assert.Equal(t, calls, w.calls)

		b.change(func(r *config.Rules) { r.DataCentresOut = nil })
		load, warming = b.target.load()
		assert.EqualValues(t, 2, load.GetLimit())
		assert.True(t, warming)

		b.change(func(r *config.Rules) { r.Limits[0].Concurrency = 1 })
		load, _ = b.target.load()
		assert.EqualValues(t, 1, load.GetLimit(), "a rule change takes effect without a restart")
	})
}
