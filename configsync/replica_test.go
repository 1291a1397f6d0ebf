package configsync

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/skylarkstep/skylarkstep/config"
)

// revisionHistory holds the trees and deltas of consecutive revisions.
type revisionHistory struct {
	trees  [][]byte
	deltas []config.Delta
}

func newRevisionHistory(t require.TestingT, n int) *revisionHistory {
	h := &revisionHistory{}
	from := []byte("{}")
	for i := range n {
		c := sampleConfig(1 + i%3)
		c.Rules.AddressTTLMs = 1000 + i
		if i%2 == 1 {
			c.Rules.DataCentresOut = []string{"burgos"}
		}
		to, err := c.Tree()
		require.NoError(t, err)
		r, err := newRecord(Change{Base: uint64(i), EditID: fmt.Sprint(i)}, from, to)
		require.NoError(t, err)
		h.trees, h.deltas, from = append(h.trees, to), append(h.deltas, r.Delta), to
	}
	return h
}

// Guards against a revision that decreases, and against content that does not
// belong to the revision, when messages are lost, reordered or duplicated.
func TestReplicaNeverFallsAndNeverMixes(t *testing.T) {
	history := newRevisionHistory(t, 12)
	rapid.Check(t, func(rt *rapid.T) {
		var r Replica
		for range rapid.IntRange(1, 30).Draw(rt, "messages") {
			before := r.Revision()
			if rapid.Bool().Draw(rt, "snapshot") {
				n := rapid.IntRange(1, 12).Draw(rt, "revision")
				_, err := r.ApplySnapshot(uint64(n), history.trees[n-1])
				require.NoError(rt, err)
			} else {
				from := rapid.IntRange(0, 11).Draw(rt, "from")
				to := rapid.IntRange(from, 12).Draw(rt, "to")
				_, _, err := r.ApplyDeltas(history.deltas[from:to])
				require.NoError(rt, err)
			}
			require.GreaterOrEqual(rt, r.Revision(), before)
			if r.Revision() > 0 {
				require.Equal(rt, string(history.trees[r.Revision()-1]), string(r.Tree()))
			}
			from := uint64(rapid.IntRange(0, 12).Draw(rt, "pull"))
			if ds, ok := r.DeltasSince(from); ok && len(ds) > 0 {
				require.Equal(rt, from+1, ds[0].Revision)
				require.Equal(rt, r.Revision(), ds[len(ds)-1].Revision)
			}
		}
	})
}

// Guards against applying a delta of another history of revisions, as it exists
// after the store was restored from a backup and edited again.
func TestReplicaRefusesDeltaOfAnotherLine(t *testing.T) {
	history := newRevisionHistory(t, 3)
	var r Replica
	_, err := r.ApplySnapshot(1, history.trees[1])
	require.NoError(t, err)
	_, gap, err := r.ApplyDeltas(history.deltas[1:2])
	require.NoError(t, err, "the merge patch gives the same content")
	assert.False(t, gap)
	foreign := history.deltas[2]
	foreign.Digest = history.deltas[0].Digest
	_, gap, err = r.ApplyDeltas([]config.Delta{foreign})
	assert.Error(t, err)
	assert.True(t, gap)
	assert.Equal(t, uint64(2), r.Revision())
}

// Guards against a process without a configuration that applies the revision of a
// single peer, which may be outdated.
func TestFreshProcessNeedsTwoPeersThatAgree(t *testing.T) {
	history := newRevisionHistory(t, 4)
	var r Replica
	changed, err := r.AddOffer("a", 3, 2, history.trees[1])
	require.NoError(t, err)
	assert.False(t, changed, "one of three peers is not enough")
	changed, err = r.AddOffer("a", 3, 2, history.trees[1])
	require.NoError(t, err)
	assert.False(t, changed, "the same peer counts once")
	changed, err = r.AddOffer("b", 3, 4, history.trees[3])
	require.NoError(t, err)
	assert.True(t, changed)
	assert.Equal(t, uint64(2), r.Revision(), "only revision 2 was reached by both")

	var single Replica
	changed, err = single.AddOffer("a", 1, 2, history.trees[1])
	require.NoError(t, err)
	assert.True(t, changed, "one peer is enough if only one is configured")
}

