package ranks

import (
	"context"
	"log/slog"
	"sync"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/expertmap/switchover"
)

// scriptedRank replies to the orders that it gets with the next outcomes of a
// list, one after another. It confirms further orders.
type scriptedRank struct {
	Engine
	mu       sync.Mutex
	outcomes []Outcome
	replied  []chan struct{}
	sent     int
}

func newScriptedRank(outcomes ...Outcome) *scriptedRank {
	r := &scriptedRank{outcomes: outcomes, replied: make([]chan struct{}, len(outcomes)+1)}
	for i := range r.replied {
		r.replied[i] = make(chan struct{})
	}
	close(r.replied[0])
	return r
}

func (r *scriptedRank) Order(context.Context, string, switchover.Order, uint64) (Outcome, error) {
	r.mu.Lock()
	i := r.sent
	r.sent++
	r.mu.Unlock()
	if i >= len(r.outcomes) {
		return Done, nil
	}
	<-r.replied[i]
	defer close(r.replied[i+1])
	if r.outcomes[i] == NoReply {
		return NoReply, errors.New("no answer")
	}
	return r.outcomes[i], nil
}

// Guards against a coordinator that does not notice that it is superseded
// because the fenced copy of an order is followed by one without a reply, and
// against a refused duplicate of an order that the rank has carried out.
func TestRepliesToDuplicates(t *testing.T) {
	for _, c := range []struct {
		outcomes []Outcome
		want     Outcome
	}{
		{[]Outcome{Fenced, NoReply, NoReply}, Fenced},
		{[]Outcome{NoReply, Fenced, Refused}, Fenced},
		{[]Outcome{Fenced, Refused, Refused}, Fenced},
		{[]Outcome{NoReply, Refused, Refused}, NoReply},
		{[]Outcome{Refused, Refused, NoReply}, NoReply},
		{[]Outcome{Refused, Refused, Refused}, Refused},
		{[]Outcome{NoReply, Refused, Done}, Done},
		{[]Outcome{Fenced, NoReply, Done}, Done},
	} {
		// The order in which the replies are received is random.
		for range 50 {
			got, _ := sendToRank(t.Context(), newScriptedRank(c.outcomes...), "rank-0", switchover.Order{}, 7, len(c.outcomes))
			require.Equal(t, outcomeNames[c.want], outcomeNames[got], "%v", c.outcomes)
		}
	}
}

// copyingGroup is a group whose ranks take the whole test to copy experts, so
// that they never report a map as prepared. It loses the reply to the first
// prepare order that a rank carries out.
type copyingGroup struct {
	*fakeGroup
	lost, refused int
}

func (g *copyingGroup) Order(ctx context.Context, addr string, o switchover.Order, fencing uint64) (Outcome, error) {
	outcome, err := g.fakeGroup.Order(ctx, addr, o, fencing)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.states[rankOf(addr)].PreparedVersion = 0
	if outcome == Refused {
		g.refused++
	}
	if outcome == Done && o.Operation == switchover.Prepare && g.lost == 0 {
		g.lost++
		return NoReply, errors.New("reply lost")
	}
	return outcome, err
}

// Guards against a plan that is dropped because a rank refuses the second
// prepare order of a version whose first one it carries out, and against a plan
// that is kept although a rank refuses it for good.
func TestRefusedRepeatOfPrepareKeepsPlan(t *testing.T) {
	g := &copyingGroup{fakeGroup: newFakeGroup(0)}
	l := directLinks(g.fakeGroup)
	l.engine = g
	coord := newCoordinator(slog.New(slog.DiscardHandler), l, testShape())
	coord.token, coord.fencing, coord.history = fixedToken(7), 7, switchover.NewHistory(claimVersion(7))
	coord.plan = switchover.Plan{Version: 7, Map: g.maps[0]}
	coord.currentMap, coord.mapKnown = g.maps[0], true
	for range 3 {
		coord.runRound(t.Context())
	}
	g.mu.Lock()
	require.Equal(t, 1, g.lost)
	require.Positive(t, g.refused, "the order must be repeated")
	g.mu.Unlock()
	require.EqualValues(t, 7, coord.plan.Version, "the rank that refused the repeat is copying the experts")

	for rank, p := range coord.lastPrepare {
		p.at = p.at.Add(-prepareRetryInterval)
		coord.lastPrepare[rank] = p
	}
	coord.runRound(t.Context())
	require.Zero(t, coord.plan.Version, "no rank has prepared the map in time and all refuse it")
}
