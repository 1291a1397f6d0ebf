package gateway

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/infra"
	"github.com/skylarkstep/skylarkstep/wire"
	"github.com/skylarkstep/skylarkstep/wire/wirepb"
)

// heartbeatNet exchanges the heartbeats of instances in simulated time. A heartbeat
// takes a random time of the given mean until it is applied: its transit, and the
// waits for the processes at both ends.
type heartbeatNet struct {
	rng       *rand.Rand
	transit   time.Duration
	instances []*Gateway
	pending   []delivery
}

// delivery is a heartbeat on its way.
type delivery struct {
	at       time.Time
	from, to int
	beat     *wirepb.PeerBeat
}

// peersPerInstance is how many sessions an instance has: those that it dials, and
// those that are dialed to it.
const peersPerInstance = 2 * maxDialedPeers

func newHeartbeatNet(t *testing.T, n int, transit time.Duration) *heartbeatNet {
	net := &heartbeatNet{rng: rand.New(rand.NewPCG(34, uint64(n))), transit: transit}
	d := newDeployment(t, config())
	for i := range n {
		g := New(Options{
			Instance: fmt.Sprintf("g%03d", i), DataCentre: "dc1", KV: d.kv.Direct(), ItemDecoder: testDecoder{}, Headers: testHeaders{},
			Log: d.logger, Registry: metrics.NewRegistry(),
		})
		g.control.mirror.Load(nil, infra.NewRevision(1, 50))
		t.Cleanup(g.callers.close)
		net.instances = append(net.instances, g)
	}
	return net
}

// sessions holds one session for each pair of instances, as both ends know it.
type sessions map[[2]int]*wire.Session

func (s sessions) between(from, to int) *wire.Session {
	key := [2]int{from, to}
	if s[key] == nil {
		s[key] = &wire.Session{}
	}
	return s[key]
}

// run exchanges heartbeats from one time to another and calls check after each step.
func (n *heartbeatNet) run(from, to time.Time, check func(now time.Time)) {
	const step = time.Millisecond
	held := sessions{}
	next := make([]time.Time, len(n.instances))
	for i := range next {
		next[i] = from.Add(rand.N(heartbeatInterval))
	}
	for now := from; now.Before(to); now = now.Add(step) {
		n.deliver(held, now)
		for i, g := range n.instances {
			if now.Before(next[i]) {
				continue
			}
			next[i] = now.Add(heartbeatInterval)
			for k := 1; k <= min(peersPerInstance, len(n.instances)-1); k++ {
				to := (i + (k+1)/2*(2*(k%2)-1) + len(n.instances)) % len(n.instances)
				delay := time.Duration(n.rng.ExpFloat64() * float64(n.transit))
				n.pending = append(n.pending, delivery{now.Add(delay), i, to, g.control.heartbeat(n.instances[to].id, held.between(i, to), now)})
			}
		}
		check(now)
	}
}

// deliver applies the heartbeats that have arrived.
func (n *heartbeatNet) deliver(held sessions, now time.Time) {
	n.pending = slices.DeleteFunc(n.pending, func(d delivery) bool {
		if d.at.After(now) {
			return false
		}
		to := n.instances[d.to]
		to.control.applyHeartbeat(held.between(d.to, d.from), n.instances[d.from].id, d.beat, now, now)
		return true
	})
}

