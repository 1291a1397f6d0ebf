package configsync

import (
	"time"

	"github.com/skylarkstep/skylarkstep/config"
)

// MaxStaleness is how old a configuration may be while the key-value service is
// reachable. It is the bound of G3.
const MaxStaleness = 3 * time.Second

// hearFor is how long a peer counts as heard after its last heartbeat.
const hearFor = 3 * time.Second

// FreshnessState says whether a process may take new work.
type FreshnessState string

// The states of freshness.
const (
	Fresh     FreshnessState = "fresh"
	StoreDown FreshnessState = "service_down"
	Isolated  FreshnessState = "isolated"
)

// PeerStatus is what the last heartbeat of another entry said.
type PeerStatus struct {
	Name           string
	LastHeartbeat  time.Time
	Revision       uint64
	Staleness      time.Duration
	StoreReachable bool
}

// FreshnessInput is what a process knows about the configuration at one moment.
type FreshnessInput struct {
	Self     string
	Revision uint64
	// ConfirmedAt is when this process last saw at the key-value service that
	// the revision in force is the accepted one; zero means never.
	ConfirmedAt    time.Time
	StoreReachable bool
	Peers          []PeerStatus
	// Entries are the configured entries.
	Entries []string
}

// Freshness is the outcome of Judge.
type Freshness struct {
	State     FreshnessState
	Staleness time.Duration
	// MajorityReachable says that a majority of the configured entries is heard.
	MajorityReachable bool
	// ValidUntil is when the state ends if nothing more is heard. Traffic checks it
	// itself, since a process that was paused runs requests before anything else.
	ValidUntil time.Time
}

// never is the age of a configuration that was not confirmed.
const never = 365 * 24 * time.Hour

// EvaluateFreshness tells whether the configuration is fresh, the key-value service is
// down, or this process is isolated and may have missed a change.
func EvaluateFreshness(v FreshnessInput, now time.Time) Freshness {
	verdict := Freshness{State: Isolated, Staleness: never}
	if !v.ConfirmedAt.IsZero() {
		verdict.Staleness = now.Sub(v.ConfirmedAt)
	}
	reached, behind := v.StoreReachable, false
	for _, p := range v.Peers {
		if now.Sub(p.LastHeartbeat) > hearFor {
			continue
		}
		reached = reached || p.StoreReachable
		behind = behind || p.Revision > v.Revision
		if p.Revision <= v.Revision {
			verdict.Staleness = min(verdict.Staleness, p.Staleness+now.Sub(p.LastHeartbeat))
		}
	}
	heardUntil := majorityUntil(v, now)
	verdict.MajorityReachable = now.Before(heardUntil)
	freshUntil := now.Add(MaxStaleness - verdict.Staleness)
	if verdict.Staleness < MaxStaleness {
		verdict.State, verdict.ValidUntil = Fresh, freshUntil
	}
	if verdict.MajorityReachable && !reached && !behind {
		if verdict.State != Fresh {
			verdict.State = StoreDown
		}
		if heardUntil.After(verdict.ValidUntil) {
			verdict.ValidUntil = heardUntil
		}
	}
	return verdict
}

// majorityUntil returns when fewer than a majority of the configured entries
// counts as heard, or now when that is so already.
func majorityUntil(v FreshnessInput, now time.Time) time.Time {
	heard := map[string]time.Time{}
	for _, p := range v.Peers {
		heard[p.Name] = p.LastHeartbeat
	}
	needed := len(v.Entries)/2 + 1
	var until []time.Time
	for _, name := range v.Entries {
		if name == v.Self {
			needed--
		} else if at, ok := heard[name]; ok && now.Sub(at) < hearFor {
			until = append(until, at.Add(hearFor))
		}
	}
	if needed <= 0 {
		return now.Add(hearFor)
	}
	if len(until) < needed {
		return now
	}
	// The majority lasts until so many peers are silent that fewer than needed
	// remain.
	for range len(until) - needed + 1 {
		earliest := 0
		for i := range until {
			if until[i].Before(until[earliest]) {
				earliest = i
			}
		}
		if len(until) == needed {
			return until[earliest]
		}
		until = append(until[:earliest], until[earliest+1:]...)
	}
	return now
}

// MayServe reports whether the rule for isolated processes lets one take new
// work.
func (v Freshness) MayServe(rule config.IsolatedBehaviour) bool {
	return v.State != Isolated || rule == config.IsolatedServe
}
