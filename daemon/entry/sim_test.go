package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/balancer"
	"github.com/skylarkstep/skylarkstep/config"
	"github.com/skylarkstep/skylarkstep/configsync"
	"github.com/skylarkstep/skylarkstep/daemon/node"
	"github.com/skylarkstep/skylarkstep/daemon/target"
	enginestandin "github.com/skylarkstep/skylarkstep/engine/standin"
	"github.com/skylarkstep/skylarkstep/infra/standin"
	"github.com/skylarkstep/skylarkstep/wire"
	"github.com/skylarkstep/skylarkstep/wire/wirepb"
)

const (
	simKey       = "sim-customer"
	simCluster   = "sim-cluster-key-0123"
	simReconnect = 30 * time.Millisecond
)

// sim is a deployment of real entries and target processes that are connected
// in memory, in a synctest bubble.
type sim struct {
	t        *testing.T
	config   *config.Config
	document []byte
	kv       *standin.KV
	service  *enginestandin.Service            // of all targets
	services map[string]*enginestandin.Service // of single targets, if set
	ctx      context.Context

	mu      sync.Mutex
	rng     *rand.Rand
	targets map[string]*simTarget
	entries []*simEntry
}

// simTarget is a process that runs as one target. A restart replaces it.
type simTarget struct {
	listener *simListener
	gate     *processGate
	stop     context.CancelFunc
	done     chan struct{}
	pairs    []*wirePair
	killed   bool
}

type simEntry struct {
	entry    *Entry
	ctx      context.Context
	kill     context.CancelFunc
	sessions map[string]*wire.Session
}

func newSim(t *testing.T, seed uint64) *sim { return newSimWith(t, seed, simConfig(), nil) }

func newSimWith(t *testing.T, seed uint64, c *config.Config, services map[string]*enginestandin.Service) *sim {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	s := &sim{
		t: t, kv: standin.NewKV(), service: enginestandin.NewService(enginestandin.ServiceOptions{}), ctx: ctx,
		rng: rand.New(rand.NewPCG(seed, 1)), targets: map[string]*simTarget{}, config: c, services: services,
	}
	var err error
	s.document, err = json.Marshal(s.config)
	require.NoError(t, err)
	for _, tg := range s.config.Inventory.Targets {
		s.startTarget(tg)
	}
	for _, e := range s.config.Inventory.Entries {
		s.entries = append(s.entries, s.startEntry(e))
	}
	return s
}

func simConfig() *config.Config {
	sum := sha256.Sum256([]byte(simKey))
	c := &config.Config{Revision: 1}
	c.Inventory.Regions = []config.Region{{Name: "ebro"}}
	c.Inventory.Backends = []config.Backend{{Name: "app", Kind: config.KindService}}
	c.Inventory.Customers = []config.Customer{{Name: "taller", KeySHA256: []string{hex.EncodeToString(sum[:])}}}
	for i, dc := range []string{"burgos", "vitoria", "logrono"} {
		c.Inventory.DataCentres = append(c.Inventory.DataCentres, config.DataCentre{Name: dc, Region: "ebro"})
		c.Inventory.Targets = append(c.Inventory.Targets, config.Target{
			Name: "app-" + dc, Backend: "app", DataCentre: dc, PeerAddr: fmt.Sprintf("127.0.0.1:%d", 1+i),
		})
		if i < 2 {
			c.Inventory.Entries = append(c.Inventory.Entries, config.Entry{
				Name: "entry-" + dc, DataCentre: dc, HTTPAddr: "127.0.0.1:9", PeerAddr: "127.0.0.1:9",
			})
		}
	}
	return c
}

// intn draws from the seeded generator, which is shared between goroutines.
func (s *sim) intn(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.IntN(n)
}

func (s *sim) randomMillis(n int) time.Duration { return time.Duration(s.intn(n)) * time.Millisecond }

func (s *sim) startTarget(tg config.Target) {
	st := &config.Settings{
		Role: config.RoleTarget, Name: tg.Name, DataCentre: tg.DataCentre, ClusterKey: simCluster, StopTimeoutMs: 5000,
		Target: config.TargetSettings{Backend: tg.Backend, Kind: config.KindService},
	}
	p := &simTarget{listener: newSimListener(), gate: newProcessGate(), done: make(chan struct{})}
	service := s.service
	if own := s.services[tg.Name]; own != nil {
		service = own
	}
	t := target.New(target.Options{Settings: st, Node: node.New(st, io.Discard), Service: service.Direct()})
	ctx, stop := context.WithCancel(s.ctx)
	p.stop = stop
	go func() {
		defer close(p.done)
		_ = t.Run(ctx, p.listener)
	}()
	s.mu.Lock()
	s.targets[tg.Name] = p
	s.mu.Unlock()
}

func (s *sim) startEntry(e config.Entry) *simEntry {
	st := &config.Settings{Role: config.RoleEntry, Name: e.Name, DataCentre: e.DataCentre, ClusterKey: simCluster}
	ctx, kill := context.WithCancel(s.ctx)
	se := &simEntry{
		entry: New(Options{Settings: st, Node: node.New(st, io.Discard), KV: s.kv.Direct()}),
		ctx:   ctx, kill: kill, sessions: map[string]*wire.Session{},
	}
	s.publish(se)
	for _, tg := range s.config.Inventory.Targets {
		go s.link(se, tg)
	}
	return se
}