// Guards against a copy of the store that is believed to be more recent than it is:
// the age lost the time that each heartbeat was on its way, and instances confirmed one
// another, so that no follower took over from watchers that had lost the store.
func TestCopyIsNotOlderThanBelieved(t *testing.T) {
	const silence = 6 * time.Second // all heartbeats tell of a store that nobody reads
	for _, c := range []struct {
		instances int
		transit   time.Duration
	}{{2, 20 * time.Millisecond}, {6, time.Millisecond}, {6, 20 * time.Millisecond}, {25, 50 * time.Millisecond}, {150, 20 * time.Millisecond}} {
		t.Run(fmt.Sprintf("%d instances, transit %s", c.instances, c.transit), func(t *testing.T) {
			n := newHeartbeatNet(t, c.instances, c.transit)
			lastRead := time.Now()
			n.instances[0].control.confirmAsOf(lastRead, "store")
			n.run(lastRead, lastRead.Add(silence), func(now time.Time) {
				for _, g := range n.instances {
					believed := g.control.confirmedAt
					require.False(t, believed.After(lastRead), "after %d ms, %s believes its copy to be %d ms old",
						now.Sub(lastRead).Milliseconds(), g.id, now.Sub(believed).Milliseconds())
				}
			})
		})
	}
}

// Guards against followers that take over the watch, at the cost of calls to the
// store, although the watchers read it and heartbeats arrive.
func TestFollowersAreConfirmedByWatcher(t *testing.T) {
	const pollTime = time.Second // the longest pause between two reads of a watcher
	n := newHeartbeatNet(t, 6, 2*time.Millisecond)
	start := time.Now()
	lastRead := start
	n.run(start, start.Add(10*time.Second), func(now time.Time) {
		if now.Sub(lastRead) >= pollTime || now.Equal(start) {
			lastRead = now
			n.instances[0].control.confirmAsOf(now, "store")
		}
		if now.Sub(start) < pollTime {
			return // the first heartbeats have no echo
		}
		for _, g := range n.instances {
			require.LessOrEqual(t, now.Sub(g.control.confirmedAt), defaultWatchTakeoverAge, g.id)
		}
	})
}

// Guards against ages that are taken as of the arrival of a heartbeat without an echo,
// or of one whose echo cannot be right.
func TestHeartbeatWithoutValidEchoConfirmsNothing(t *testing.T) {
	now := time.Now()
	for name, c := range map[string]struct {
		beat  *wirepb.PeerBeat
		dated bool
	}{
		"no echo":            {&wirepb.PeerBeat{}, false},
		"valid":              {&wirepb.PeerBeat{EchoedSentAtNs: monotonic(now) - 10, EchoHeldNs: 5}, true},
		"from the future":    {&wirepb.PeerBeat{EchoedSentAtNs: monotonic(now) + 1}, false},
		"held longer":        {&wirepb.PeerBeat{EchoedSentAtNs: monotonic(now) - 10, EchoHeldNs: 11}, false},
		"negative hold":      {&wirepb.PeerBeat{EchoedSentAtNs: monotonic(now), EchoHeldNs: -1}, false},
		"overflow":           {&wirepb.PeerBeat{EchoedSentAtNs: math.MaxInt64, EchoHeldNs: math.MaxInt64}, false},
		"largest echo":       {&wirepb.PeerBeat{EchoedSentAtNs: math.MaxInt64}, false},
		"negative send time": {&wirepb.PeerBeat{EchoedSentAtNs: -1}, false},
	} {
		_, dated := madeAfter(c.beat, now)
		require.Equal(t, c.dated, dated, name)
	}
}

// Guards against an echo on another session than that of the heartbeat: the process at its
// other end may be a new one, with another clock.
func TestEchoStaysOnItsSession(t *testing.T) {
	n := newHeartbeatNet(t, 2, time.Millisecond)
	now := time.Now()
	first, second := &wire.Session{}, &wire.Session{}
	c, peer := n.instances[0].control, n.instances[1].id
	require.Zero(t, c.heartbeat(peer, first, now).GetEchoedSentAtNs(), "nothing was received yet")
	c.applyHeartbeat(first, peer, &wirepb.PeerBeat{SentAtNs: 7}, now, now)
	echo := c.heartbeat(peer, first, now.Add(time.Millisecond))
	require.EqualValues(t, 7, echo.GetEchoedSentAtNs())
	require.EqualValues(t, time.Millisecond, echo.GetEchoHeldNs())
	require.Zero(t, c.heartbeat(peer, second, now).GetEchoedSentAtNs())
}
