package gateway

import (
	"time"

	"github.com/skylarkstep/skylarkstep/wire"
)

// peer is what this instance has heard from another one.
type peer struct {
	record    record
	process   string
	heardAt   time.Time
	leaving   bool
	reachable bool
	// resting is set while the peer does not watch the service.
	resting bool
	loads   map[string]uint32
	// slow is the slowness of targets that are slow, by address.
	slow    map[string]float64
	session *wire.Session
}

// peerTable holds the peers by id.
type peerTable struct {
	byID map[string]*peer
}

func newPeerTable() *peerTable { return &peerTable{byID: map[string]*peer{}} }

// heard returns the number of peers that are alive.
func (p *peerTable) heard(now time.Time) int {
	n := 0
	for _, q := range p.byID {
		if now.Sub(q.heardAt) < heardFor {
			n++
		}
	}
	return n
}

// reach reports whether a peer that is alive reaches the service.
func (p *peerTable) reach(now time.Time) bool {
	for _, q := range p.byID {
		if q.reachable && now.Sub(q.heardAt) < heardFor {
			return true
		}
	}
	return false
}

// rests reports whether a peer that is alive does not try to reach the service.
func (p *peerTable) rests(now time.Time) bool {
	for _, q := range p.byID {
		if q.resting && now.Sub(q.heardAt) < heardFor {
			return true
		}
	}
	return false
}

// load returns the requests that the peers have at a target.
func (p *peerTable) load(target string, now time.Time) int64 {
	n := int64(0)
	for _, q := range p.byID {
		if now.Sub(q.heardAt) < heardFor {
			n += int64(q.loads[target])
		}
	}
	return n
}

// slowness returns how slow a target is, by what the peers tell; 1 is sound.
func (p *peerTable) slowness(addr string, now time.Time) float64 {
	slowness := 1.0
	for _, q := range p.byID {
		if now.Sub(q.heardAt) < heardFor {
			slowness = max(slowness, q.slow[addr])
		}
	}
	return slowness
}

func (p *peerTable) forget(now time.Time) {
	for id, q := range p.byID {
		if now.Sub(q.heardAt) > rememberFor {
			delete(p.byID, id)
		}
	}
}
