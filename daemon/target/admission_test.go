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

// countingModel counts the calls to an engine, and those that exceed its
// capacity while it is warming up.
type countingModel struct {
	engine.Model
	warmingLimit int // concurrent calls that the engine can handle while warming up

	mu       sync.Mutex
	warming  bool
	running  int
	overruns int
	calls    int
	deadline time.Duration // of the last call
}

func (m *countingModel) Generate(ctx context.Context, g engine.Generation, emit func(engine.Token) error) (engine.Finish, error) {
	m.mu.Lock()
	if m.calls++; m.warming && m.running >= m.warmingLimit {
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

func (m *countingModel) setWarming(warming bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.warming = warming
}

// admissionFixture is a target process that is called without a session, since
// yamux shares timers between synctest bubbles.
type admissionFixture struct {
	t      *testing.T
	target *Target
	model  *countingModel
	config config.Config
}

func newAdmissionFixture(t *testing.T, m *countingModel, w config.WarmupRule, l config.LimitRule) *admissionFixture {
	settings := &config.Settings{
		Role: config.RoleTarget, Name: "t1", DataCentre: "burgos",
		Target: config.TargetSettings{Backend: "lm", Kind: config.KindModel},
	}
	f := &admissionFixture{t: t, model: m}
	f.target = New(Options{Settings: settings, Node: node.New(settings, io.Discard), Model: m})
	f.config.Inventory = config.Inventory{
		Regions:     []config.Region{{Name: "ebro"}},
		DataCentres: []config.DataCentre{{Name: "burgos", Region: "ebro"}},
		Backends:    []config.Backend{{Name: "lm", Kind: config.KindModel, Model: "m"}},
		Targets:     []config.Target{{Name: "t1", Backend: "lm", DataCentre: "burgos", PeerAddr: "127.0.0.1:1"}},
		Entries:     []config.Entry{},
		Customers:   []config.Customer{},
	}
	w.Backend, l.Backend = "lm", "lm"
	f.config.Rules.Warmup, f.config.Rules.Limits = []config.WarmupRule{w}, []config.LimitRule{l}
	f.changeRules(func(*config.Rules) {})
	return f
}

func (f *admissionFixture) changeRules(change func(*config.Rules)) {
	change(&f.config.Rules)
	f.config.Revision++
	document, err := json.Marshal(f.config)
	require.NoError(f.t, err)
	_, err = config.ParseConfig(document)
	require.NoError(f.t, err)
	f.target.applyDeltas(nil, &wirepb.Deltas{Snapshot: document, SnapshotRevision: f.config.Revision})
	require.Equal(f.t, f.config.Revision, f.target.revision())
}

type attemptResult struct {
	failure  *wirepb.Failure
	end      *wirepb.End
	duration time.Duration
}

// Send implements frameSender.
func (a *attemptResult) Send(m proto.Message) error {
	frame := m.(*wirepb.Frame)
	if frame.GetFailure() != nil {
		a.failure = frame.GetFailure()
	}
	if frame.GetEnd() != nil {
		a.end = frame.GetEnd()
	}
	return nil
}

// serve runs one attempt and returns its result.
func (f *admissionFixture) serve(d *wirepb.Dispatch) attemptResult {
	body, _ := json.Marshal(ModelRequest{Model: "m", Prompt: d.GetRequestId(), MaxTokens: int(d.GetExpectedTokens())})
	d.Body, d.Backend, d.TargetIncarnation = body, "lm", f.target.node.Incarnation
	ctx, cancel := context.WithTimeout(f.t.Context(), time.Duration(d.GetRemainingMs())*time.Millisecond)
	defer cancel()
	start, result := time.Now(), attemptResult{}
	f.target.serveAttempt(ctx, &result, d)
	result.duration = time.Since(start)
	assert.True(f.t, (result.failure == nil) != (result.end == nil), "a response must have exactly one end")
	return result
}

// sendLoad sends a request per interval for the given duration and returns the
// number of served requests and the results of the others.
func (f *admissionFixture) sendLoad(duration, interval time.Duration) (served int, refused, failed []attemptResult) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	end := time.Now().Add(duration)
	for i := 0; time.Now().Before(end); i++ {
		wg.Go(func() {
			a := f.serve(&wirepb.Dispatch{
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

// Guards against overloading an engine that is warming up, at its start and
// after it becomes cold again without notice.
func TestColdEngineIsNotOverrun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const warmUp = 8 * time.Second
		m := standin.NewModel(standin.ModelOptions{
			TokenInterval: 5 * time.Millisecond, Concurrency: 16, WarmingUp: true, WarmUpConcurrency: 2, WarmUp: warmUp,
			OverloadFailureTime: 3 * time.Second,
		})
		w := &countingModel{Model: m.Direct(), warmingLimit: 2, warming: true}
		f := newAdmissionFixture(t, w, config.WarmupRule{Initial: 2, Factor: 2, IntervalMs: 9000},
			config.LimitRule{Concurrency: 16, MaxWaitMs: 200})

		served, refused, failed := f.sendLoad(warmUp, 3*time.Millisecond)
		t.Logf("cold start: served %d, refused %d, failed %d, overruns %d", served, len(refused), len(failed), w.overruns)
		assert.Zero(t, w.overruns)
		assert.Empty(t, failed)
		assert.Greater(t, served, 150)

		w.setWarming(false)
		f.sendLoad(30*time.Second, 3*time.Millisecond)
		load, _ := f.target.loadReport()
		require.EqualValues(t, 16, load.GetLimit())

		w.setWarming(true)
		m.RestartWarmUp()
		served, refused, failed = f.sendLoad(warmUp, 3*time.Millisecond)
		t.Logf("cold again: served %d, refused %d, failed %d, overruns %d", served, len(refused), len(failed), w.overruns)
		// Only the first overrun shows that the engine is cold again. It makes the
		// engine fail, and with it the 16 attempts in progress and each probe until
		// the engine has recovered.
		assert.LessOrEqual(t, w.overruns, 2)
		assert.LessOrEqual(t, len(failed), 30)
		assert.Greater(t, served, 80)
	})
}

// Guards against running refused work later, and against refusing work only
// shortly before its deadline.
func TestRefusedWorkNeverRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := standin.NewModel(standin.ModelOptions{TokenInterval: 20 * time.Millisecond, Concurrency: 4})
		w := &countingModel{Model: m.Direct()}
		f := newAdmissionFixture(t, w, config.WarmupRule{Initial: 4, Factor: 2, IntervalMs: 1000},
			config.LimitRule{Concurrency: 4, MaxWaitMs: 400})
		served, refused, failed := f.sendLoad(10*time.Second, 5*time.Millisecond)
		time.Sleep(time.Minute)
		assert.Empty(t, failed)
		assert.Equal(t, served, w.calls, "the engine must receive only requests that are served")
		assert.Greater(t, len(refused), served)
		atOnce := 0
		for _, a := range refused {
			require.LessOrEqual(t, a.duration, 400*time.Millisecond)
			if a.duration < time.Millisecond {
				atOnce++
			}
		}
		t.Logf("served %d, refused %d, at once %d", served, len(refused), atOnce)
		assert.Greater(t, atOnce*10, len(refused)*8)
	})
}

// Guards against passing the engine a deadline that still includes the time that
// the request has spent in the queue.
func TestRemainingTimeAfterQueueing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := standin.NewModel(standin.ModelOptions{TokenInterval: 10 * time.Millisecond})
		w := &countingModel{Model: m.Direct()}
		f := newAdmissionFixture(t, w, config.WarmupRule{Initial: 1, Factor: 2, IntervalMs: 1000},
			config.LimitRule{Concurrency: 1, MaxWaitMs: 5000})
		go f.serve(&wirepb.Dispatch{RequestId: "a", ExpectedTokens: 101, RemainingMs: 3000})
		synctest.Wait()
		a := f.serve(&wirepb.Dispatch{RequestId: "b", ExpectedTokens: 10, RemainingMs: 3000})
		require.Nil(t, a.failure)
		assert.Equal(t, 2*time.Second, w.deadline)
	})
}

