package configsync

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// simEntry is one entry in a plain event loop. Messages take one step.
type simEntry struct {
	name      string
	replica   *Replica
	confirmed time.Time
	reaches   bool
	peers     map[string]PeerStatus
	up        bool
	since     time.Time
}

// outage is a fleet whose key-value service goes down.
type outage struct {
	t       *testing.T
	now     time.Time
	entries []*simEntry
	names   []string
	line    *line
	head    int // revision at the store
	storeUp bool
	random  *rand.Rand
}

const simStep = 250 * time.Millisecond

func newOutage(t *testing.T, n int) *outage {
	o := &outage{t: t, now: time.Unix(1000, 0), line: newLine(t, 2), head: 1, storeUp: true, random: rand.New(rand.NewPCG(7, 11))}
	for i := range n {
		o.names = append(o.names, fmt.Sprintf("entry-%d", i))
		o.entries = append(o.entries, &simEntry{name: o.names[i]})
		o.start(i)
	}
	return o
}

// start starts an entry with empty memory.
func (o *outage) start(i int) {
	*o.entries[i] = simEntry{name: o.names[i], replica: &Replica{}, peers: map[string]PeerStatus{}, up: true, since: o.now}
}

func (o *outage) judge(e *simEntry) Freshness {
	v := FreshnessInput{Self: e.name, Revision: e.replica.Revision(), ConfirmedAt: e.confirmed, StoreReachable: e.reaches, Entries: o.names}
	for _, p := range e.peers {
		v.Peers = append(v.Peers, p)
	}
	return EvaluateFreshness(v, o.now)
}

// step lets time pass: each entry polls the store and hears every other one.
func (o *outage) step() {
	o.now = o.now.Add(simStep)
	for _, e := range o.entries {
		if !e.up {
			continue
		}
		if e.reaches = o.storeUp; e.reaches {
			_, err := e.replica.ApplySnapshot(uint64(o.head), o.line.trees[o.head-1])
			require.NoError(o.t, err)
			e.confirmed = o.now
		}
	}
	for _, from := range o.entries {
		for _, to := range o.entries {
			if from != to && from.up && to.up && from.replica.Revision() > 0 {
				o.deliver(from, to)
			}
		}
	}
}

// deliver is a heartbeat, and the pull that follows when the receiver is behind.
func (o *outage) deliver(from, to *simEntry) {
	before := to.replica.Revision()
	switch {
	case before == 0:
		_, err := to.replica.AddOffer(from.name, len(o.names)-1, from.replica.Revision(), from.replica.Tree())
		require.NoError(o.t, err)
	case from.replica.Revision() > before:
		if list, ok := from.replica.DeltasSince(before); ok {
			_, _, err := to.replica.ApplyDeltas(list)
			require.NoError(o.t, err)
		} else {
			_, err := to.replica.ApplySnapshot(from.replica.Revision(), from.replica.Tree())
			require.NoError(o.t, err)
		}
	}
	require.GreaterOrEqual(o.t, to.replica.Revision(), before, "revision fell")
	to.peers[from.name] = PeerStatus{
		Name: from.name, LastHeartbeat: o.now, Revision: from.replica.Revision(), Staleness: o.judge(from).Staleness, StoreReachable: from.reaches,
	}
}

// serving reports whether an entry takes new work.
func (o *outage) serving(e *simEntry) bool {
	return e.up && e.replica.Revision() > 0 && o.judge(e).MayServe("")
}

// Guards, over an hour without the key-value service, against an entry that
// serves with a revision from before the last change, against entries that
// refuse work although a majority is up, and against restarted entries that
// stay without the configuration. The entry that accepted the change dies when
// it has told one other.
func TestHourWithoutStoreWithRestarts(t *testing.T) {
	o := newOutage(t, 7)
	for range 8 {
		o.step()
	}
	o.head, o.storeUp = 2, false
	_, err := o.entries[0].replica.ApplySnapshot(2, o.line.trees[1])
	require.NoError(t, err)
	o.deliver(o.entries[0], o.entries[1])
	o.entries[0].up = false
	changed := o.now
	restartAt := map[int]time.Time{0: o.now.Add(time.Minute)}
	for o.now.Sub(changed) < time.Hour {
		o.step()
		for i, at := range restartAt {
			if o.now.After(at) {
				o.start(i)
				delete(restartAt, i)
			}
		}
		if i := o.random.IntN(7); o.random.IntN(100) == 0 && len(restartAt) < 3 && o.entries[i].up {
			o.entries[i].up = false
			restartAt[i] = o.now.Add(time.Duration(o.random.IntN(60)) * time.Second)
		}
		for _, e := range o.entries {
			if o.now.Sub(changed) > MaxStaleness && o.serving(e) {
				require.Equal(t, uint64(2), e.replica.Revision(), "%s serves with an old revision", e.name)
			}
			if e.up && o.now.Sub(e.since) > time.Second && o.now.Sub(changed) > MaxStaleness {
				require.True(t, o.serving(e), "%s refuses work after %s", e.name, o.now.Sub(changed))
			}
		}
	}
	o.storeUp = true
	o.step()
	for _, e := range o.entries {
		require.True(t, !e.up || o.judge(e).State == Fresh)
	}
}
