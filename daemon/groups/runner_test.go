package groups

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/config"
	"github.com/skylarkstep/skylarkstep/daemon/node"
	"github.com/skylarkstep/skylarkstep/daemon/target"
	"github.com/skylarkstep/skylarkstep/engine/standin"
	"github.com/skylarkstep/skylarkstep/wire/wirepb"
)

const stepTime = 71 * time.Millisecond

// fence is a lease that tests hand out and take away. A paused holder still
// believes that it is valid.
type fence struct {
	mu     sync.Mutex
	number uint64
}

func (f *fence) Token() (uint64, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.number, f.number > 0
}

func (f *fence) set(n uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.number = n
}

// fixture is a rank group behind two target processes.
type fixture struct {
	t       *testing.T
	ctx     context.Context
	config  *config.Config
	group   *standin.Group
	checked bool
	wait    sync.WaitGroup

	mu      sync.Mutex
	targets map[string]*target.Target
	lose    func() bool
}

func newFixture(t *testing.T, ctx context.Context, checked bool) *fixture {
	c := &config.Config{}
	c.Inventory.Groups = []config.Group{{Name: "g1", DataCentre: "gent-a", Ranks: 4, Experts: 8, Layers: 2, SlotsPerRank: 3}}
	f := &fixture{
		t: t, ctx: ctx, config: c, checked: checked, targets: map[string]*target.Target{}, lose: func() bool { return false },
		group: standin.NewGroup(standin.GroupOptions{Ranks: 4, CheckFencing: checked, LoadSteps: 5}),
	}
	for i := range 2 {
		name := fmt.Sprintf("lm-%d", i)
		c.Inventory.Targets = append(c.Inventory.Targets, config.Target{Name: name, Group: "g1", DataCentre: "gent-a"})
		f.start(name)
	}
	return f
}

// start starts a target process, or restarts it with a new incarnation and an
// empty memory.
func (f *fixture) start(name string) {
	s := &config.Settings{
		Role: config.RoleTarget, Name: name, DataCentre: "gent-a", LogLevel: "error",
		Target: config.TargetSettings{Backend: "lm", Kind: config.KindModel, Group: "g1", ChecksFencing: f.checked},
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.targets[name] = target.New(target.Options{Settings: s, Node: node.New(s, io.Discard), Group: f.group})
}

// send loses results, and delays orders beyond the sender's patience, while
// f.lose says so.
func (f *fixture) send(ctx context.Context, name string, o *wirepb.Order) (*wirepb.OrderResult, error) {
	f.mu.Lock()
	p, lost, late := f.targets[name], f.lose(), f.lose()
	f.mu.Unlock()
	done := make(chan *wirepb.OrderResult, 1)
	f.wait.Go(func() {
		if late {
			time.Sleep(3 * time.Second)
		}
		done <- p.HandleSwitch(o)
	})
	select {
	case r := <-done:
		if lost {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return r, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// freeze puts a configuration in force in which the group is frozen, or not.
func (f *fixture) freeze(frozen bool) {
	c := *f.config
	c.Rules.FrozenGroups = nil
	if frozen {
		c.Rules.FrozenGroups = []string{"g1"}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.config = &c
}

// runner starts a coordinator.
func (f *fixture) runner(fc Fence) *Runner {
	r := New(Options{
		DataCentre: "gent-a", Fence: fc, Lead: 40, Audit: 3 * time.Second, Send: f.send,
		Config: func() *config.Config {
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.config
		},
	})
	f.wait.Go(func() { r.Run(f.ctx) })
	return r
}

func (f *fixture) version() uint64 {
	p, err := f.group.Progress(f.ctx)
	require.NoError(f.t, err)
	return p.MapVersion
}

// within runs a test in a bubble of virtual time and waits for its end.
func within(t *testing.T, checkFencing bool, test func(f *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := newFixture(t, ctx, checkFencing)
		f.wait.Go(func() { f.group.Run(ctx, stepTime) })
		test(f)
		cancel()
		f.wait.Wait()
	})
}

// Guards against a break between coordinator, wire, target process and ranks:
// a cold group forms, switches, and a frozen one keeps its map.
func TestSwitchEndToEnd(t *testing.T) {
	for _, checked := range []bool{true, false} {
		within(t, checked, func(f *fixture) {
			fc := &fence{number: 7}
			r := f.runner(fc)
			time.Sleep(5*time.Second + tickInterval/2)
			require.Equal(f.t, uint64(1), f.version(), "the cold group forms on the base map")
			f.freeze(true)
			r.Want("g1", 99)
			time.Sleep(10 * time.Second)
			require.Equal(f.t, uint64(1), f.version(), "a frozen group keeps its map")
			f.freeze(false)
			time.Sleep(10 * time.Second)
			require.Equal(f.t, uint64(2), f.version())
			_, id := r.Phase("g1")
			require.Equal(f.t, uint64(99), id.Digest)
			fc.set(0)
			r.Want("g1", 100)
			time.Sleep(10 * time.Second)
			require.Equal(f.t, uint64(2), f.version(), "no order without the lease")
			require.Zero(f.t, f.group.Disagreements())
			require.Greater(f.t, f.group.Steps(), 200)
		})
	}
}

// Guards against ranks that disagree when faults meet on the joined path, and
// against a group that does not run again after them.
func TestFaultsEndToEnd(t *testing.T) {
	for seed := range uint64(6) {
		checked := seed%2 == 0
		within(t, checked, func(f *fixture) {
			rng := rand.New(rand.NewPCG(seed, 1))
			losses := rand.New(rand.NewPCG(seed, 2))
			old, next := &fence{number: 1}, &fence{}
			f.lose = func() bool { return losses.IntN(20) == 0 }
			runners := []*Runner{f.runner(old), f.runner(next)}
			for i := range 60 {
				time.Sleep(time.Duration(rng.IntN(2000)) * time.Millisecond)
				runners[i%2].Want("g1", uint64(100+i/3))
				switch rank := rng.IntN(4); rng.IntN(6) {
				case 0:
					f.group.Stall(rank, true)
				case 1:
					for k := range 4 {
						f.group.Stall(k, false)
					}
				case 2:
					f.group.Restart(rank)
				case 3:
					f.start(fmt.Sprintf("lm-%d", rank%2))
				case 4: // a successor takes over; the old holder still believes in its lease
					old, next = next, old
					n, _ := next.Token()
					m, _ := old.Token()
					old.set(max(n, m) + 1)
				}
			}
			f.mu.Lock()
			f.lose = func() bool { return false }
			f.mu.Unlock()
			for k := range 4 {
				f.group.Stall(k, false)
			}
			old.set(1000)
			next.set(0)
			time.Sleep(20 * time.Second)
			before := f.group.Steps()
			runners[0].Want("g1", 5000)
			runners[1].Want("g1", 5000)
			time.Sleep(30 * time.Second)
			require.Zero(f.t, f.group.Disagreements(), "seed %d", seed)
			require.Greater(f.t, f.group.Steps(), before+200, "seed %d: the group runs again", seed)
			var digests []uint64
			for _, r := range runners {
				_, id := r.Phase("g1")
				digests = append(digests, id.Digest)
			}
			require.Contains(f.t, digests, uint64(5000), "seed %d", seed)
		})
	}
}
