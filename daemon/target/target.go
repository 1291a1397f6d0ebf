package target

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/skylarkstep/skylarkstep/atmostonce"
	"github.com/skylarkstep/skylarkstep/config"
	"github.com/skylarkstep/skylarkstep/configsync"
	"github.com/skylarkstep/skylarkstep/daemon/node"
	"github.com/skylarkstep/skylarkstep/engine"
	"github.com/skylarkstep/skylarkstep/errkind"
	"github.com/skylarkstep/skylarkstep/timeline"
	"github.com/skylarkstep/skylarkstep/wire"
	"github.com/skylarkstep/skylarkstep/wire/wirepb"
)

// Target is one target process.
type Target struct {
	node     *node.Node
	settings *config.Settings
	model    engine.Model
	service  engine.Service

	// config is the active configuration, which is the one that replica holds. It
	// is nil until the first one has arrived.
	config    atomic.Pointer[config.Config]
	replicaMu sync.Mutex
	replica   configsync.Replica // guarded by replicaMu

	work  node.Inflight // admitted attempts and operations
	queue *admissionQueue

	operations *operations
	orders     orders
	group      *group

	mu       sync.Mutex
	sessions map[*wire.Session]*node.Heartbeats // guarded by mu
}

// Options are the dependencies of a Target. Exactly one of Model and Service is
// set.
type Options struct {
	Settings *config.Settings
	Node     *node.Node
	Model    engine.Model
	Service  engine.Service
	// Group is set when the target runs ranks of a group.
	Group engine.Group
}

// New returns a target process; Run starts it.
func New(o Options) *Target {
	return &Target{
		node:     o.Node,
		settings: o.Settings,
		model:    o.Model,
		service:  o.Service,
		queue: newAdmissionQueue(admissionRule(&config.Config{}, o.Settings.Target.Backend), func() {
			o.Node.Events.Record(timeline.Event{Kind: timeline.RampRestarted, Target: o.Node.Name, Backend: o.Settings.Target.Backend})
			o.Node.Log.Info("warm-up ramp restarted")
		}),
		group: newGroup(o.Settings.Target.Group, o.Group, o.Settings.Target.ChecksFencing, o.Node.Incarnation),
		operations: newOperations(atmostonce.NewTable(o.Settings.Target.Backend, o.Node.Name, o.Node.Incarnation,
			atmostonce.Limits{Retention: atmostonce.DefaultRetention, MaxBytes: atmostonce.DefaultMaxBytes}),
			func() time.Time { return o.Node.Clock.Now().Time() }),
		sessions: map[*wire.Session]*node.Heartbeats{},
	}
}

// Run serves sessions accepted from ln until ctx ends. It then stops gracefully
// within the stop timeout of the settings.
func (t *Target) Run(ctx context.Context, ln net.Listener) error {
	// Probes last until the end of the stop: the entries still need to know
	// whether the group makes steps for the work in progress.
	probeCtx, endProbes := context.WithCancel(context.WithoutCancel(ctx))
	defer endProbes()
	go t.group.pollProgress(probeCtx)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		<-ctx.Done()
		t.stop()
		_ = ln.Close()
	}()
	for {
		conn, err := wire.Accept(ln, t.node.Log)
		if err != nil {
			if ctx.Err() == nil {
				return err
			}
			<-stopped
			t.closeSessions()
			return nil
		}
		go t.serveConn(conn)
	}
}

func (t *Target) closeSessions() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for s := range t.sessions {
		_ = s.Close()
	}
}

func (t *Target) revision() uint64 {
	if c := t.config.Load(); c != nil {
		return c.Revision
	}
	return 0
}

func (t *Target) serveConn(conn net.Conn) {
	s, err := wire.Server(conn, t.node.ClusterKey, t.node.Hello(t.revision()))
	if err != nil {
		t.node.Log.Warn("session refused", "remote", conn.RemoteAddr().String(), "error", err)
		return
	}
	heartbeats := node.NewHeartbeats(s, t.heartbeat)
	t.mu.Lock()
	t.sessions[s] = heartbeats
	t.mu.Unlock()
	defer func() {
		t.mu.Lock()
		delete(t.sessions, s)
		t.mu.Unlock()
		_ = s.Close()
	}()
	go heartbeats.Run()
	go t.readControl(s, heartbeats)
	for {
		st, err := s.Accept()
		if err != nil {
			return
		}
		go t.serveStream(st)
	}
}

func (t *Target) serveStream(st *wire.Stream) {
	defer func() { _ = st.Close() }()
	var open wirepb.Open
	if err := st.Recv(&open); err != nil {
		return
	}
	switch body := open.GetBody().(type) {
	case *wirepb.Open_Dispatch:
		t.serveDispatch(st, body.Dispatch)
	case *wirepb.Open_Outcome:
		t.serveOutcome(st, body.Outcome)
	case *wirepb.Open_Handover:
		t.serveHandover(st, body.Handover)
	case *wirepb.Open_Order:
		if body.Order.GetKind() == OrderSwitch {
			_ = st.Send(t.HandleSwitch(body.Order))
			return
		}
		t.serveOrder(st, body.Order)
	case *wirepb.Open_EventQuery:
		t.serveEvents(st, body.EventQuery)
	default:
		_ = st.Send(failureFrame(errkind.New(errkind.Internal, "stream type is not supported"), t.revision(), 0))
	}
}
