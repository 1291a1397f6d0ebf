package fleet

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
)

const (
	// toleratedCrashes is how many crashes a part may cause, and
	// toleratedRequestCrashes how many a request may, until it must be kept from
	// targets, and toleratedSends how many requests with it may reach them later than
	// the contact time after that.
	toleratedCrashes        = 5
	toleratedRequestCrashes = 3
	toleratedSends          = 3
	// limitWindow, limitExcess and limitSlack describe what a target with a limit
	// may get: in each window limitExcess times the limit, and limitSlack more.
	limitWindow = 4 * time.Second
	limitExcess = 1.5
	limitSlack  = 5
	// informedAfter is how long after a response with the limit a gateway is
	// expected to keep to it.
	informedAfter = 500 * time.Millisecond
	// toleratedInRest is how many requests may reach a target in a rest from a
	// gateway that was told, and drainTime how long they may reach one that leaves.
	toleratedInRest = 2
	drainTime       = 2 * time.Second
)

// Report is the result of a run.
type Report struct {
	Scenario string `json:"scenario"`
	Seed     uint64 `json:"seed"`
	Requests int    `json:"requests"`
	// Crashes counts the crashes of targets, by the part or request that caused
	// them; those for other reasons are under the empty name.
	Crashes map[string]int `json:"crashes"`
	// LateSends counts, by part or request, the requests that reached targets too late.
	LateSends map[string]int `json:"late_sends"`
	// HarmlessBefore and HarmlessAfter are the shares of harmless requests that were served
	// at the first attempt before the first crash and after the quarantine.
	HarmlessBefore float64 `json:"sound_before"`
	HarmlessAfter  float64 `json:"sound_after"`
	// FalsePositives holds the harmless parts that were quarantined.
	FalsePositives []string `json:"wrongly_blamed"`
	// Violations holds the promises that were broken.
	Violations []string `json:"violations"`
}

// report compares what callers and targets have seen with what was promised.
func (f *Fleet) report() *Report {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := &Report{
		Scenario: f.scenario.Name, Seed: f.scenario.Seed, Requests: len(f.outcomes), Crashes: map[string]int{}, LateSends: map[string]int{},
		FalsePositives: []string{}, Violations: slices.Clone(f.failures),
	}
	for _, c := range f.crashes {
		r.Crashes[c.culprit]++
	}
	f.checkCulprits(r)
	f.checkLimits(r)
	f.checkWishes(r)
	f.checkNotRun(r)
	return r
}

// isExcused reports whether a gateway need not know what others do.
func (f *Fleet) isExcused(gateway string, at time.Time) bool {
	return slices.ContainsFunc(f.excused, func(e excuse) bool { return e.gateway == gateway && !at.Before(e.from) && at.Before(e.to) })
}

// tolerated returns how many crashes a culprit may cause.
func tolerated(culprit string) int {
	if strings.HasPrefix(culprit, crashingBody) {
		return toleratedRequestCrashes
	}
	return toleratedCrashes
}

// checkCulprits checks that parts and requests that crash targets are kept from
// them, and others are not.
func (f *Fleet) checkCulprits(r *Report) {
	first, settled := time.Time{}, time.Time{}
	crashes := map[string][]time.Time{}
	for _, c := range f.crashes {
		crashes[c.culprit] = append(crashes[c.culprit], c.at)
	}
	delete(crashes, "")
	for _, culprit := range slices.Sorted(maps.Keys(crashes)) {
		times := crashes[culprit]
		if first.IsZero() || times[0].Before(first) {
			first = times[0]
		}
		last := times[min(len(times), tolerated(culprit))-1]
		if last.After(settled) {
			settled = last
		}
		if len(times) < tolerated(culprit) {
			continue
		}
		if n := f.countSends(culprit, last.Add(f.scenario.contact())); n > 0 {
			r.LateSends[culprit] = n
			if n > toleratedSends {
				r.Violations = append(r.Violations, fmt.Sprintf("%s: %d requests reached targets after %d crashes, %d crashes in all", culprit, n, tolerated(culprit), len(times)))
			}
		}
	}
	f.checkHarmless(r, first, settled)
	f.checkFalsePositives(r)
}

func (f *Fleet) countSends(culprit string, after time.Time) int {
	n := 0
	for _, t := range f.targets {
		t.mu.Lock()
		for _, a := range t.arrivals {
			if a.culprit == culprit && a.at.After(after) && !f.isExcused(a.gateway, a.at) {
				n++
			}
		}
		t.mu.Unlock()
	}
	return n
}

// minHarmlessRequests is the number of requests from which on shares are compared.
const minHarmlessRequests = 20

