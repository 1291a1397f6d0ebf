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
	s := &config.Settings{Role: config.RoleTarget, Name: "app-1", ClusterKey: "0123456789abcdef", StopTimeoutMs: 1000}
	s.Target = config.TargetSettings{Backend: "app", Kind: config.KindService}
	f := &operationFixture{t: t, service: enginestandin.NewService(enginestandin.ServiceOptions{})}
	f.target = New(Options{Settings: s, Node: node.New(s, io.Discard), Service: f.service.Direct()})
	c := &config.Config{Revision: 1}
	c.Inventory.Targets = []config.Target{{Name: "app-1", Backend: "app"}}
	f.target.config.Store(c)
	clientConn, serverConn := net.Pipe()
	go f.target.serveConn(serverConn)
	var err error
	f.session, err = wire.Client(clientConn, f.target.node.ClusterKey, &wirepb.Hello{Instance: "entry-1", Role: "entry"})
	require.NoError(t, err)
	go func() { _, _ = io.Copy(io.Discard, controlReader{f.session.Control()}) }()
	t.Cleanup(func() { _ = f.session.Close() })
	return f
}

// controlReader discards heartbeats. Unread ones would block the net.Pipe.
type controlReader struct{ st *wire.Stream }

func (r controlReader) Read([]byte) (int, error) {
	var m wirepb.Control
	return 0, r.st.Recv(&m)
}

func (f *operationFixture) newID() atmostonce.ID {
	return atmostonce.NewID("app", "app-1", f.target.node.Incarnation, time.Now())
}

// dispatch returns the body and whether it was replayed, or the failure.
func (f *operationFixture) dispatch(id atmostonce.ID, body string) (string, bool, *wirepb.Failure) {
	st, err := f.session.Open(&wirepb.Open{Body: &wirepb.Open_Dispatch{Dispatch: &wirepb.Dispatch{
		OperationId: id.String(), Customer: "taller", Backend: "app", Operation: "book", Body: []byte(body),
		RemainingMs: 5000, TargetIncarnation: f.target.node.Incarnation,
	}}})
	require.NoError(f.t, err)
	defer func() { _ = st.Close() }()
	var data []byte
	for {
		var frame wirepb.Frame
		require.NoError(f.t, st.Recv(&frame))
		switch x := frame.GetBody().(type) {
		case *wirepb.Frame_Accepted:
			f.accepted.Add(1)
		case *wirepb.Frame_Data:
			data = append(data, x.Data...)
		case *wirepb.Frame_End:
			return string(data), x.End.GetReplayed(), nil
		case *wirepb.Frame_Failure:
			return "", false, x.Failure
		}
	}
}

func (f *operationFixture) outcome(id atmostonce.ID, closeIfAbsent bool) wirepb.OutcomeReply_State {
	return f.queryOutcome(&wirepb.Outcome{OperationId: id.String(), CloseIfAbsent: closeIfAbsent, Customer: "taller"}).GetState()
}

func (f *operationFixture) queryOutcome(q *wirepb.Outcome) *wirepb.OutcomeReply {
	st, err := f.session.Open(&wirepb.Open{Body: &wirepb.Open_Outcome{Outcome: q}})
	require.NoError(f.t, err)
	defer func() { _ = st.Close() }()
	var r wirepb.OutcomeReply
	require.NoError(f.t, st.Recv(&r))
	return &r
}

// Guards against returning the response of another request or customer under the
// same id, to a call that its entry has abandoned.
func TestOutcomeIsOfTheSameRequest(t *testing.T) {
	f := newOperationFixture(t)
	id := f.newID()
	_, _, failure := f.dispatch(id, "x")
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
		r := f.queryOutcome(&wirepb.Outcome{OperationId: id.String(), Customer: tc.customer, Digest: tc.digest})
		assert.Equal(t, tc.want, r.GetState())
		assert.Equal(t, tc.want == wirepb.OutcomeReply_STATE_FINISHED, string(r.GetData()) == "x")
	}
}

// Guards against running a dispatch that arrives after its entry has closed the
// id and reported not_run.
func TestDispatchAfterCloseDoesNotRun(t *testing.T) {
	f := newOperationFixture(t)
	id := f.newID()
	require.Equal(t, wirepb.OutcomeReply_STATE_CLOSED, f.outcome(id, true))
	_, _, failure := f.dispatch(id, "x")
	require.NotNil(t, failure)
	assert.Equal(t, uint32(errkind.OperationClosed), failure.GetKind())
	assert.Equal(t, uint32(errkind.NotRun), failure.GetDidRun())
	assert.Zero(t, f.service.Executions())
}

