package configsync

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// simEntry is one simulated entry. A message arrives in the step in which it is
// sent.
type simEntry struct {
	name           string
	replica        *Replica
	confirmedAt    time.Time
	storeReachable bool
	peers          map[string]PeerStatus
	running        bool
	startedAt      time.Time
}

// outageSim simulates entries whose key-value store becomes unreachable.
type outageSim struct {
	t             *testing.T
	now           time.Time
	entries       []*simEntry
	names         []string
	history       *revisionHistory
	storeRevision int // accepted revision in the store
	storeUp       bool
	random        *rand.Rand
}

// simStep is the interval at which entries read the store and send heartbeats.
const simStep = 250 * time.Millisecond

func newOutageSim(t *testing.T, n int) *outageSim {
	o := &outageSim{t: t, now: time.Unix(1000, 0), history: newRevisionHistory(t, 2), storeRevision: 1, storeUp: true, random: rand.New(rand.NewPCG(7, 11))}
	for i := range n {
		o.names = append(o.names, fmt.Sprintf("entry-%d", i))
		o.entries = append(o.entries, &simEntry{name: o.names[i]})
		o.start(i)
	}
	return o
}

// start starts an entry without a configuration.
func (o *outageSim) start(i int) {
	*o.entries[i] = simEntry{name: o.names[i], replica: &Replica{}, peers: map[string]PeerStatus{}, running: true, startedAt: o.now}
}

func (o *outageSim) freshness(e *simEntry) Freshness {
	in := FreshnessInput{Self: e.name, Revision: e.replica.Revision(), ConfirmedAt: e.confirmedAt, StoreReachable: e.storeReachable, Entries: o.names}
	for _, p := range e.peers {
		in.Peers = append(in.Peers, p)
	}
	return EvaluateFreshness(in, o.now)
}

// step advances the time by simStep. Each entry reads the store and receives a
// heartbeat from every other one.
func (o *outageSim) step() {
	o.now = o.now.Add(simStep)
	for _, e := range o.entries {
		if !e.running {
			continue
		}
		if e.storeReachable = o.storeUp; e.storeReachable {
			_, err := e.replica.ApplySnapshot(uint64(o.storeRevision), o.history.trees[o.storeRevision-1])
			require.NoError(o.t, err)
			e.confirmedAt = o.now
		}
	}
	for _, from := range o.entries {
		for _, to := range o.entries {
			if from != to && from.running && to.running && from.replica.Revision() > 0 {
				o.deliverHeartbeat(from, to)
			}
		}
	}
}

// deliverHeartbeat delivers a heartbeat, and the configuration if the receiver has
// an older one.
func (o *outageSim) deliverHeartbeat(from, to *simEntry) {
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
	require.GreaterOrEqual(o.t, to.replica.Revision(), before, "the revision decreased")
	to.peers[from.name] = PeerStatus{
		Name: from.name, LastHeartbeat: o.now, Revision: from.replica.Revision(), Staleness: o.freshness(from).Staleness, StoreReachable: from.storeReachable,
	}
}

// acceptsWork reports whether an entry accepts new work.
func (o *outageSim) acceptsWork(e *simEntry) bool {
	return e.running && e.replica.Revision() > 0 && o.freshness(e).MayServe("")
}

// Guards, over an hour without the key-value store and with entries that restart,
// against an entry that accepts work with an outdated revision, entries that
// refuse work although a majority is reachable, and restarted entries that remain
// without a configuration. The entry that accepted the last change stops after it
// has sent the change to one other entry.
func TestHourWithoutStoreWithRestarts(t *testing.T) {
	o := newOutageSim(t, 7)
	for range 8 {
		o.step()
	}
	o.storeRevision, o.storeUp = 2, false
	_, err := o.entries[0].replica.ApplySnapshot(2, o.history.trees[1])
	require.NoError(t, err)
	o.deliverHeartbeat(o.entries[0], o.entries[1])
	o.entries[0].running = false
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
		if i := o.random.IntN(7); o.random.IntN(100) == 0 && len(restartAt) < 3 && o.entries[i].running {
			o.entries[i].running = false
			restartAt[i] = o.now.Add(time.Duration(o.random.IntN(60)) * time.Second)
		}
		for _, e := range o.entries {
			if o.now.Sub(changed) > MaxStaleness && o.acceptsWork(e) {
				require.Equal(t, uint64(2), e.replica.Revision(), "%s accepts work with an old revision", e.name)
			}
			if e.running && o.now.Sub(e.startedAt) > time.Second && o.now.Sub(changed) > MaxStaleness {
				require.True(t, o.acceptsWork(e), "%s refuses work after %s", e.name, o.now.Sub(changed))
			}
		}
	}
	o.storeUp = true
	o.step()
	for _, e := range o.entries {
		require.True(t, !e.running || o.freshness(e).State == Fresh)
	}
}
