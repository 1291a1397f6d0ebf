package gateway

import (
	"time"

	"github.com/skylarkstep/skylarkstep/wire"
)

// peer is what the heartbeats of another instance have reported.
type peer struct {
	record          instanceRecord
	process         string
	lastHeartbeatAt time.Time
	lastHeartbeat   receivedHeartbeat
	leaving         bool
	// leavingSince is when the planned stop of the peer was first heard of; zero
	// if it may have begun long before.
	leavingSince   time.Time
	storeReachable bool
	// following is set while the peer does not watch the store itself.
	following        bool
	requestsByTarget map[string]uint32
	// slowdowns holds the slowdown factors of slow targets, by address.
	slowdowns map[string]float64
	// demands holds the rates of the requests of the peer's callers, by back end.
	demands map[string]float64
	session *wire.Session
	// reportsSentAt is when the peer was last sent the crash reports on parts that
	// crash targets.
	reportsSentAt time.Time
	// handedOver is set if the process has handed a term over, which a process
	// does only when it stops. receivedTerms holds the terms that were handed
	// over to it.
	handedOver    bool
	receivedTerms map[Term]bool
}

// handsOver reports whether a process of the peer is stopping according to a
// term that it has handed over, and forgets terms of an earlier process.
func (p *peer) handsOver(process string) bool {
	if p.process != process {
		p.handedOver, p.receivedTerms = false, nil
	}
	return p.handedOver
}

// peerTable holds the peers by instance id.
type peerTable struct {
	byID map[string]*peer
}

func newPeerTable() *peerTable { return &peerTable{byID: map[string]*peer{}} }

// reachableCount returns the number of peers whose heartbeats arrive.
func (p *peerTable) reachableCount(now time.Time) int {
	n := 0
	for _, peer := range p.byID {
		if now.Sub(peer.lastHeartbeatAt) < peerTimeout {
			n++
		}
	}
	return n
}

// leaving returns the ids of the leaving peers whose heartbeats arrive.
func (p *peerTable) leaving(now time.Time) []string {
	var ids []string
	for id, peer := range p.byID {
		if peer.leaving && now.Sub(peer.lastHeartbeatAt) < peerTimeout {
			ids = append(ids, id)
		}
	}
	return ids
}

// leavingWithTime returns the leaving peers whose planned stop leaves at least the
// given time, if all instances have the same stop timeout.
func (p *peerTable) leavingWithTime(timeout, atLeast time.Duration, now time.Time) []instanceRecord {
	var found []instanceRecord
	for _, peer := range p.byID {
		reachable := now.Sub(peer.lastHeartbeatAt) < peerTimeout && peer.record.CallerAddr != ""
		if !reachable || !peer.leaving || peer.leavingSince.IsZero() {
			continue
		}
		if left := timeout - stopMargin - now.Sub(peer.leavingSince); left >= atLeast {
			found = append(found, peer.record)
		}
	}
	return found
}

// anyReachesStore reports whether a reachable peer reaches the store.
func (p *peerTable) anyReachesStore(now time.Time) bool {
	for _, peer := range p.byID {
		if peer.storeReachable && now.Sub(peer.lastHeartbeatAt) < peerTimeout {
			return true
		}
	}
	return false
}

// anyFollows reports whether a reachable peer does not try to reach the store
// itself.
func (p *peerTable) anyFollows(now time.Time) bool {
	for _, peer := range p.byID {
		if peer.following && now.Sub(peer.lastHeartbeatAt) < peerTimeout {
			return true
		}
	}
	return false
}

// requestCount returns the number of requests that reachable peers have at a
// target.
func (p *peerTable) requestCount(target string, now time.Time) int64 {
	n := int64(0)
	for _, peer := range p.byID {
		if now.Sub(peer.lastHeartbeatAt) < peerTimeout {
			n += int64(peer.requestsByTarget[target])
		}
	}
	return n
}

// slowdown returns the largest slowdown factor that reachable peers report for
// a target; 1 is normal.
func (p *peerTable) slowdown(addr string, now time.Time) float64 {
	slowdown := 1.0
	for _, peer := range p.byID {
		if now.Sub(peer.lastHeartbeatAt) < peerTimeout {
			slowdown = max(slowdown, peer.slowdowns[addr])
		}
	}
	return slowdown
}

// removeOld removes peers that have been unresponsive for longer than
// peerRetention and have no record in the store. In a restored store, the record of
// an instance that has left may never expire.
func (p *peerTable) removeOld(records map[string]instanceRecord, now time.Time) {
	for id, peer := range p.byID {
		if _, hasRecord := records[id]; !hasRecord && now.Sub(peer.lastHeartbeatAt) > peerRetention {
			delete(p.byID, id)
		}
	}
}

// hasOld reports whether a peer has been unresponsive for longer than peerRetention.
func (p *peerTable) hasOld(now time.Time) bool {
	for _, peer := range p.byID {
		if now.Sub(peer.lastHeartbeatAt) > peerRetention {
			return true
		}
	}
	return false
}
