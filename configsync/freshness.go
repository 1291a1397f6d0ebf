package configsync

import (
	"time"

	"github.com/skylarkstep/skylarkstep/config"
)

// MaxStaleness is the staleness below which a configuration is fresh. It is the
// time that requirement G3 allows for a change to take effect while the key-value
// store is reachable.
const MaxStaleness = 3 * time.Second

// peerTimeout is how long a peer counts as reachable after its last heartbeat.
const peerTimeout = 3 * time.Second

// FreshnessState classifies how up to date a process's configuration is. It
// decides whether the process may accept new work.
type FreshnessState string

// The values of FreshnessState.
//
//   - Fresh: the active revision was confirmed within MaxStaleness.
//   - StoreDown: neither this process nor a reachable peer reaches the key-value
//     store, no reachable peer has a higher revision, and a majority of the entries
//     is reachable.
//   - Isolated: neither Fresh nor StoreDown, so the process may have missed a change.
const (
	Fresh     FreshnessState = "fresh"
	StoreDown FreshnessState = "service_down"
	Isolated  FreshnessState = "isolated"
)

// PeerStatus holds the values of another entry's last heartbeat.
type PeerStatus struct {
	Name          string
	LastHeartbeat time.Time
	Revision      uint64
	// Staleness is the staleness at the time of the heartbeat.
	Staleness      time.Duration
	StoreReachable bool
}

// FreshnessInput is the view that a process has of itself and its peers at one
// time.
type FreshnessInput struct {
	Self     string
	Revision uint64
	// ConfirmedAt is when this process last read from the key-value store that the
	// active revision is the accepted one; zero means never.
	ConfirmedAt    time.Time
	StoreReachable bool
	Peers          []PeerStatus
	// Entries are the configured entries.
	Entries []string
}

// Freshness is the result of EvaluateFreshness.
type Freshness struct {
	State     FreshnessState
	Staleness time.Duration
	// HasMajority reports whether the reachable configured entries, including this
	// process if it is one, are a majority of the configured entries.
	HasMajority bool
	// ValidUntil is when the state ends if no further heartbeat or confirmation
	// arrives. Each request checks it, since a process that resumes after a pause
	// may handle requests before it evaluates its freshness again.
	ValidUntil time.Time
}

// neverConfirmed is the staleness of a configuration that was never confirmed.
const neverConfirmed = 365 * 24 * time.Hour

// EvaluateFreshness returns whether the configuration is fresh, the key-value
// store is down, or this process is isolated and may have missed a change.
func EvaluateFreshness(in FreshnessInput, now time.Time) Freshness {
	freshness := Freshness{State: Isolated, Staleness: neverConfirmed}
	if !in.ConfirmedAt.IsZero() {
		freshness.Staleness = now.Sub(in.ConfirmedAt)
	}
	storeReachable, peerAhead := in.StoreReachable, false
	for _, p := range in.Peers {
		if now.Sub(p.LastHeartbeat) > peerTimeout {
			continue
		}
		storeReachable = storeReachable || p.StoreReachable
		peerAhead = peerAhead || p.Revision > in.Revision
		if p.Revision <= in.Revision {
			freshness.Staleness = min(freshness.Staleness, p.Staleness+now.Sub(p.LastHeartbeat))
		}
	}
	majorityValidUntil := majorityReachableUntil(in, now)
	freshness.HasMajority = now.Before(majorityValidUntil)
	freshUntil := now.Add(MaxStaleness - freshness.Staleness)
	if freshness.Staleness < MaxStaleness {
		freshness.State, freshness.ValidUntil = Fresh, freshUntil
	}
	if freshness.HasMajority && !storeReachable && !peerAhead {
		if freshness.State != Fresh {
			freshness.State = StoreDown
		}
		if majorityValidUntil.After(freshness.ValidUntil) {
			freshness.ValidUntil = majorityValidUntil
		}
	}
	return freshness
}

// majorityReachableUntil returns when a majority of the configured entries stops
// counting as reachable, or now if there is none already.
func majorityReachableUntil(in FreshnessInput, now time.Time) time.Time {
	lastHeartbeats := map[string]time.Time{}
	for _, p := range in.Peers {
		lastHeartbeats[p.Name] = p.LastHeartbeat
	}
	needed := len(in.Entries)/2 + 1
	var deadlines []time.Time
	for _, name := range in.Entries {
		if name == in.Self {
			needed--
		} else if at, ok := lastHeartbeats[name]; ok && now.Sub(at) < peerTimeout {
			deadlines = append(deadlines, at.Add(peerTimeout))
		}
	}
	if needed <= 0 {
		return now.Add(peerTimeout)
	}
	if len(deadlines) < needed {
		return now
	}
	// The majority lasts until so many peers have timed out that fewer than needed
	// remain.
	for range len(deadlines) - needed + 1 {
		earliest := 0
		for i := range deadlines {
			if deadlines[i].Before(deadlines[earliest]) {
				earliest = i
			}
		}
		if len(deadlines) == needed {
			return deadlines[earliest]
		}
		deadlines = append(deadlines[:earliest], deadlines[earliest+1:]...)
	}
	return now
}

// MayServe reports whether the process may accept new work under the rule for
// isolated processes.
func (f Freshness) MayServe(rule config.IsolatedBehaviour) bool {
	return f.State != Isolated || rule == config.IsolatedServe
}
