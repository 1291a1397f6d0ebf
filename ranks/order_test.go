package ranks

import (
	"context"
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
