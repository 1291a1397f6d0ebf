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

// operationFixture is a target process and a session from an entry to it.
type operationFixture struct {
	t       *testing.T
	target  *Target
	service *enginestandin.Service
	session *wire.Session
	// accepted counts the accepted frames of all dispatches.
	accepted atomic.Int32
}

func newOperationFixture(t *testing.T) *operationFixture {
	s := &config.Settings{Role: config.RoleTarget, Name: "app-1", ClusterKey: "0123456789abcdef", StopBoundMs: 1000}
	s.Target = config.TargetSettings{Backend: "app", Kind: config.KindService}
	b := &operationFixture{t: t, service: enginestandin.NewService(enginestandin.ServiceOptions{})}
	b.target = New(Options{Settings: s, Node: node.New(s, io.Discard), Service: b.service.Direct()})
	c := &config.Config{Revision: 1}
	c.Inventory.Targets = []config.Target{{Name: "app-1", Backend: "app"}}
	b.target.config.Store(c)
	clientConn, serverConn := net.Pipe()
	go b.target.serveConn(serverConn)
	var err error
	b.session, err = wire.Client(clientConn, b.target.node.ClusterKey, &wirepb.Hello{Instance: "entry-1", Role: "entry"})
	require.NoError(t, err)
	go func() { _, _ = io.Copy(io.Discard, controlReader{b.session.Control()}) }()
	t.Cleanup(func() { _ = b.session.Close() })
	return b
}

// controlReader discards heartbeats. Unread ones would block the net.Pipe.
type controlReader struct{ st *wire.Stream }

func (r controlReader) Read([]byte) (int, error) {
	var m wirepb.Control
	return 0, r.st.Recv(&m)
}

func (b *operationFixture) newID() atmostonce.ID {
	return atmostonce.NewID("app", "app-1", b.target.node.Incarnation, time.Now())
}

// dispatch returns the body and whether it was replayed, or the failure.
func (b *operationFixture) dispatch(id atmostonce.ID, body string) (string, bool, *wirepb.Failure) {
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

func (b *operationFixture) outcome(id atmostonce.ID, closeIfAbsent bool) wirepb.OutcomeReply_State {
	return b.queryOutcome(&wirepb.Outcome{OperationId: id.String(), CloseIfAbsent: closeIfAbsent, Customer: "taller"}).GetState()
}

func (b *operationFixture) queryOutcome(q *wirepb.Outcome) *wirepb.OutcomeReply {
	st, err := b.session.Open(&wirepb.Open{Body: &wirepb.Open_Outcome{Outcome: q}})
	require.NoError(b.t, err)
	defer func() { _ = st.Close() }()
	var r wirepb.OutcomeReply
	require.NoError(b.t, st.Recv(&r))
	return &r
}

// Guards against returning the response of another request or customer under the
// same id, to a call that its entry has abandoned.
func TestOutcomeIsOfTheSameRequest(t *testing.T) {
	b := newOperationFixture(t)
	id := b.newID()
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
		r := b.queryOutcome(&wirepb.Outcome{OperationId: id.String(), Customer: tc.customer, Digest: tc.digest})
		assert.Equal(t, tc.want, r.GetState())
		assert.Equal(t, tc.want == wirepb.OutcomeReply_STATE_FINISHED, string(r.GetData()) == "x")
	}
}

// Guards against running a dispatch that arrives after its entry has closed the
// id and reported not_run.
func TestDispatchAfterCloseDoesNotRun(t *testing.T) {
	b := newOperationFixture(t)
	id := b.newID()
	require.Equal(t, wirepb.OutcomeReply_STATE_CLOSED, b.outcome(id, true))
	_, _, failure := b.dispatch(id, "x")
	require.NotNil(t, failure)
	assert.Equal(t, uint32(errkind.OperationClosed), failure.GetKind())
	assert.Equal(t, uint32(errkind.NotRun), failure.GetDidRun())
	assert.Zero(t, b.service.Executions())
}