// Guards against accepting work although a change may have been missed, and
// against refusing work during an outage of the key-value store.
func TestEvaluateFreshness(t *testing.T) {
	now := time.Unix(1000, 0)
	entries := []string{"a", "b", "c", "d", "e"}
	peer := func(name string, ago, age time.Duration, revision uint64, reaches bool) PeerStatus {
		return PeerStatus{Name: name, LastHeartbeat: now.Add(-ago), Staleness: age, Revision: revision, StoreReachable: reaches}
	}
	old := now.Add(-time.Hour)
	for _, tc := range []struct {
		name      string
		confirmed time.Time
		peers     []PeerStatus
		want      FreshnessState
		until     time.Duration
	}{
		{"confirmed itself", now.Add(-time.Second), nil, Fresh, 2 * time.Second},
		{"confirmed by a peer", old, []PeerStatus{peer("b", time.Second, time.Second, 5, true)}, Fresh, time.Second},
		{"peer with a higher revision confirms nothing", old, []PeerStatus{peer("b", 0, 0, 6, true)}, Isolated, 0},
		{"alone", old, nil, Isolated, 0},
		{"minority", old, []PeerStatus{peer("b", 0, time.Hour, 5, false)}, Isolated, 0},
		{"majority, store down", old,
			[]PeerStatus{peer("b", time.Second, time.Hour, 5, false), peer("c", 2*time.Second, time.Hour, 5, false)}, StoreDown, time.Second},
		{"all, store down", old, []PeerStatus{
			peer("b", 0, time.Hour, 5, false), peer("c", time.Second, time.Hour, 5, false),
			peer("d", 2*time.Second, time.Hour, 5, false), peer("e", 2500*time.Millisecond, time.Hour, 5, false),
		}, StoreDown, 2 * time.Second},
		{"majority, but one has timed out", old,
			[]PeerStatus{peer("b", 4*time.Second, time.Hour, 5, false), peer("c", 0, time.Hour, 5, false)}, Isolated, 0},
		{"majority, one is ahead", old,
			[]PeerStatus{peer("b", 0, time.Hour, 6, false), peer("c", 0, time.Hour, 5, false)}, Isolated, 0},
		{"majority, one reaches the store but is stale", old,
			[]PeerStatus{peer("b", 0, time.Hour, 5, true), peer("c", 0, time.Hour, 5, false)}, Isolated, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			v := EvaluateFreshness(FreshnessInput{Self: "a", Revision: 5, ConfirmedAt: tc.confirmed, Peers: tc.peers, Entries: entries}, now)
			assert.Equal(t, tc.want, v.State)
			if tc.until > 0 {
				assert.Equal(t, now.Add(tc.until), v.ValidUntil)
			}
			assert.Equal(t, tc.want != Isolated, v.MayServe(""))
			assert.True(t, v.MayServe(config.IsolatedServe))
		})
	}
}

// TestMain sets a fixed seed for the property tests, so that every run gives the
// same result.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = flag.Set("rapid.seed", "20261204")
	}
	os.Exit(m.Run())
}

// Guards against a panic or a lower revision on a malformed head.
func FuzzParseHead(f *testing.F) {
	f.Add([]byte(`{"revision":1,"parts":[{"name":"base","digest":"x"}],"deltas":[{"revision":1,"patch":{"a":null},"digest":"y"}]}`))
	first := newRevisionHistory(f, 1).trees[0]
	f.Fuzz(func(t *testing.T, data []byte) {
		h, err := ParseHead(data)
		if err != nil {
			return
		}
		r := Replica{}
		if _, err := r.ApplySnapshot(1, first); err != nil {
			t.Fatal(err)
		}
		if _, _, err := r.ApplyDeltas(h.Deltas); err == nil && r.Revision() < 1 {
			t.Fatal("the revision decreased")
		}
	})
}
