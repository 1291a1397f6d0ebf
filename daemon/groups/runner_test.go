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
	"github.com/skylarkstep/skylarkstep/expertmap"
	"github.com/skylarkstep/skylarkstep/wire/wirepb"
)

const stepTime = 71 * time.Millisecond

// fakeLease is a lease that the test grants and revokes. A lease that is not
// revoked stays valid for its holder, as for a paused process.
type fakeLease struct {
	mu     sync.Mutex
	number uint64
}

func (f *fakeLease) Token() (uint64, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.number, f.number > 0
}

func (f *fakeLease) set(n uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.number = n
}

// fixture is a rank group behind two target processes.
type fixture struct {
	t             *testing.T
	ctx           context.Context
	config        *config.Config
	group         *standin.Group
	checksFencing bool
	wait          sync.WaitGroup

	mu      sync.Mutex
	targets map[string]*target.Target
	fail    func() bool
}

func newFixture(t *testing.T, ctx context.Context, checksFencing bool) *fixture {
	c := &config.Config{}
	c.Inventory.Groups = []config.Group{{Name: "g1", DataCentre: "gent-a", Ranks: 4, Experts: 8, Layers: 2, SlotsPerRank: 3}}
	f := &fixture{
		t: t, ctx: ctx, config: c, checksFencing: checksFencing, targets: map[string]*target.Target{}, fail: func() bool { return false },
		group: standin.NewGroup(standin.GroupOptions{Ranks: 4, CheckFencing: checksFencing, LoadSteps: 5}),
	}
	for i := range 2 {
		name := fmt.Sprintf("lm-%d", i)
		c.Inventory.Targets = append(c.Inventory.Targets, config.Target{Name: name, Group: "g1", DataCentre: "gent-a"})
		f.startTarget(name)
	}
	return f
}

