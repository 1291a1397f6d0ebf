package load

import (
	"context"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Report is the result of a run. Latencies are measured from the scheduled
// arrival, so that they include the delay that a stalled system causes.
// Checked reports whether the executions of the back ends were available. Only then
// are the counts from DuplicateExecutions to UnknownThatRan valid. They cover calls
// to plain services: non-idempotent calls that ran more than once, complete calls
// that never ran, and calls that ran although the caller saw not_run or an unknown
// outcome.
type Report struct {
	Scenario            string `json:"scenario"`
	Seed                uint64 `json:"seed"`
	Requests            int    `json:"requests"`
	NotSent             int    `json:"not_sent"`
	Complete            int    `json:"complete"`
	NotRun              int    `json:"not_run"`
	Unknown             int    `json:"unknown"`
	Interrupted         int    `json:"cut"`
	Retries             int    `json:"repeats"`
	Checked             bool   `json:"executions_checked"`
	DuplicateExecutions int    `json:"doubles"`
	Lost                int    `json:"lost"`
	WrongNotRun         int    `json:"wrong_not_run"`
	UnknownThatRan      int    `json:"unknown_that_ran"`

	ErrorKinds map[string]int `json:"errors_by_kind"`
	Phases     []Phase        `json:"phases"`
	Events     []EventReport  `json:"events,omitempty"`

	perSecond []Point
}

// Phase summarizes the requests that arrived between two timed events. Its quantiles
// cover the complete ones.
type Phase struct {
	Name           string  `json:"name"`
	FromMs         int64   `json:"from_ms"`
	Requests       int     `json:"requests"`
	Failed         int     `json:"failed"`
	P50Ms          float64 `json:"p50_ms"`
	P99Ms          float64 `json:"p99_ms"`
	FirstByteP50Ms float64 `json:"first_p50_ms"`
	FirstByteP99Ms float64 `json:"first_p99_ms"`
}

// EventReport records when a timed event was triggered. For a data centre that was
// taken out, LastNewWorkMs is how long after the event new work still started
// there.
type EventReport struct {
	Kind          EventKind `json:"kind"`
	DataCentre    string    `json:"data_centre,omitempty"`
	Process       string    `json:"process,omitempty"`
	AtMs          int64     `json:"at_ms"`
	Error         string    `json:"error,omitempty"`
	LastNewWorkMs *int64    `json:"last_new_work_after_ms,omitempty"`
}

// Point summarizes the requests that arrived in one second of the run, for plots.
// The quantiles are in milliseconds and cover the complete requests.
type Point struct {
	Second   int
	P50, P99 float64
	Failed   int
}

// report builds the report of a finished run.
func (r *run) report(ctx context.Context) *Report {
	rep := &Report{
		Scenario: r.scenario.Name, Seed: r.scenario.Seed, Requests: len(r.outcomes),
		NotSent: int(r.notSent.Load()), ErrorKinds: map[string]int{},
	}
	for i := range r.outcomes {
		rep.countOutcome(&r.outcomes[i])
	}
	if r.deployment.Executions != nil {
		rep.checkExecutions(r.outcomes, r.deployment.Executions())
	}
	for _, d := range r.triggered {
		rep.Events = append(rep.Events, r.eventReport(ctx, d))
	}
	rep.Phases = r.phases()
	rep.perSecond = r.pointsPerSecond()
	return rep
}

// countOutcome adds one request to the counts.
func (rep *Report) countOutcome(o *outcome) {
	rep.Retries += o.retries
	switch o.result {
	case resultComplete:
		rep.Complete++
	case resultNotRun:
		rep.NotRun++
	case resultInterrupted:
		rep.Interrupted++
	default:
		rep.Unknown++
	}
	if o.errorKind != "" {
		rep.ErrorKinds[o.errorKind]++
	}
}

// checkExecutions compares what the callers saw with what the back ends executed.
// Model requests are skipped, and idempotent calls may run more than once.
func (rep *Report) checkExecutions(outcomes []outcome, executed map[string]int) {
	rep.Checked = true
	for i := range outcomes {
		o := &outcomes[i]
		if o.arrival.flow.Model != "" {
			continue
		}
		n := executed[fmt.Sprintf("load-%d", o.arrival.id)]
		switch {
		case n > 1 && !o.arrival.flow.Idempotent:
			rep.DuplicateExecutions++
		case n == 0 && o.result == resultComplete:
			rep.Lost++
		case n > 0 && o.result == resultNotRun:
			rep.WrongNotRun++
		case n > 0 && o.result == resultUnknown:
			rep.UnknownThatRan++
		}
	}
}

// eventReport builds the report of one triggered event.
func (r *run) eventReport(ctx context.Context, d triggeredEvent) EventReport {
	e := EventReport{Kind: d.event.Kind, DataCentre: d.event.DataCentre, Process: d.event.Process, AtMs: d.at.Milliseconds()}
	if d.err != nil {
		e.Error = d.err.Error()
	}
	if d.event.Kind == ZoneOut && d.err == nil && r.deployment.LastNewWork != nil {
		from := r.sender.start.Add(d.at)
		last, err := r.deployment.LastNewWork(ctx, d.event.DataCentre, from, r.returnTime(d))
		if err != nil {
			e.Error = err.Error()
			return e
		}
		ms := last.Milliseconds()
		e.LastNewWorkMs = &ms
	}
	return e
}

// returnTime returns when the data centre that outEvent took out was brought back,
// or the current time if it was not.
func (r *run) returnTime(outEvent triggeredEvent) time.Time {
	for _, d := range r.triggered {
		if d.at > outEvent.at && d.event.Kind == ZoneIn && d.event.DataCentre == outEvent.event.DataCentre {
			return r.sender.start.Add(d.at)
		}
	}
	return time.Now()
}

// phases splits the run at its timed events. An event within 1 ms after the start of
// a phase starts no phase of its own.
func (r *run) phases() []Phase {
	boundaries := []time.Duration{0}
	names := []string{"start"}
	for _, d := range r.triggered {
		if d.at-boundaries[len(boundaries)-1] > time.Millisecond {
			boundaries = append(boundaries, d.at)
			names = append(names, string(d.event.Kind))
		}
	}
	phases := make([]Phase, 0, len(boundaries))
	for i, from := range boundaries {
		to := time.Duration(1<<63 - 1)
		if i+1 < len(boundaries) {
			to = boundaries[i+1]
		}
		phases = append(phases, r.phase(names[i], from, to))
	}
	return phases
}

// phase summarizes the requests that arrived at or after from and before to.
func (r *run) phase(name string, from, to time.Duration) Phase {
	p := Phase{Name: name, FromMs: from.Milliseconds()}
	done, first := newHistogram(), newHistogram()
	for i := range r.outcomes {
		o := &r.outcomes[i]
		if o.arrival.at < from || o.arrival.at >= to {
			continue
		}
		p.Requests++
		if o.result != resultComplete {
			p.Failed++
			continue
		}
		_ = done.RecordValue(o.latency.Microseconds())
		_ = first.RecordValue(o.firstByteLatency.Microseconds())
	}
	p.P50Ms, p.P99Ms = quantiles(done)
	p.FirstByteP50Ms, p.FirstByteP99Ms = quantiles(first)
	return p
}

// newHistogram returns a histogram of latencies in microseconds, up to 10 minutes,
// the longest deadline that a scenario may set.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, (10 * time.Minute).Microseconds(), 3)
}