// link maintains a session from an entry to a target.
func (s *sim) link(se *simEntry, tg config.Target) {
	for se.ctx.Err() == nil {
		time.Sleep(simReconnect)
		s.mu.Lock()
		p := s.targets[tg.Name]
		if p.killed {
			s.mu.Unlock()
			continue
		}
		pair := newWirePair(func() time.Duration { return s.randomMillis(5) }, p.gate)
		p.pairs = append(p.pairs, pair)
		s.mu.Unlock()
		stop := context.AfterFunc(se.ctx, pair.disconnect)
		p.listener.conns <- pair.far
		session, err := wire.Client(pair.near, []byte(simCluster), se.entry.node.Hello(1))
		if err != nil {
			stop()
			continue
		}
		_ = session.Control().Send(&wirepb.Control{Body: &wirepb.Control_Deltas{
			Deltas: &wirepb.Deltas{Snapshot: s.document, SnapshotRevision: 1},
		}})
		s.setSession(se, tg.Name, session)
		for {
			var m wirepb.Control
			if session.Control().Recv(&m) != nil {
				break
			}
		}
		_ = session.Close()
		s.setSession(se, tg.Name, nil)
		stop()
	}
}

func (s *sim) setSession(se *simEntry, target string, session *wire.Session) {
	s.mu.Lock()
	if session == nil {
		delete(se.sessions, target)
	} else {
		se.sessions[target] = session
	}
	s.mu.Unlock()
	s.publish(se)
}

// publish builds the snapshot of an entry, as its control goroutine would.
func (s *sim) publish(se *simEntry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	snap := &snapshot{
		verdict: configsync.Freshness{ValidUntil: time.Now().Add(24 * time.Hour)},
		config:  s.config, customers: map[string]*config.Customer{}, pools: map[string]*pool{},
		connectedTargets: map[string]route{}, leaving: map[string]bool{},
	}
	cu := &s.config.Inventory.Customers[0]
	snap.customers[cu.KeySHA256[0]] = cu
	p := &pool{}
	var balancerTargets []balancer.Target
	for _, tg := range s.config.Inventory.Targets {
		session := se.sessions[tg.Name]
		if session == nil {
			continue
		}
		to := route{
			name: tg.Name, dataCentre: tg.DataCentre, session: session,
			incarnation: session.Peer().GetIncarnation(), outstanding: &balancer.Counter{},
		}
		snap.connectedTargets[tg.Name] = to
		p.targets = append(p.targets, to)
		balancerTargets = append(balancerTargets, balancer.Target{Name: tg.Name, DataCentre: tg.DataCentre, Own: to.outstanding})
	}
	if len(balancerTargets) > 0 {
		p.picker = se.entry.policy.Build(balancer.Snapshot{DataCentre: se.entry.node.DataCentre, Targets: balancerTargets})
		snap.pools["app"] = p
	}
	se.entry.snapshot.Store(snap)
}

// kill breaks all connections of a target process. Its operation table is lost;
// calls that its service has received continue.
func (s *sim) kill(p *simTarget) {
	s.mu.Lock()
	p.killed = true
	for _, pair := range p.pairs {
		pair.disconnect()
	}
	s.mu.Unlock()
	p.gate.resume()
	_ = p.listener.Close()
	p.stop()
}

func (s *sim) randomTarget() (config.Target, *simTarget) {
	tg := s.config.Inventory.Targets[s.intn(len(s.config.Inventory.Targets))]
	s.mu.Lock()
	defer s.mu.Unlock()
	return tg, s.targets[tg.Name]
}

// disconnectOne breaks one connection of a target process.
func (s *sim) disconnectOne(p *simTarget) {
	s.mu.Lock()
	n := len(p.pairs)
	s.mu.Unlock()
	i := s.intn(max(n, 1))
	s.mu.Lock()
	defer s.mu.Unlock()
	if i < len(p.pairs) {
		p.pairs[i].disconnect()
	}
}

func (s *sim) entryAt(i int) *simEntry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entries[i]
}

// injectFaults injects faults until ctx is cancelled, and then removes all of
// them.
func (s *sim) injectFaults(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(20*time.Millisecond + s.randomMillis(150))
		switch s.intn(9) {
		case 0, 1:
			_, p := s.randomTarget()
			s.disconnectOne(p)
		case 2, 3:
			_, p := s.randomTarget()
			p.gate.pause()
			time.AfterFunc(50*time.Millisecond+s.randomMillis(3000), p.gate.resume)
		case 4:
			tg, p := s.randomTarget()
			s.kill(p)
			time.Sleep(s.randomMillis(200))
			s.startTarget(tg)
		case 5:
			tg, p := s.randomTarget()
			p.stop()
			<-p.done
			s.kill(p)
			s.startTarget(tg)
		case 6:
			i := s.intn(len(s.entries))
			s.entryAt(i).kill()
			restarted := s.startEntry(s.config.Inventory.Entries[i])
			s.mu.Lock()
			s.entries[i] = restarted
			s.mu.Unlock()
		case 7:
			s.storeFault()
		case 8:
			s.service.SetFaults(enginestandin.ServiceFaults{
				Latency: s.randomMillis(50), StallBefore: s.randomMillis(100), StallAfter: s.randomMillis(1500) * time.Duration(s.intn(2)),
				DropResponse: s.intn(4) == 0, Unreachable: s.intn(6) == 0, Refuse: s.intn(6) == 0,
			})
		}
	}
	s.service.SetFaults(enginestandin.ServiceFaults{})
	s.kv.SetRefuse(false)
	s.kv.SetStall(false)
	for _, p := range s.targets {
		p.gate.resume()
	}
}

func (s *sim) storeFault() {
	switch s.intn(3) {
	case 0:
		s.kv.DropReplies(1 + s.intn(3))
	case 1:
		s.kv.SetRefuse(true)
		time.AfterFunc(s.randomMillis(800), func() { s.kv.SetRefuse(false) })
	default:
		s.kv.SetStall(true)
		time.AfterFunc(s.randomMillis(800), func() { s.kv.SetStall(false) })
	}
}