// Guards against reporting not_run and then running a later dispatch under the
// same id.
func TestEveryRefusalClosesTheID(t *testing.T) {
	for _, tc := range []struct {
		name       string
		fail, heal func(*operationFixture)
	}{
		{"leaving", func(b *operationFixture) {
			c := *b.target.config.Load()
			c.Rules.Leaving = []string{"app-1"}
			b.target.config.Store(&c)
		}, func(b *operationFixture) {
			c := *b.target.config.Load()
			c.Rules.Leaving = nil
			b.target.config.Store(&c)
		}},
		{"service unreachable",
			func(b *operationFixture) { b.service.SetFaults(enginestandin.ServiceFaults{Unreachable: true}) },
			func(b *operationFixture) { b.service.SetFaults(enginestandin.ServiceFaults{}) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := newOperationFixture(t)
			id := b.newID()
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

// Guards against running a call twice for concurrent retries, and against a
// retry that does not wait for the first response.
func TestConcurrentRepeatsShareOneRun(t *testing.T) {
	b := newOperationFixture(t)
	b.service.SetFaults(enginestandin.ServiceFaults{StallBefore: 50 * time.Millisecond})
	id := b.newID()
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

// Guards against an entry that takes a retry for stalled while it waits for the
// first response.
func TestWaitingRepeatIsAccepted(t *testing.T) {
	b := newOperationFixture(t)
	b.service.SetFaults(enginestandin.ServiceFaults{StallBefore: time.Second})
	id := b.newID()
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

// Guards against reporting not_run for a call whose reply was lost, and against
// running it again.
func TestLostReplyIsUnknown(t *testing.T) {
	b := newOperationFixture(t)
	b.service.SetFaults(enginestandin.ServiceFaults{DropResponse: true})
	id := b.newID()
	for _, kind := range []errkind.Kind{errkind.BackendFailed, errkind.OperationUnknown} {
		_, _, failure := b.dispatch(id, "x")
		require.NotNil(t, failure)
		assert.Equal(t, uint32(kind), failure.GetKind())
		assert.Equal(t, uint32(errkind.Unknown), failure.GetDidRun())
	}
	assert.Equal(t, wirepb.OutcomeReply_STATE_UNKNOWN, b.outcome(id, true))
	assert.Equal(t, 1, b.service.Executions())
}

// Guards against a planned stop that loses stored responses, or that waits for
// an unresponsive successor.
func TestHandOverMovesAnswersToASuccessor(t *testing.T) {
	successor := newOperationFixture(t)
	successor.target.node.Name = "app-2"
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = successor.target.Run(ctx, ln) }()
	t.Cleanup(func() { cancel(); <-done })

	b := newOperationFixture(t)
	c := *b.target.config.Load()
	c.Inventory.Targets = append(c.Inventory.Targets,
		config.Target{Name: "app-2", Backend: "app", PeerAddr: ln.Addr().String()},
		config.Target{Name: "app-3", Backend: "app", PeerAddr: "127.0.0.1:1"})
	b.target.config.Store(&c)
	ran, closed := b.newID(), b.newID()
	_, _, failure := b.dispatch(ran, "x")
	require.Nil(t, failure)
	require.Equal(t, wirepb.OutcomeReply_STATE_CLOSED, b.outcome(closed, true))
	b.target.stop()

	body, replayed, failure := successor.dispatch(ran, "x")
	require.Nil(t, failure)
	assert.True(t, replayed)
	assert.Equal(t, "x", body)
	assert.Equal(t, wirepb.OutcomeReply_STATE_CLOSED, successor.outcome(closed, false))
	_, _, failure = successor.dispatch(b.newID(), "x")
	require.NotNil(t, failure)
	assert.Equal(t, uint32(errkind.OperationUnknown), failure.GetKind())
	assert.Zero(t, successor.service.Executions())
}
