package target

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/atmostonce"
	"github.com/skylarkstep/skylarkstep/config"
	"github.com/skylarkstep/skylarkstep/daemon/node"
	enginestandin "github.com/skylarkstep/skylarkstep/engine/standin"
	"github.com/skylarkstep/skylarkstep/errkind"
	"github.com/skylarkstep/skylarkstep/wire"
	"github.com/skylarkstep/skylarkstep/wire/wirepb"
)

// opBench is one target process with a session of an entry.
type opBench struct {
	t       *testing.T
	target  *Target
	service *enginestandin.Service
	session *wire.Session
	// accepted counts the accepted frames of all dispatches.
	accepted atomic.Int32
}

func newOpBench(t *testing.T) *opBench {
	s := &config.Settings{Role: config.RoleTarget, Name: "app-1", ClusterKey: "0123456789abcdef", StopTimeoutMs: 1000}
	s.Target = config.TargetSettings{Backend: "app", Kind: config.KindService}
	b := &opBench{t: t, service: enginestandin.NewService(enginestandin.ServiceOptions{})}
	b.target = New(Options{Settings: s, Node: node.New(s, io.Discard), Service: b.service.Direct()})
	c := &config.Config{Revision: 1}
	c.Inventory.Targets = []config.Target{{Name: "app-1", Backend: "app"}}
	b.target.config.Store(c)
	near, far := net.Pipe()
	go b.target.serveConn(far)
	var err error
	b.session, err = wire.Client(near, b.target.node.ClusterKey, &wirepb.Hello{Instance: "entry-1", Role: "entry"})
	require.NoError(t, err)
	go func() { _, _ = io.Copy(io.Discard, controlReader{b.session.Control()}) }()
	t.Cleanup(func() { _ = b.session.Close() })
	return b
}

// controlReader drains heartbeats, which would block a pipe.
type controlReader struct{ st *wire.Stream }

func (r controlReader) Read([]byte) (int, error) {
	var m wirepb.Control
	return 0, r.st.Recv(&m)
}

func (b *opBench) id() atmostonce.ID {
	return atmostonce.NewID("app", "app-1", b.target.node.Incarnation, time.Now())
}

// dispatch returns the body and whether it was replayed, or the failure.
func (b *opBench) dispatch(id atmostonce.ID, body string) (string, bool, *wirepb.Failure) {
	st, err := b.session.Open(&wirepb.Open{Body: &wirepb.Open_Dispatch{Dispatch: &wirepb.Dispatch{
		OperationId: id.String(), Customer: "taller", Backend: "app", Operation: "book", Body: []byte(body),
		RemainingMs: 5000, TargetIncarnation: b.target.node.Incarnation,
	}}})
	require.NoError(b.t, err)
	defer func() { _ = st.Close() }()
	var data []byte
	for {
		var f wirepb.Frame
		require.NoError(b.t, st.Recv(&f))
		switch x := f.GetBody().(type) {
		case *wirepb.Frame_Accepted:
			b.accepted.Add(1)
		case *wirepb.Frame_Data:
			data = append(data, x.Data...)
		case *wirepb.Frame_End:
			return string(data), x.End.GetReplayed(), nil
		case *wirepb.Frame_Failure:
			return "", false, x.Failure
		}
	}
}

func (b *opBench) outcome(id atmostonce.ID, closeIfAbsent bool) wirepb.OutcomeReply_State {
	return b.ask(&wirepb.Outcome{OperationId: id.String(), CloseIfAbsent: closeIfAbsent, Customer: "taller"}).GetState()
}

func (b *opBench) ask(q *wirepb.Outcome) *wirepb.OutcomeReply {
	st, err := b.session.Open(&wirepb.Open{Body: &wirepb.Open_Outcome{Outcome: q}})
	require.NoError(b.t, err)
	defer func() { _ = st.Close() }()
	var r wirepb.OutcomeReply
	require.NoError(b.t, st.Recv(&r))
	return &r
}

// Guards against a call that its entry gave up and that then gets the answer of
// another request, or another customer, under the same id.
func TestOutcomeIsOfTheSameRequest(t *testing.T) {
	b := newOpBench(t)
	id := b.id()
	_, _, failure := b.dispatch(id, "x")
	require.Nil(t, failure)
	own := RequestOf(&wirepb.Dispatch{Backend: "app", Operation: "book", Body: []byte("x")}).Digest
	other := RequestOf(&wirepb.Dispatch{Backend: "app", Operation: "book", Body: []byte("y")}).Digest
	for _, tc := range []struct {
		customer string
		digest   []byte
		want     wirepb.OutcomeReply_State
	}{
		{"taller", own[:], wirepb.OutcomeReply_STATE_FINISHED},
		{"taller", nil, wirepb.OutcomeReply_STATE_FINISHED},
		{"taller", other[:], wirepb.OutcomeReply_STATE_UNKNOWN},
		{"flota", nil, wirepb.OutcomeReply_STATE_UNKNOWN},
	} {
		r := b.ask(&wirepb.Outcome{OperationId: id.String(), Customer: tc.customer, Digest: tc.digest})
		assert.Equal(t, tc.want, r.GetState())
		assert.Equal(t, tc.want == wirepb.OutcomeReply_STATE_FINISHED, string(r.GetData()) == "x")
	}
}

// Guards against running a dispatch that was queued behind the question with
// which its entry closed the id and said not_run.
func TestDispatchAfterCloseDoesNotRun(t *testing.T) {
	b := newOpBench(t)
	id := b.id()
	require.Equal(t, wirepb.OutcomeReply_STATE_CLOSED, b.outcome(id, true))
	_, _, failure := b.dispatch(id, "x")
	require.NotNil(t, failure)
	assert.Equal(t, uint32(errkind.OperationClosed), failure.GetKind())
	assert.Equal(t, uint32(errkind.NotRun), failure.GetDidRun())
	assert.Zero(t, b.service.Executions())
}

