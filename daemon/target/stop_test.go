package target

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/atmostonce"
	"github.com/skylarkstep/skylarkstep/config"
	"github.com/skylarkstep/skylarkstep/daemon/node"
	"github.com/skylarkstep/skylarkstep/engine/standin"
	"github.com/skylarkstep/skylarkstep/errkind"
	"github.com/skylarkstep/skylarkstep/wire"
	"github.com/skylarkstep/skylarkstep/wire/wirepb"
)

const testKey = "test-cluster-key-0123"

// fixture is a running target process and a session that acts as an entry.
type fixture struct {
	t       *testing.T
	target  *Target
	session *wire.Session
	stop    context.CancelFunc
	exited  chan struct{}
}

func testConfig(revision uint64, out ...string) *config.Config {
	c := &config.Config{Revision: revision}
	c.Inventory.Regions = []config.Region{{Name: "ebro"}}
	c.Inventory.DataCentres = []config.DataCentre{{Name: "burgos", Region: "ebro"}}
	c.Inventory.Entries = []config.Entry{{Name: "entry-1", DataCentre: "burgos", HTTPAddr: "127.0.0.1:1", PeerAddr: "127.0.0.1:2"}}
	c.Inventory.Backends = []config.Backend{{Name: "cabina-app", Kind: config.KindService}}
	c.Inventory.Targets = []config.Target{{Name: "cabina-app-1", Backend: "cabina-app", DataCentre: "burgos", PeerAddr: "127.0.0.1:3"}}
	c.Inventory.Customers = []config.Customer{}
	c.Rules.DataCentresOut = out
	return c
}

func startFixture(t *testing.T) *fixture {
	s := &config.Settings{
		Role: config.RoleTarget, Name: "cabina-app-1", DataCentre: "burgos", ClusterKey: testKey, StopTimeoutMs: 20000,
		Target: config.TargetSettings{Backend: "cabina-app", Kind: config.KindService},
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	f := &fixture{t: t, exited: make(chan struct{})}
	f.target = New(Options{
		Settings: s, Node: node.New(s, io.Discard), Service: standin.NewService(standin.ServiceOptions{}).Direct(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	f.stop = cancel
	go func() {
		defer close(f.exited)
		_ = f.target.Run(ctx, ln)
	}()
	f.session, err = wire.Dial(ctx, ln.Addr().String(), []byte(testKey), &wirepb.Hello{Instance: "entry-1", Role: "entry", Incarnation: 1})
	require.NoError(t, err)
	t.Cleanup(func() {
		cancel()
		_ = f.session.Close()
		<-f.exited
	})
	return f
}

// awaitControl reads the control stream until a message matches.
func (f *fixture) awaitControl(matches func(*wirepb.Control) bool) *wirepb.Control {
	for {
		var m wirepb.Control
		require.NoError(f.t, f.session.Control().Recv(&m))
		if matches(&m) {
			return &m
		}
	}
}

// applyConfig sends a configuration to the target process and waits until it is
// active.
func (f *fixture) applyConfig(c *config.Config) {
	document, err := c.Tree()
	require.NoError(f.t, err)
	require.NoError(f.t, f.session.Control().Send(&wirepb.Control{Body: &wirepb.Control_Deltas{
		Deltas: &wirepb.Deltas{Snapshot: document, SnapshotRevision: c.Revision},
	}}))
	f.awaitControl(func(m *wirepb.Control) bool { return m.GetHeartbeat().GetRevision() == c.Revision })
}

// dispatch sends a call under a new operation id as an entry with the given
// revision, and returns the first frame of the response.
func (f *fixture) dispatch(revision uint64) *wirepb.Frame {
	id := atmostonce.NewID("cabina-app", "cabina-app-1", f.target.node.Incarnation, time.Now())
	st, err := f.session.Open(&wirepb.Open{Body: &wirepb.Open_Dispatch{Dispatch: &wirepb.Dispatch{
		RequestId: "r", OperationId: id.String(), Backend: "cabina-app", Operation: "book", Method: "POST", RemainingMs: 5000,
		EntryRevision: revision, TargetIncarnation: f.target.node.Incarnation, Body: []byte("{}"),
	}}})
	require.NoError(f.t, err)
	defer func() { _ = st.Close() }()
	require.NoError(f.t, st.SetReadDeadline(time.Now().Add(5*time.Second)))
	var frame wirepb.Frame
	require.NoError(f.t, st.Recv(&frame), "the session ended before a response to the dispatch")
	return &frame
}

// Guards against losing a dispatch, instead of refusing it with not_run, that
// was routed before the entry applied the stop of the target process.
func TestStoppingTargetAnswersUntilEntryActs(t *testing.T) {
	f := startFixture(t)
	f.applyConfig(testConfig(1))
	f.stop()
	leaving := f.awaitControl(func(m *wirepb.Control) bool {
		return m.GetHeartbeat().GetState() == wirepb.MemberState_MEMBER_STATE_LEAVING
	})
	for range 20 {
		failure := f.dispatch(1).GetFailure()
		require.Equal(t, errkind.Leaving, errkind.Kind(failure.GetKind()))
		require.Equal(t, errkind.NotRun, errkind.DidRun(failure.GetDidRun()))
	}
	require.NoError(t, f.session.Control().Send(&wirepb.Control{Body: &wirepb.Control_Heartbeat{
		Heartbeat: &wirepb.Heartbeat{Sequence: 1, Echo: leaving.GetHeartbeat().GetSequence() + 1},
	}}))
	select {
	case <-f.exited:
	case <-time.After(10 * time.Second):
		t.Fatal("the target process did not exit after the entry applied its leaving state")
	}
}

// Guards against starting work in a data centre that is out of service because
// the entry has an older revision, and against an entry that can't catch up.
func TestTargetRefusesWorkInExcludedDataCentre(t *testing.T) {
	f := startFixture(t)
	f.applyConfig(testConfig(1))
	require.Nil(t, f.dispatch(1).GetFailure())
	f.applyConfig(testConfig(2, "burgos"))
	for _, revision := range []uint64{1, 2, 9} {
		failure := f.dispatch(revision).GetFailure()
		require.Equal(t, errkind.Leaving, errkind.Kind(failure.GetKind()))
		assert.Equal(t, uint64(2), failure.GetRevision())
	}
	require.NoError(t, f.session.Control().Send(&wirepb.Control{Body: &wirepb.Control_Pull{Pull: &wirepb.Pull{FromRevision: 1}}}))
	m := f.awaitControl(func(m *wirepb.Control) bool { return m.GetDeltas() != nil })
	assert.Equal(t, uint64(2), m.GetDeltas().GetSnapshotRevision())

	f.applyConfig(testConfig(3))
	assert.Nil(t, f.dispatch(3).GetFailure())
}
