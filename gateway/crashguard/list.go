package crashguard

import (
	"cmp"
	"slices"
	"time"
)

// List is what operators see of the subjects that are kept from targets.
type List struct {
	Instance string    `json:"instance"`
	Parts    []Listed  `json:"parts"`
	Suspects []Suspect `json:"suspects"`
}

// Listed is the latest decision on a part of prompts, or on a request.
type Listed struct {
	Part string `json:"part"`
	// State is quarantined, trial (half-open) or cleared.
	State     string `json:"state"`
	DecidedBy string `json:"decided_by"`
	AgeMs     int64  `json:"age_ms"`
	// EndsInMs is the time until the end of the quarantine; negative while it is
	// half-open.
	EndsInMs int64 `json:"ends_in_ms"`
	// Crashes holds the targets that crashed, and Reporters the instances that
	// reported them.
	Crashes   []string `json:"crashes"`
	Reporters []string `json:"reporters"`
}

// Suspect is a part of prompts, or a request, with which no request has completed
// since targets crashed under it.
type Suspect struct {
	Part    string `json:"part"`
	Crashes int    `json:"crashes"`
}

// List returns the decisions and the suspects, those with the most crashes first.
func (o *Owner) List(now time.Time) List {
	list := List{Instance: o.Instance, Parts: []Listed{}, Suspects: []Suspect{}}
	for _, e := range o.ledger.Entries() {
		list.Parts = append(list.Parts, Listed{
			Part: e.Subject, State: e.Phase(now).String(), DecidedBy: e.DecidedBy, AgeMs: now.Sub(e.At).Milliseconds(),
			EndsInMs: e.Ends().Sub(now).Milliseconds(), Crashes: targetsOf(e.Crashes), Reporters: e.Reporters,
		})
	}
	for subject, crashes := range o.crashCounts(now) {
		list.Suspects = append(list.Suspects, Suspect{subject, crashes})
	}
	slices.SortFunc(list.Suspects, func(a, b Suspect) int {
		return cmp.Or(cmp.Compare(b.Crashes, a.Crashes), cmp.Compare(a.Part, b.Part))
	})
	return list
}
