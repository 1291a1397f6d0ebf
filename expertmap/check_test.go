package expertmap

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against ranks that use different maps in one step, under any
// interleaving of lost, duplicated and late messages and of pauses and exits of
// two coordinators.
func TestAllInterleavings(t *testing.T) {
	for _, c := range []struct {
		name   string
		ranks  int
		budget budget
	}{
		{"two ranks", 2, budget{changes: 1}},
		{"two ranks, a reply arrives late", 2, budget{changes: 1, late: 1}},
		{"three ranks", 3, budget{changes: 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			states, complete, err := explore(newModelState(c.ranks, c.budget), allSafeguards, 1_000_000, nil)
			t.Logf("%d states", states)
			require.NoError(t, err)
			require.True(t, complete)
		})
	}
}

// Guards against a rank, its fencing guard (the "gate" of the cases) or both
// that crash and forget a confirmation. The limit bounds the run time; the
// search is breadth first.
func TestCrashInterleavings(t *testing.T) {
	for kind, name := range []string{"rank", "gate", "rank and gate"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := budget{crashes: 1, changes: 1, kind: crashKind(kind)}
			states, complete, err := explore(newModelState(2, b), allSafeguards, 130_000, nil)
			t.Logf("%d states, complete: %v", states, complete)
			require.NoError(t, err)
		})
	}
}

// Guards against a checker that finds no violations. Without the confirmation,
// the fencing check, or the wait until all ranks have left the old generation,
// it must find ranks that use different maps.
func TestCheckerFindsMissingGuard(t *testing.T) {
	for _, c := range []struct {
		name       string
		safeguards safeguards
		budget     budget
	}{
		{"confirmation", safeguards{fencing: true, incarnation: true, halt: true}, budget{changes: 1}},
		{"fence", safeguards{confirmation: true, incarnation: true, halt: true}, budget{changes: 1}},
		{"halt", safeguards{confirmation: true, fencing: true, incarnation: true}, budget{changes: 1, crashes: 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			states, _, err := explore(newModelState(2, c.budget), c.safeguards, 250_000, nil)
			t.Logf("%d states: %v", states, err)
			require.Error(t, err)
		})
	}
}

// runUntilIdle runs a coordinator without further faults until it is idle and
// all ranks have loaded their maps.
func runUntilIdle(t *testing.T, w *modelState, c int) {
	for range 100 {
		for _, m := range w.coords[c].Resend() {
			w.ownCoordinator(c).Handle(w.deliver(m, allSafeguards))
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

// runToLastStep lets all ranks enter steps up to the last step of the model.
func runToLastStep(t *testing.T, w *modelState) {
	for {
		entered, stepsLeft := false, false
		for i := range w.nodes {
			if w.mayEnter(i) {
				require.NoError(t, w.enter(i))
				entered = true
			}
			stepsLeft = stepsLeft || w.nodes[i].rank.status.Step < w.lastStep
		}
		if !stepsLeft {
			return
		}
		require.True(t, entered, "no rank may enter a step")
	}
}

// Guards against a state from which a group can't switch maps any more.
func TestProgressFromEveryState(t *testing.T) {
	visited := 0
	check := func(_ *explorer, w *modelState) {
		n := w.clone()
		n.coords = append(n.coords[:2:2], *NewCoordinator(3, len(n.nodes), oldMap))
		runUntilIdle(t, n, 2)
		runToLastStep(t, n)
		step := n.nodes[0].rank.status.Step
		n.lastStep = step + 2
		n.ownCoordinator(2).Propose(33, step+1)
		runUntilIdle(t, n, 2)
		runToLastStep(t, n)
		want := n.coords[2].currentSwitch.Map
		for _, r := range n.nodes {
			require.Equal(t, want, r.rank.status.Map)
		}
		visited++
	}
	_, complete, err := explore(newModelState(2, budget{changes: 1}), allSafeguards, 100_000, check)
	require.NoError(t, err)
	require.True(t, complete)
	t.Logf("a switch completes from each of %d states", visited)
}

// randomWalk applies random events to many ranks and a growing number of
// coordinators.
type randomWalk struct {
	*modelState
	rng     *rand.Rand
	network []Message
}

func (k *randomWalk) send(messages []Message) { k.network = append(k.network, messages...) }

func (k *randomWalk) randomEvent() error {
	i := k.rng.IntN(len(k.nodes))
	r := &k.nodes[i].rank
	c := len(k.coords) - 1 - k.rng.IntN(min(3, len(k.coords)))
	switch p := k.rng.IntN(10_000); {
	case p < 6000:
		if len(k.network) > 0 {
			k.transferMessage()
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
		k.send(k.ownCoordinator(c).AbortSwitch())
	case p < 9906:
		k.send(k.ownCoordinator(c).Requery())
	case p < 9930:
		k.send(k.ownCoordinator(c).Propose(uint64(p), r.status.Step+uint64(k.rng.IntN(60))))
	default:
		k.send(k.ownCoordinator(c).Resend())
	}
	return nil
}

// transferMessage delivers, loses or duplicates a random message.
func (k *randomWalk) transferMessage() {
	at := k.rng.IntN(len(k.network))
	m := k.network[at]
	if k.rng.IntN(10) > 0 {
		k.network[at] = k.network[len(k.network)-1]
		k.network = k.network[:len(k.network)-1]
	}
	if k.rng.IntN(20) == 0 {
		return
	}
	if m.Kind != Report && m.Kind != Refused {
		sender := m.Fencing
		a := k.deliver(m, allSafeguards)
		a.Generation.Number = sender // replies do not use Generation, so it carries the sender
		k.send([]Message{a})
		return
	}
	k.send(k.ownCoordinator(int(m.Generation.Number) - 1).Handle(m))
}

// Guards against violations that need more ranks, steps and coordinators than
// the exhaustive search covers.
func TestRandomInterleavings(t *testing.T) {
	var highestVersion, coordinators uint64
	for seed := range uint64(8) {
		w := newModelState(64, budget{})
		w.lastStep = 1 << 40
		k := &randomWalk{modelState: w, rng: rand.New(rand.NewPCG(seed, 9))}
		for range 60_000 {
			require.NoError(t, k.randomEvent(), "seed %d", seed)
		}
		k.coords = append(k.coords, *NewCoordinator(uint64(len(k.coords)+1), 64, oldMap))
		runUntilIdle(t, k.modelState, len(k.coords)-1)
		s := w.nodes[0].rank.status
		w.lastStep = s.Step + 2
		runToLastStep(t, k.modelState)
		highestVersion, coordinators = max(highestVersion, w.nodes[0].rank.status.Map.Version), coordinators+uint64(len(k.coords))
	}
	t.Logf("%d coordinators in 8 walks, highest map version %d", coordinators, highestVersion)
	require.Greater(t, highestVersion, oldMap.Version, "no walk switched a map")
}
