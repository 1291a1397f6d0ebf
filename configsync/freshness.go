package configsync

import (
	"time"

	"github.com/skylarkstep/skylarkstep/config"
)

// FreshFor is how old a configuration may be while the key-value service is
// reachable. It is the bound of G3.
const FreshFor = 3 * time.Second

// hearFor is how long a peer counts as heard after its last heartbeat.
const hearFor = 3 * time.Second

// State says whether a process may take new work.
type State string

// The states of freshness.
const (
	Fresh       State = "fresh"
	ServiceDown State = "service_down"
	Isolated    State = "isolated"
)

// PeerView is what the last heartbeat of another entry said.
type PeerView struct {
	Name           string
	HeardAt        time.Time
	Revision       uint64
	Age            time.Duration
	StoreReachable bool
}

// View is what a process knows about the configuration at one moment.
type View struct {
	Self     string
	Revision uint64
	// ConfirmedAt is when this process last saw at the key-value service that
	// the revision in force is the accepted one; zero means never.
	ConfirmedAt    time.Time
	StoreReachable bool
	Peers          []PeerView
	// Entries are the configured entries.
	Entries []string
}

// Verdict is the outcome of Judge.
type Verdict struct {
	State State
	Age   time.Duration
	// Majority says that a majority of the configured entries is heard.
	Majority bool
	// Until is when the state ends if nothing more is heard. Traffic checks it
	// itself, since a process that was paused runs requests before anything else.
	Until time.Time
}

// never is the age of a configuration that was not confirmed.
const never = 365 * 24 * time.Hour

// Judge tells whether the configuration is fresh, the key-value service is
// down, or this process is isolated and may have missed a change.
func Judge(v View, now time.Time) Verdict {
	verdict := Verdict{State: Isolated, Age: never}
	if !v.ConfirmedAt.IsZero() {
		verdict.Age = now.Sub(v.ConfirmedAt)
	}
	reached, behind := v.StoreReachable, false
	for _, p := range v.Peers {
		if now.Sub(p.HeardAt) > hearFor {
			continue
		}
		reached = reached || p.StoreReachable
		behind = behind || p.Revision > v.Revision
		if p.Revision <= v.Revision {
			verdict.Age = min(verdict.Age, p.Age+now.Sub(p.HeardAt))
		}
	}
	heardUntil := majorityUntil(v, now)
	verdict.Majority = now.Before(heardUntil)
	freshUntil := now.Add(FreshFor - verdict.Age)
	if verdict.Age < FreshFor {
		verdict.State, verdict.Until = Fresh, freshUntil
	}
	if verdict.Majority && !reached && !behind {
		if verdict.State != Fresh {
			verdict.State = ServiceDown
		}
		if heardUntil.After(verdict.Until) {
			verdict.Until = heardUntil
		}
	}
	return verdict
}

// majorityUntil returns when fewer than a majority of the configured entries
// counts as heard, or now when that is so already.
func majorityUntil(v View, now time.Time) time.Time {
	heard := map[string]time.Time{}
	for _, p := range v.Peers {
		heard[p.Name] = p.HeardAt
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
func (v Verdict) MayServe(rule config.IsolatedBehaviour) bool {
	return v.State != Isolated || rule == config.IsolatedServe
}
