package gateway

import (
	"time"

	"github.com/skylarkstep/skylarkstep/wire"
)

// peer is what this instance has heard from another one.
type peer struct {
	record          instanceRecord
	process         string
	lastHeartbeatAt time.Time
	leaving         bool
	storeReachable  bool
	// following is set while the peer does not watch the service.
	following        bool
	requestsByTarget map[string]uint32
	// slowdowns is the slowness of targets that are slow, by address.
	slowdowns map[string]float64
	session   *wire.Session
}

// peerTable holds the peers by id.
type peerTable struct {
	byID map[string]*peer
}

func newPeerTable() *peerTable { return &peerTable{byID: map[string]*peer{}} }

// reachableCount returns the number of peers that are alive.
func (p *peerTable) reachableCount(now time.Time) int {
	n := 0
	for _, q := range p.byID {
		if now.Sub(q.lastHeartbeatAt) < peerTimeout {
			n++
		}
	}
	return n
}

// anyReachesStore reports whether a peer that is alive reaches the service.
func (p *peerTable) anyReachesStore(now time.Time) bool {
	for _, q := range p.byID {
		if q.storeReachable && now.Sub(q.lastHeartbeatAt) < peerTimeout {
			return true
		}
	}
	return false
}

// anyFollows reports whether a peer that is alive does not try to reach the service.
func (p *peerTable) anyFollows(now time.Time) bool {
	for _, q := range p.byID {
		if q.following && now.Sub(q.lastHeartbeatAt) < peerTimeout {
			return true
		}
	}
	return false
}

// requestCount returns the requests that the peers have at a target.
func (p *peerTable) requestCount(target string, now time.Time) int64 {
	n := int64(0)
	for _, q := range p.byID {
		if now.Sub(q.lastHeartbeatAt) < peerTimeout {
			n += int64(q.requestsByTarget[target])
		}
	}
	return n
}

// slowdown returns how slow a target is, by what the peers tell; 1 is sound.
func (p *peerTable) slowdown(addr string, now time.Time) float64 {
	slowness := 1.0
	for _, q := range p.byID {
		if now.Sub(q.lastHeartbeatAt) < peerTimeout {
			slowness = max(slowness, q.slowdowns[addr])
		}
	}
	return slowness
}

func (p *peerTable) removeOld(now time.Time) {
	for id, q := range p.byID {
		if now.Sub(q.lastHeartbeatAt) > peerRetention {
			delete(p.byID, id)
		}
	}
}