// checkHarmless compares how often harmless requests are served at the first attempt.
func (f *Fleet) checkHarmless(r *Report, first, settled time.Time) {
	if first.IsZero() {
		return
	}
	share := func(from, to time.Time) (float64, int) {
		served, all := 0, 0
		for _, o := range f.outcomes {
			if at := f.start.Add(o.at); o.crashing || o.retry || at.Before(from) || !at.Before(to) || f.isExcused(o.gateway, at) {
				continue
			}
			all++
			if o.complete {
				served++
			}
		}
		return float64(served) / float64(max(1, all)), all
	}
	var before, after int
	r.HarmlessBefore, before = share(f.start, first)
	r.HarmlessAfter, after = share(settled.Add(2*f.scenario.contact()), f.start.Add(f.scenario.duration()))
	if before >= minHarmlessRequests && after >= minHarmlessRequests && r.HarmlessAfter < r.HarmlessBefore/2 {
		r.Violations = append(r.Violations, fmt.Sprintf("sound requests: %.2f served at the first attempt, %.2f before the crashes", r.HarmlessAfter, r.HarmlessBefore))
	}
}

// checkFalsePositives lists the harmless parts and requests that were quarantined. One that all requests
// share must never be.
func (f *Fleet) checkFalsePositives(r *Report) {
	culprits := f.scenario.crashingParts()
	for _, m := range f.members {
		for _, p := range m.gateway.QuarantineList(f.ctx).Parts {
			if p.State == "cleared" || slices.Contains(culprits, p.Part) || f.refusedSubjects[p.Part] || slices.Contains(r.FalsePositives, p.Part) {
				continue
			}
			r.FalsePositives = append(r.FalsePositives, p.Part)
			if p.Part == firstPart {
				r.Violations = append(r.Violations, "the part that all requests share was quarantined")
			}
		}
	}
}

// checkLimits checks that targets with a limit got no more than it allows from
// gateways that they had told.
func (f *Fleet) checkLimits(r *Report) {
	for _, t := range f.targets {
		limit := t.limit.Load()
		if limit == nil {
			continue
		}
		t.mu.Lock()
		var counted []time.Time
		for _, a := range t.arrivals {
			told := t.told[a.gateway]
			if a.at.After(t.limitedAt.Add(f.scenario.contact())) && !told.IsZero() && a.at.Sub(told) >= informedAfter && !f.isExcused(a.gateway, a.at) {
				counted = append(counted, a.at)
			}
		}
		t.mu.Unlock()
		slices.SortFunc(counted, time.Time.Compare)
		allowed := limitExcess**limit*limitWindow.Seconds() + limitSlack
		if most := mostWithin(counted, limitWindow); float64(most) > allowed {
			r.Violations = append(r.Violations, fmt.Sprintf("target %s with a limit of %g a second got %d requests in %s", t.id, *limit, most, limitWindow))
		}
	}
}

// checkWishes checks that targets that wanted no requests from a gateway got none.
func (f *Fleet) checkWishes(r *Report) {
	for _, t := range f.targets {
		t.mu.Lock()
		for _, w := range t.wishes {
			n := 0
			for _, a := range t.arrivals {
				if a.gateway == w.gateway && a.at.After(w.from) && a.at.Before(w.to) && !f.isExcused(a.gateway, a.at) {
					n++
				}
			}
			if n > w.allowed {
				r.Violations = append(r.Violations, fmt.Sprintf("target %s got %d requests from %s, which it had told that it wants none", t.id, n, w.gateway))
			}
		}
		t.mu.Unlock()
	}
}

func mostWithin(sorted []time.Time, window time.Duration) int {
	most, from := 0, 0
	for to := range sorted {
		for sorted[to].Sub(sorted[from]) >= window {
			from++
		}
		most = max(most, to-from+1)
	}
	return most
}

// checkNotRun checks that requests that were refused as not run did not run.
func (f *Fleet) checkNotRun(r *Report) {
	for _, o := range f.outcomes {
		if _, ran := f.ran.Load(o.id); ran && o.notRun {
			r.Violations = append(r.Violations, fmt.Sprintf("request %s was reported as not run (%s), and ran", o.id, o.kind))
		}
	}
}

// Held reports whether all promises were kept.
func (r *Report) Held() bool { return len(r.Violations) == 0 }

// WriteText writes the report for a person to read.
func (r *Report) WriteText(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(w, "%s, seed %d:\t%d requests, crashes by culprit %v, late sends %v, sound requests at the first attempt %.3f before and %.3f after, wrongly blamed %d\n",
		r.Scenario, r.Seed, r.Requests, r.Crashes, r.LateSends, r.HarmlessBefore, r.HarmlessAfter, len(r.FalsePositives))
	for _, v := range r.Violations {
		_, _ = fmt.Fprintf(w, "  violated:\t%s\n", v)
	}
	return errors.WithStack(w.Flush())
}