// quantiles returns the 50th and 99th percentile of a histogram, in milliseconds.
func quantiles(h *hdrhistogram.Histogram) (p50, p99 float64) {
	const microsPerMilli = 1000
	return float64(h.ValueAtQuantile(50)) / microsPerMilli, float64(h.ValueAtQuantile(99)) / microsPerMilli
}

// pointsPerSecond summarizes the run second by second, in order.
func (r *run) pointsPerSecond() []Point {
	bySecond := map[int]*hdrhistogram.Histogram{}
	failed := map[int]int{}
	for i := range r.outcomes {
		o := &r.outcomes[i]
		s := int(o.arrival.at / time.Second)
		if bySecond[s] == nil {
			bySecond[s] = newHistogram()
		}
		if o.result != resultComplete {
			failed[s]++
			continue
		}
		_ = bySecond[s].RecordValue(o.latency.Microseconds())
	}
	points := make([]Point, 0, len(bySecond))
	for s, h := range bySecond {
		p := Point{Second: s, Failed: failed[s]}
		p.P50, p.P99 = quantiles(h)
		points = append(points, p)
	}
	slices.SortFunc(points, func(a, b Point) int { return a.Second - b.Second })
	return points
}

// WriteText writes the report for people.
func (rep *Report) WriteText(w io.Writer) error {
	_, _ = fmt.Fprintf(w, "scenario %s, seed %d: %d requests, %d complete, %d not run, %d unknown, %d cut, %d not sent\n",
		rep.Scenario, rep.Seed, rep.Requests, rep.Complete, rep.NotRun, rep.Unknown, rep.Interrupted, rep.NotSent)
	if rep.Checked {
		_, _ = fmt.Fprintf(w, "against the back ends: %d doubles, %d lost, %d wrong not_run, %d unknown that ran\n",
			rep.DuplicateExecutions, rep.Lost, rep.WrongNotRun, rep.UnknownThatRan)
	}
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(tw, "phase\tfrom s\trequests\tfailed\tp50 ms\tp99 ms\tfirst p50\tfirst p99\t")
	for _, p := range rep.Phases {
		_, _ = fmt.Fprintf(tw, "%s\t%.1f\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t\n",
			p.Name, float64(p.FromMs)/1000, p.Requests, p.Failed, p.P50Ms, p.P99Ms, p.FirstByteP50Ms, p.FirstByteP99Ms)
	}
	if err := tw.Flush(); err != nil {
		return err
	}
	for _, e := range rep.Events {
		rep.writeEvent(w, e)
	}
	for _, k := range sortedKinds(rep.ErrorKinds) {
		_, _ = fmt.Fprintf(w, "error %s: %d\n", k, rep.ErrorKinds[k])
	}
	return nil
}

func (rep *Report) writeEvent(w io.Writer, e EventReport) {
	_, _ = fmt.Fprintf(w, "event %s %s%s at %.1f s", e.Kind, e.DataCentre, e.Process, float64(e.AtMs)/1000)
	if e.Error != "" {
		_, _ = fmt.Fprintf(w, ": failed: %s", e.Error)
	}
	if e.LastNewWorkMs != nil {
		_, _ = fmt.Fprintf(w, ": last new work reached it after %d ms", *e.LastNewWorkMs)
	}
	_, _ = fmt.Fprintln(w)
}

func sortedKinds(m map[string]int) []string {
	kinds := make([]string, 0, len(m))
	for k := range m {
		kinds = append(kinds, k)
	}
	slices.Sort(kinds)
	return kinds
}

// GuaranteesHeld reports whether no call ran twice, was lost or interrupted, or
// was wrongly reported as not run.
func (rep *Report) GuaranteesHeld() bool {
	return rep.DuplicateExecutions == 0 && rep.Lost == 0 && rep.Interrupted == 0 && rep.WrongNotRun == 0
}
