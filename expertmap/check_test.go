package expertmap

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against any interleaving of loss, duplication, delay, pauses and
// deaths of two coordinators in which ranks use different maps in one step.
func TestAllInterleavings(t *testing.T) {
	for _, c := range []struct {
		name   string
		ranks  int
		budget budget
	}{
		{"two ranks", 2, budget{changes: 1}},
		{"two ranks, an answer arrives late", 2, budget{changes: 1, late: 1}},
		{"three ranks", 3, budget{changes: 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			states, complete, err := explore(newWorld(c.ranks, c.budget), allGuards, 1_000_000, nil)
			t.Logf("%d states", states)
			require.NoError(t, err)
			require.True(t, complete)
		})
	}
}

// Guards against a crash of a rank, of its gate, or of both, after which a
// promise is forgotten. The limit bounds the time; the search is breadth first.
func TestCrashInterleavings(t *testing.T) {
	for kind, name := range []string{"rank", "gate", "rank and gate"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := budget{crashes: 1, changes: 1, kind: crashKind(kind)}
			states, complete, err := explore(newWorld(2, b), allGuards, 130_000, nil)
			t.Logf("%d states, complete: %v", states, complete)
			require.NoError(t, err)
		})
	}
}

// Guards against a checker that finds nothing: without the confirmation,
// the fence, or the wait until all ranks have left the old generation, it must
// find ranks that disagree.
func TestCheckerFindsMissingGuard(t *testing.T) {
	for _, c := range []struct {
		name   string
		guards guards
		budget budget
	}{
		{"confirmation", guards{fence: true, incarnation: true, halt: true}, budget{changes: 1}},
		{"fence", guards{confirmation: true, incarnation: true, halt: true}, budget{changes: 1}},
		{"halt", guards{confirmation: true, fence: true, incarnation: true}, budget{changes: 1, crashes: 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			states, _, err := explore(newWorld(2, c.budget), c.guards, 250_000, nil)
			t.Logf("%d states: %v", states, err)
			require.Error(t, err)
		})
	}
}

// settle runs a coordinator without further faults until it is idle and all
// ranks have loaded what they want.
func settle(t *testing.T, w *world, c int) {
	for range 100 {
		for _, m := range w.coords[c].Resend() {
			w.coord(c).Handle(w.deliver(m, allGuards))
		}
		for i := range w.nodes {
			if id, ok := w.nodes[i].rank.MapToLoad(); ok {
				w.nodes[i].rank.MapLoaded(id)
			}
		}
		if w.coords[c].phase == Idle {
			return
		}
	}
	require.Fail(t, "no progress", "coordinator is %v", w.coords[c].phase)
}

// proceed lets all ranks enter as many steps as the world has left.
func proceed(t *testing.T, w *world) {
	for {
		entered, left := false, false
		for i := range w.nodes {
			if w.mayEnter(i) {
				require.NoError(t, w.enter(i))
				entered = true
			}
			left = left || w.nodes[i].rank.status.Step < w.last
		}
		if !left {
			return
		}
		require.True(t, entered, "no rank may enter a step")
	}
}

// Guards against a state from which a group can never run again.
func TestProgressFromEveryState(t *testing.T) {
	visited := 0
	check := func(_ *explorer, w *world) {
		n := w.clone()
		n.coords = append(n.coords[:2:2], *NewCoordinator(3, len(n.nodes), oldMap))
		settle(t, n, 2)
		proceed(t, n)
		step := n.nodes[0].rank.status.Step
		n.last = step + 2
		n.coord(2).Propose(33, step+1)
		settle(t, n, 2)
		proceed(t, n)
		want := n.coords[2].change.Map
		for _, r := range n.nodes {
			require.Equal(t, want, r.rank.status.Map)
		}
		visited++
	}
	_, complete, err := explore(newWorld(2, budget{changes: 1}), allGuards, 100_000, check)
	require.NoError(t, err)
	require.True(t, complete)
	t.Logf("a switch completes from each of %d states", visited)
}

// walk runs random events over many ranks and ever new coordinators.
type walk struct {
	*world
	rng *rand.Rand
	net []Message
}

func (k *walk) post(messages []Message) { k.net = append(k.net, messages...) }

func (k *walk) event() error {
	i := k.rng.IntN(len(k.nodes))
	r := &k.nodes[i].rank
	c := len(k.coords) - 1 - k.rng.IntN(min(3, len(k.coords)))
	switch p := k.rng.IntN(10_000); {
	case p < 6000:
		if len(k.net) > 0 {
			k.transfer()
		}
	case p < 8000:
		if id, ok := r.MapToLoad(); ok {
			r.MapLoaded(id)
		}
	case p < 9900:
		if k.mayEnter(i) {
			return k.enter(i)
		}
	case p < 9902:
		k.budget.kind = crashKind(k.rng.IntN(3))
		k.crash(i)
	case p < 9903:
		k.coords = append(k.coords, *NewCoordinator(uint64(len(k.coords)+1), len(k.nodes), oldMap))
	case p < 9905:
		k.post(k.coord(c).AbortSwitch())
	case p < 9906:
		k.post(k.coord(c).Requery())
	case p < 9930:
		k.post(k.coord(c).Propose(uint64(p), r.status.Step+uint64(k.rng.IntN(60))))
	default:
		k.post(k.coord(c).Resend())
	}
	return nil
}

// transfer delivers, loses or duplicates a random message.
func (k *walk) transfer() {
	at := k.rng.IntN(len(k.net))
	m := k.net[at]
	if k.rng.IntN(10) > 0 {
		k.net[at] = k.net[len(k.net)-1]
		k.net = k.net[:len(k.net)-1]
	}
	if k.rng.IntN(20) == 0 {
		return
	}
	if m.Kind != Report && m.Kind != Refused {
		sender := m.Fencing
		a := k.deliver(m, allGuards)
		a.Generation.Number = sender // answers leave Generation unused
		k.post([]Message{a})
		return
	}
	k.post(k.coord(int(m.Generation.Number) - 1).Handle(m))
}

// Guards against faults that need more ranks, steps and coordinators than the
// exhaustive exploration has.
func TestRandomInterleavings(t *testing.T) {
	var switched, fences uint64
	for seed := range uint64(8) {
		w := newWorld(64, budget{})
		w.last = 1 << 40
		k := &walk{world: w, rng: rand.New(rand.NewPCG(seed, 9))}
		for range 60_000 {
			require.NoError(t, k.event(), "seed %d", seed)
		}
		k.coords = append(k.coords, *NewCoordinator(uint64(len(k.coords)+1), 64, oldMap))
		settle(t, k.world, len(k.coords)-1)
		s := w.nodes[0].rank.status
		w.last = s.Step + 2
		proceed(t, k.world)
		switched, fences = max(switched, w.nodes[0].rank.status.Map.Version), fences+uint64(len(k.coords))
	}
	t.Logf("%d coordinators in 8 walks, highest map version %d", fences, switched)
	require.Greater(t, switched, oldMap.Version, "no walk switched a map")
}
