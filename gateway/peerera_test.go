package gateway

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/infra"
	"github.com/skylarkstep/skylarkstep/mirror"
	"github.com/skylarkstep/skylarkstep/wire"
	"github.com/skylarkstep/skylarkstep/wire/wirepb"
)

// peerSession returns a session of an instance and the messages that the instance
// sends on it.
func peerSession(t *testing.T) (*wire.Session, <-chan *wirepb.PeerFrame) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	received := make(chan *wirepb.PeerFrame, 10)
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		peer, err := wire.Server(conn, nil, &wirepb.Hello{Instance: "p", Role: "gateway"})
		if err != nil {
			return
		}
		defer func() { _ = peer.Close() }()
		for {
			var f wirepb.PeerFrame
			if peer.Control().Recv(&f) != nil {
				return
			}
			received <- &f
		}
	}()
	s, err := wire.Dial(t.Context(), l.Addr().String(), nil, &wirepb.Hello{Instance: "g1", Role: "gateway"})
	require.NoError(t, err)
	t.Cleanup(func() { _ = s.Close(); _ = l.Close() })
	return s, received
}

// Guards against a delta that loses its era on the way, and against revisions on
// the wire that the previous build does not understand.
func TestDeltaKeepsEra(t *testing.T) {
	d := mirror.Delta{
		Full: true, Revision: infra.NewRevision(3, 9),
		Items:   []infra.Item{{Key: "a", Value: []byte("x"), ModRevision: infra.NewRevision(3, 7), Lease: infra.LeaseID{Era: 3, Number: 5}}},
		Deleted: []mirror.Deletion{{Key: "b", Revision: infra.NewRevision(3, 8)}},
	}
	encoded := encodeDelta(d)
	require.Equal(t, d, decodeDelta(encoded))
	require.EqualValues(t, 9, encoded.GetRevision())
	require.EqualValues(t, 7, encoded.GetItems()[0].GetModRevision())
}

// Guards against a follower that stays on an older era since the revision of the
// newer one is lower, and against one that asks a peer of an older era for changes
// or is confirmed by it.
func TestPeersOfOtherEras(t *testing.T) {
	for _, c := range []struct {
		name            string
		era, revision   int64
		pulls, confirms bool
	}{
		{"newer era, lower revision", 4, 5, true, false},
		{"same era, higher revision", 3, 60, true, false},
		{"same era and revision", 3, 50, false, true},
		{"same era, lower revision", 3, 40, false, false},
		{"older era, higher revision", 2, 90, false, false},
		{"older era, same revision", 2, 50, false, false},
		{"previous build, same revision", 0, 50, false, false},
		{"previous build, higher revision", 0, 90, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := newDeployment(t, config()).start("g1").Gateway
			session, received := peerSession(t)
			var confirmed bool
			g.control.call(t.Context(), func() {
				ctrl, now := g.control, time.Now().Add(time.Hour)
				ctrl.mirror.Load(nil, infra.NewRevision(3, 50))
				beat := &wirepb.PeerBeat{StoreRevision: c.revision, StoreEra: c.era, EchoedSentAtNs: monotonic(now)}
				ctrl.applyHeartbeat(session, "p", beat, now, now)
				confirmed = ctrl.confirmedAt.Equal(now)
			})
			require.Equal(t, c.confirms, confirmed)
			ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
			defer cancel()
			select {
			case f := <-received:
				require.True(t, c.pulls)
				require.EqualValues(t, 3, f.GetPull().GetFromEra())
				require.EqualValues(t, 50, f.GetPull().GetFromRevision())
			case <-ctx.Done():
				require.False(t, c.pulls)
			}
		})
	}
}

// Guards against heartbeats without the era, and against a peer of the previous
// build or of an older era that gets a partial delta which it cannot apply.
func TestReplyToPullHasEra(t *testing.T) {
	g := newDeployment(t, config()).start("g1").Gateway
	for _, c := range []struct {
		name string
		pull *wirepb.StorePull
		full bool
	}{
		{"same era", &wirepb.StorePull{FromRevision: 50, FromEra: 3}, false},
		{"older era", &wirepb.StorePull{FromRevision: 90, FromEra: 2}, true},
		{"previous build", &wirepb.StorePull{FromRevision: 50}, true},
	} {
		session, received := peerSession(t)
		var beat *wirepb.PeerBeat
		g.control.call(t.Context(), func() {
			ctrl := g.control
			ctrl.mirror.Load(nil, infra.NewRevision(3, 50))
			ctrl.mirror.Apply([]infra.Event{{Item: infra.Item{Key: "a", ModRevision: infra.NewRevision(3, 51)}}})
			beat = ctrl.heartbeat("p", session, time.Now())
			ctrl.handlePeerFrame(session, "p", &wirepb.PeerFrame{Body: &wirepb.PeerFrame_Pull{Pull: c.pull}}, time.Now())
		})
		require.EqualValues(t, 3, beat.GetStoreEra())
		require.EqualValues(t, 51, beat.GetStoreRevision())
		delta := (<-received).GetDelta()
		require.Equal(t, c.full, delta.GetFull(), c.name)
		require.EqualValues(t, 3, delta.GetEra())
		require.EqualValues(t, 51, delta.GetRevision())
	}
}