// Guards against a not_run that a later dispatch under the same id refutes.
func TestEveryRefusalClosesTheID(t *testing.T) {
	for _, tc := range []struct {
		name       string
		fail, heal func(*opBench)
	}{
		{"leaving", func(b *opBench) {
			c := *b.target.config.Load()
			c.Rules.TargetsLeaving = []string{"app-1"}
			b.target.config.Store(&c)
		}, func(b *opBench) {
			c := *b.target.config.Load()
			c.Rules.TargetsLeaving = nil
			b.target.config.Store(&c)
		}},
		{"service unreachable",
			func(b *opBench) { b.service.SetFaults(enginestandin.ServiceFaults{Unreachable: true}) },
			func(b *opBench) { b.service.SetFaults(enginestandin.ServiceFaults{}) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := newOpBench(t)
			id := b.id()
			tc.fail(b)
			_, _, failure := b.dispatch(id, "x")
			require.NotNil(t, failure)
			assert.Equal(t, uint32(errkind.NotRun), failure.GetDidRun())
			tc.heal(b)
			_, _, failure = b.dispatch(id, "x")
			require.NotNil(t, failure)
			assert.Equal(t, uint32(errkind.OperationClosed), failure.GetKind())
			assert.Zero(t, b.service.Executions())
		})
	}
}

// Guards against a second run by concurrent repeats, and against a repeat that
// does not wait for the first answer.
func TestConcurrentRepeatsShareOneRun(t *testing.T) {
	b := newOpBench(t)
	b.service.SetFaults(enginestandin.ServiceFaults{StallBefore: 50 * time.Millisecond})
	id := b.id()
	var wg sync.WaitGroup
	var mu sync.Mutex
	first := 0
	for range 8 {
		wg.Go(func() {
			body, replayed, failure := b.dispatch(id, "x")
			assert.Nil(t, failure)
			assert.Equal(t, "x", body)
			mu.Lock()
			defer mu.Unlock()
			if !replayed {
				first++
			}
		})
	}
	wg.Wait()
	assert.Equal(t, 1, first)
	assert.Equal(t, 1, b.service.Executions())
	assert.Equal(t, wirepb.OutcomeReply_STATE_FINISHED, b.outcome(id, true))
}

// Guards against a repeat that its entry takes for stalled while it waits for
// the first answer.
func TestWaitingRepeatIsAccepted(t *testing.T) {
	b := newOpBench(t)
	b.service.SetFaults(enginestandin.ServiceFaults{StallBefore: time.Second})
	id := b.id()
	first := make(chan *wirepb.Failure, 1)
	go func() {
		_, _, failure := b.dispatch(id, "x")
		first <- failure
	}()
	require.Eventually(t, func() bool { return b.outcome(id, false) == wirepb.OutcomeReply_STATE_RUNNING }, 10*time.Second, time.Millisecond)
	_, replayed, failure := b.dispatch(id, "x")
	require.Nil(t, failure)
	require.Nil(t, <-first)
	assert.True(t, replayed)
	assert.EqualValues(t, 2, b.accepted.Load())
}

// Guards against an answer of a lost reply that is called not_run or repeated.
func TestLostReplyIsUnknown(t *testing.T) {
	b := newOpBench(t)
	b.service.SetFaults(enginestandin.ServiceFaults{DropReply: true})
	id := b.id()
	for _, kind := range []errkind.Kind{errkind.BackendFailed, errkind.OperationUnknown} {
		_, _, failure := b.dispatch(id, "x")
		require.NotNil(t, failure)
		assert.Equal(t, uint32(kind), failure.GetKind())
		assert.Equal(t, uint32(errkind.Unknown), failure.GetDidRun())
	}
	assert.Equal(t, wirepb.OutcomeReply_STATE_UNKNOWN, b.outcome(id, true))
	assert.Equal(t, 1, b.service.Executions())
}

// Guards against a planned stop that loses answers, or that waits for a
// successor that does not answer.
func TestHandOverMovesAnswersToASuccessor(t *testing.T) {
	heir := newOpBench(t)
	heir.target.node.Name = "app-2"
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = heir.target.Run(ctx, ln) }()
	t.Cleanup(func() { cancel(); <-done })

	b := newOpBench(t)
	c := *b.target.config.Load()
	c.Inventory.Targets = append(c.Inventory.Targets,
		config.Target{Name: "app-2", Backend: "app", PeerAddr: ln.Addr().String()},
		config.Target{Name: "app-3", Backend: "app", PeerAddr: "127.0.0.1:1"})
	b.target.config.Store(&c)
	ran, closed := b.id(), b.id()
	_, _, failure := b.dispatch(ran, "x")
	require.Nil(t, failure)
	require.Equal(t, wirepb.OutcomeReply_STATE_CLOSED, b.outcome(closed, true))
	b.target.stop()

	body, replayed, failure := heir.dispatch(ran, "x")
	require.Nil(t, failure)
	assert.True(t, replayed)
	assert.Equal(t, "x", body)
	assert.Equal(t, wirepb.OutcomeReply_STATE_CLOSED, heir.outcome(closed, false))
	_, _, failure = heir.dispatch(b.id(), "x")
	require.NotNil(t, failure)
	assert.Equal(t, uint32(errkind.OperationUnknown), failure.GetKind())
	assert.Zero(t, heir.service.Executions())
}
