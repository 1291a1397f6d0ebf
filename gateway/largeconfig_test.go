package gateway

import (
	"encoding/json"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/infra"
	"github.com/skylarkstep/skylarkstep/routing"
	"github.com/skylarkstep/skylarkstep/wire/wirepb"
)

// countingDecoder counts how often a configuration is decoded.
type countingDecoder struct {
	testDecoder
	configs atomic.Int64
}

func (d *countingDecoder) Config(value []byte) (*routing.Config, error) {
	d.configs.Add(1)
	return d.testDecoder.Config(value)
}

// Guards against a control goroutine that decodes a large configuration once for each
// of its versions in a batch, although only the last one can come into force.
func TestOnlyLastVersionOfBatchIsDecoded(t *testing.T) {
	g := newDeployment(t, config()).start("g1")
	decoder := &countingDecoder{}
	var inForce int64
	g.control.call(t.Context(), func() {
		c := g.control
		g.decoder = decoder
		var batch []infra.Event
		for i := range 10 {
			cfg := config()
			cfg.Version = int64(2 + i)
			value, err := json.Marshal(cfg)
			require.NoError(t, err)
			batch = append(batch, infra.Event{Item: infra.Item{Key: "config", Value: value, ModRevision: c.mirror.Revision() + int64(1+i)}})
		}
		c.updateCopy("watch", time.Now(), func() []string { return c.mirror.Apply(batch) })
		inForce = c.config.Version
	})
	require.EqualValues(t, 11, inForce)
	require.EqualValues(t, 1, decoder.configs.Load())
}

// Guards against a change that is requested from each peer whose heartbeat tells of it:
// a large configuration would cross the links once for each of them.
func TestChangeIsRequestedFromOnePeerAtATime(t *testing.T) {
	g := newDeployment(t, config()).start("g1")
	session, received := peerSession(t)
	heartbeats := func(at time.Time) {
		g.control.call(t.Context(), func() {
			c := g.control
			for _, id := range []string{"p1", "p2", "p3"} {
				c.applyHeartbeat(session, id, &wirepb.PeerBeat{StoreRevision: infra.RevisionNumber(c.mirror.Revision()) + 5}, at, at)
			}
		})
	}
	pulls := func() int {
		n := 0
		for end := time.After(100 * time.Millisecond); ; {
			select {
			case <-received:
				n++
			case <-end:
				return n
			}
		}
	}
	now := time.Now()
	heartbeats(now)
	require.Equal(t, 1, pulls())
	heartbeats(now.Add(pullTimeout + time.Millisecond))
	require.Equal(t, 1, pulls(), "a request without a reply must be repeated")
	g.control.call(t.Context(), func() {
		c := g.control
		c.handlePeerFrame(session, "p1", &wirepb.PeerFrame{Body: &wirepb.PeerFrame_Delta{Delta: &wirepb.StoreDelta{Revision: infra.RevisionNumber(c.mirror.Revision()) + 1}}}, now)
	})
	heartbeats(now.Add(2 * time.Millisecond))
	require.Equal(t, 1, pulls(), "after a reply, the next change must be requested at once")
}