// startTarget starts a target process, or restarts it with a new incarnation and
// empty state.
func (f *fixture) startTarget(name string) {
	s := &config.Settings{
		Role: config.RoleTarget, Name: name, DataCentre: "gent-a", LogLevel: "error",
		Target: config.TargetSettings{Backend: "lm", Kind: config.KindModel, Group: "g1", ChecksFencing: f.checksFencing},
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.targets[name] = target.New(target.Options{Settings: s, Node: node.New(s, io.Discard), Group: f.group})
}

// send delivers an order to a target process. When f.fail returns true, it loses
// the result or delays the order beyond the sender's timeout.
func (f *fixture) send(ctx context.Context, name string, o *wirepb.Order) (*wirepb.OrderResult, error) {
	f.mu.Lock()
	p, lost, late := f.targets[name], f.fail(), f.fail()
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

// setFrozen activates a configuration in which the group is frozen or not.
func (f *fixture) setFrozen(frozen bool) {
	c := *f.config
	c.Rules.FrozenGroups = nil
	if frozen {
		c.Rules.FrozenGroups = []string{"g1"}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.config = &c
}

// startRunner starts a runner that uses the given lease.
func (f *fixture) startRunner(lease Lease) *Runner {
	r := f.newRunner(lease)
	f.wait.Go(func() { r.Run(f.ctx) })
	return r
}

func (f *fixture) newRunner(lease Lease) *Runner {
	return New(Options{
		DataCentre: "gent-a", Lease: lease, LeadSteps: 40, AuditInterval: 3 * time.Second, SendOrder: f.send,
		Config: func() *config.Config {
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.config
		},
	})
}

func (f *fixture) mapVersion() uint64 {
	p, err := f.group.Progress(f.ctx)
	require.NoError(f.t, err)
	return p.MapVersion
}

// runInBubble runs a test in virtual time and waits for all its goroutines.
func runInBubble(t *testing.T, checkFencing bool, test func(f *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := newFixture(t, ctx, checkFencing)
		f.wait.Go(func() { f.group.Run(ctx, stepTime) })
		test(f)
		cancel()
		f.wait.Wait()
	})
}

// Guards against a mismatch between coordinator, messages, target process and
// ranks: a newly started group must form and switch, and a frozen one must keep
// its map.
func TestSwitchEndToEnd(t *testing.T) {
	for _, checksFencing := range []bool{true, false} {
		runInBubble(t, checksFencing, func(f *fixture) {
			lease := &fakeLease{number: 7}
			r := f.startRunner(lease)
			time.Sleep(5*time.Second + tickInterval/2)
			require.Equal(f.t, uint64(1), f.mapVersion(), "a newly started group must use the base map")
			f.setFrozen(true)
			r.SetDesiredMap("g1", 99)
			time.Sleep(10 * time.Second)
			require.Equal(f.t, uint64(1), f.mapVersion(), "a frozen group must keep its map")
			f.setFrozen(false)
			time.Sleep(10 * time.Second)
			require.Equal(f.t, uint64(2), f.mapVersion())
			_, id := r.Phase("g1")
			require.Equal(f.t, uint64(99), id.Digest)
			lease.set(0)
			r.SetDesiredMap("g1", 100)
			time.Sleep(10 * time.Second)
			require.Equal(f.t, uint64(2), f.mapVersion(), "no order may be sent without the lease")
			require.Zero(f.t, f.group.Disagreements())
			require.Greater(f.t, f.group.Steps(), 200)
		})
	}
}

// Guards against ranks that disagree about the map when several faults overlap,
// and against a group that does not recover after them.
func TestFaultsEndToEnd(t *testing.T) {
	for seed := range uint64(6) {
		checksFencing := seed%2 == 0
		runInBubble(t, checksFencing, func(f *fixture) {
			rng := rand.New(rand.NewPCG(seed, 1))
			losses := rand.New(rand.NewPCG(seed, 2))
			old, next := &fakeLease{number: 1}, &fakeLease{}
			f.fail = func() bool { return losses.IntN(20) == 0 }
			runners := []*Runner{f.startRunner(old), f.startRunner(next)}
			for i := range 60 {
				time.Sleep(time.Duration(rng.IntN(2000)) * time.Millisecond)
				runners[i%2].SetDesiredMap("g1", uint64(100+i/3))
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
					f.startTarget(fmt.Sprintf("lm-%d", rank%2))
				case 4: // a successor takes over; the old holder's lease still looks valid to it
					old, next = next, old
					n, _ := next.Token()
					m, _ := old.Token()
					old.set(max(n, m) + 1)
				}
			}
			f.mu.Lock()
			f.fail = func() bool { return false }
			f.mu.Unlock()
			for k := range 4 {
				f.group.Stall(k, false)
			}
			old.set(1000)
			next.set(0)
			time.Sleep(20 * time.Second)
			before := f.group.Steps()
			runners[0].SetDesiredMap("g1", 5000)
			runners[1].SetDesiredMap("g1", 5000)
			time.Sleep(30 * time.Second)
			require.Zero(f.t, f.group.Disagreements(), "seed %d", seed)
			require.Greater(f.t, f.group.Steps(), before+200, "seed %d: the group must recover", seed)
			var digests []uint64
			for _, r := range runners {
				_, id := r.Phase("g1")
				digests = append(digests, id.Digest)
			}
			require.Contains(f.t, digests, uint64(5000), "seed %d", seed)
		})
	}
}

// Guards against a group that stands still until another entry has the lease,
// because its coordinator stops in the middle of a switch or of a start.
func TestStoppingRunnerFinishesSwitch(t *testing.T) {
	unfinished := []expertmap.CoordinatorPhase{expertmap.Preparing, expertmap.Committing, expertmap.Aborting, expertmap.Halting, expertmap.Starting}
	stoppedIn := map[expertmap.CoordinatorPhase]int{}
	for delay := range 60 {
		runInBubble(t, true, func(f *fixture) {
			slow := func(ctx context.Context, name string, o *wirepb.Order) (*wirepb.OrderResult, error) {
				select {
				case <-time.After(20 * time.Millisecond):
				case <-ctx.Done():
					return nil, ctx.Err()
				}
				return f.send(ctx, name, o)
			}
			r := f.newRunner(&fakeLease{number: 7})
			r.opts.SendOrder = slow
			ctx, stop := context.WithCancel(f.ctx)
			ended := make(chan struct{})
			go func() {
				r.Run(ctx)
				close(ended)
			}()
			if delay >= 20 { // the first ones are stops while the group starts
				time.Sleep(5 * time.Second)
				r.SetDesiredMap("g1", 99)
			}
			time.Sleep(time.Duration(delay) * 11 * time.Millisecond)
			phase, _ := r.Phase("g1")
			stoppedIn[phase]++
			stop()
			<-ended
			phase, _ = r.Phase("g1")
			require.NotContains(f.t, unfinished, phase, "stop after %d", delay)
		})
	}
	for _, phase := range []expertmap.CoordinatorPhase{expertmap.Preparing, expertmap.Starting} {
		require.Positive(t, stoppedIn[phase], "no stop in phase %v: %v", phase, stoppedIn)
	}
}
