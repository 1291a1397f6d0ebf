package load

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// Deployment gives a run access to the system under load. TriggerEvent,
// Executions and LastNewWork may be nil for a deployment whose processes and back
// ends can't be controlled.
type Deployment struct {
	// Entries are the base URLs of the entries.
	Entries []string
	// Key returns the bearer key of a customer.
	Key func(customer string) string
	// TriggerEvent carries out a timed event.
	TriggerEvent func(ctx context.Context, e Event) error
	// Executions returns how often each call was executed, by the id in its body.
	Executions func() map[string]int
	// LastNewWork returns when a data centre last started new work between the two
	// times, as the time since from. It returns zero if none started.
	LastNewWork func(ctx context.Context, dataCentre string, from, to time.Time) (time.Duration, error)
}

// maxInFlight limits the requests in progress, so that a system that hangs can't
// exhaust the memory of the load tool. Arrivals above the limit are counted as
// not sent.
const maxInFlight = 20000

// progressInterval is the time between two progress lines.
const progressInterval = 2 * time.Second

// Run runs the scenario and returns the report. It writes progress lines to out.
func Run(ctx context.Context, s *Scenario, d Deployment, out io.Writer) (*Report, error) {
	schedule := s.schedule()
	r := &run{scenario: s, deployment: d, sender: newSender(d.Entries, d.Key), out: out}
	r.sender.start = time.Now()
	var wg sync.WaitGroup
	wg.Go(func() { r.triggerEvents(ctx) })
	stopProgress := make(chan struct{})
	go r.reportProgress(stopProgress, len(schedule))
	for _, a := range schedule {
		if !r.sleepUntil(ctx, a.at) {
			break
		}
		if r.inFlight.Load() >= maxInFlight {
			r.notSent.Add(1)
			continue
		}
		r.inFlight.Add(1)
		wg.Go(func() {
			o := r.sender.send(ctx, a)
			r.inFlight.Add(-1)
			r.addOutcome(o)
		})
	}
	wg.Wait()
	close(stopProgress)
	return r.report(ctx), ctx.Err()
}

// run is the state of one run of a scenario.
type run struct {
	scenario   *Scenario
	deployment Deployment
	sender     *sender
	out        io.Writer
	inFlight   atomic.Int64
	notSent    atomic.Int64

	mu        sync.Mutex
	outcomes  []outcome
	triggered []triggeredEvent
}

// triggeredEvent is a timed event that was triggered, with its error, if any.
type triggeredEvent struct {
	event Event
	at    time.Duration // when it was triggered, after the start of the load
	err   error
}

func (r *run) addOutcome(o outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes = append(r.outcomes, o)
}

// sleepUntil waits until the given time after the start of the load. It returns
// false if ctx ends before.
func (r *run) sleepUntil(ctx context.Context, at time.Duration) bool {
	wait := at - time.Since(r.sender.start)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-time.After(wait):
		return true
	case <-ctx.Done():
		return false
	}
}

// triggerEvents triggers the timed events of the scenario in order.
func (r *run) triggerEvents(ctx context.Context) {
	for _, e := range r.scenario.Events {
		if !r.sleepUntil(ctx, e.At()) {
			return
		}
		at := time.Since(r.sender.start)
		err := error(nil)
		if r.deployment.TriggerEvent == nil {
			err = fmt.Errorf("this deployment does not support events")
		} else {
			err = r.deployment.TriggerEvent(ctx, e)
		}
		r.mu.Lock()
		r.triggered = append(r.triggered, triggeredEvent{event: e, at: at, err: err})
		r.mu.Unlock()
	}
}

// reportProgress writes a progress line at an interval until stop is closed.
func (r *run) reportProgress(stop <-chan struct{}, total int) {
	tick := time.NewTicker(progressInterval)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
			r.mu.Lock()
			n := len(r.outcomes)
			r.mu.Unlock()
			_, _ = fmt.Fprintf(r.out, "%s: %d of %d finished, %d in progress\n",
				time.Since(r.sender.start).Round(time.Second), n, total, r.inFlight.Load())
		}
	}
}