// Guards against starting queued work after its data centre was taken out of
// service, and against a target that starts with its old limit, instead of
// warming up, when the data centre is back in service.
func TestZoneOutAndIn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := standin.NewModel(standin.ModelOptions{TokenInterval: 5 * time.Millisecond})
		w := &countingModel{Model: m.Direct()}
		f := newAdmissionFixture(t, w, config.WarmupRule{Initial: 2, Factor: 2, IntervalMs: 200},
			config.LimitRule{Concurrency: 8, MaxWaitMs: 1000})
		f.sendLoad(5*time.Second, 5*time.Millisecond)
		load, warming := f.target.loadReport()
		require.EqualValues(t, 8, load.GetLimit())
		require.False(t, warming)

		for i := range 8 {
			go f.serve(&wirepb.Dispatch{RequestId: fmt.Sprint(i), ExpectedTokens: 50, RemainingMs: 5000})
		}
		synctest.Wait()
		calls := w.calls
		queued := make(chan attemptResult)
		go func() { queued <- f.serve(&wirepb.Dispatch{RequestId: "q", ExpectedTokens: 5, RemainingMs: 5000}) }()
		synctest.Wait()
		load, _ = f.target.loadReport()
		require.EqualValues(t, 1, load.GetQueued())
		f.changeRules(func(r *config.Rules) { r.DataCentresOut = []string{"burgos"} })
		a := <-queued
		assert.Equal(t, errkind.Leaving, errkind.Kind(a.failure.GetKind()))
		assert.Equal(t, errkind.NotRun, errkind.DidRun(a.failure.GetDidRun()))
		assert.Equal(t, calls, w.calls)

		f.changeRules(func(r *config.Rules) { r.DataCentresOut = nil })
		load, warming = f.target.loadReport()
		assert.EqualValues(t, 2, load.GetLimit())
		assert.True(t, warming)

		f.changeRules(func(r *config.Rules) { r.Limits[0].Concurrency = 1 })
		load, _ = f.target.loadReport()
		assert.EqualValues(t, 1, load.GetLimit(), "a rule change takes effect without a restart")
	})
}