// Guards against reporting not_run and then running a later dispatch under the
// same id.
func TestEveryRefusalClosesTheID(t *testing.T) {
	for _, tc := range []struct {
		name          string
		fail, restore func(*operationFixture)
	}{
		{"leaving", func(f *operationFixture) {
			c := *f.target.config.Load()
			c.Rules.TargetsLeaving = []string{"app-1"}
			f.target.config.Store(&c)
		}, func(f *operationFixture) {
			c := *f.target.config.Load()
			c.Rules.TargetsLeaving = nil
			f.target.config.Store(&c)
		}},
		{"service unreachable",
			func(f *operationFixture) { f.service.SetFaults(enginestandin.ServiceFaults{Unreachable: true}) },
			func(f *operationFixture) { f.service.SetFaults(enginestandin.ServiceFaults{}) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newOperationFixture(t)
			id := f.newID()
			tc.fail(f)
			_, _, failure := f.dispatch(id, "x")
			require.NotNil(t, failure)
			assert.Equal(t, uint32(errkind.NotRun), failure.GetDidRun())
			tc.restore(f)
			_, _, failure = f.dispatch(id, "x")
			require.NotNil(t, failure)
			assert.Equal(t, uint32(errkind.OperationClosed), failure.GetKind())
			assert.Zero(t, f.service.Executions())
		})
	}
}

// Guards against running a call twice for concurrent retries, and against a
// retry that does not wait for the first response.
func TestConcurrentRepeatsShareOneRun(t *testing.T) {
	f := newOperationFixture(t)
	f.service.SetFaults(enginestandin.ServiceFaults{StallBefore: 50 * time.Millisecond})
	id := f.newID()
	var wg sync.WaitGroup
	var mu sync.Mutex
	first := 0
	for range 8 {
		wg.Go(func() {
			body, replayed, failure := f.dispatch(id, "x")
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
	assert.Equal(t, 1, f.service.Executions())
	assert.Equal(t, wirepb.OutcomeReply_STATE_FINISHED, f.outcome(id, true))
}

// Guards against an entry that takes a retry for stalled while it waits for the
// first response.
func TestWaitingRepeatIsAccepted(t *testing.T) {
	f := newOperationFixture(t)
	f.service.SetFaults(enginestandin.ServiceFaults{StallBefore: time.Second})
	id := f.newID()
	first := make(chan *wirepb.Failure, 1)
	go func() {
		_, _, failure := f.dispatch(id, "x")
		first <- failure
	}()
	require.Eventually(t, func() bool { return f.outcome(id, false) == wirepb.OutcomeReply_STATE_RUNNING }, 10*time.Second, time.Millisecond)
	_, replayed, failure := f.dispatch(id, "x")
	require.Nil(t, failure)
	require.Nil(t, <-first)
	assert.True(t, replayed)
	assert.EqualValues(t, 2, f.accepted.Load())
}

// Guards against reporting not_run for a call whose reply was lost, and against
// running it again.
func TestLostReplyIsUnknown(t *testing.T) {
	f := newOperationFixture(t)
	f.service.SetFaults(enginestandin.ServiceFaults{DropResponse: true})
	id := f.newID()
	for _, kind := range []errkind.Kind{errkind.BackendFailed, errkind.OperationUnknown} {
		_, _, failure := f.dispatch(id, "x")
		require.NotNil(t, failure)
		assert.Equal(t, uint32(kind), failure.GetKind())
		assert.Equal(t, uint32(errkind.Unknown), failure.GetDidRun())
	}
	assert.Equal(t, wirepb.OutcomeReply_STATE_UNKNOWN, f.outcome(id, true))
	assert.Equal(t, 1, f.service.Executions())
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

	f := newOperationFixture(t)
	c := *f.target.config.Load()
	c.Inventory.Targets = append(c.Inventory.Targets,
		config.Target{Name: "app-2", Backend: "app", PeerAddr: ln.Addr().String()},
		config.Target{Name: "app-3", Backend: "app", PeerAddr: "127.0.0.1:1"})
	f.target.config.Store(&c)
	ran, closed := f.newID(), f.newID()
	_, _, failure := f.dispatch(ran, "x")
	require.Nil(t, failure)
	require.Equal(t, wirepb.OutcomeReply_STATE_CLOSED, f.outcome(closed, true))
	f.target.stop()

	body, replayed, failure := successor.dispatch(ran, "x")
	require.Nil(t, failure)
	assert.True(t, replayed)
	assert.Equal(t, "x", body)
	assert.Equal(t, wirepb.OutcomeReply_STATE_CLOSED, successor.outcome(closed, false))
	_, _, failure = successor.dispatch(f.newID(), "x")
	require.NotNil(t, failure)
	assert.Equal(t, uint32(errkind.OperationUnknown), failure.GetKind())
	assert.Zero(t, successor.service.Executions())
}
