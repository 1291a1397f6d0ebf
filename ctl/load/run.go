package load

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// Deployment is what a run needs of the system under load. Actions and Executed
// may be nil for a deployment whose faults and back ends are out of reach.
type Deployment struct {
	Entries []string
	Key     func(customer string) string
	// TriggerEvent brings a timed event about.
	TriggerEvent func(ctx context.Context, e Event) error
	// Executions returns the executions of each body id.
	Executions func() map[string]int
	// LastNewWork returns how long after from the last new work before to started
	// in a data centre, or zero when none did.
	LastNewWork func(ctx context.Context, dataCentre string, from, to time.Time) (time.Duration, error)
}

// maxInFlight bounds the requests in progress, so that a hung system can't
// exhaust the memory of the load tool. Arrivals over it are counted as not sent.
const maxInFlight = 20000

const progressInterval = 2 * time.Second

// Run runs the scenario and reports. Progress goes to out.
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

// triggeredEvent is a timed event that was brought about.
type triggeredEvent struct {
	event Event
	at    time.Duration // when it began
	err   error
}

func (r *run) addOutcome(o outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes = append(r.outcomes, o)
}

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

func (r *run) triggerEvents(ctx context.Context) {
	for _, e := range r.scenario.Events {
		if !r.sleepUntil(ctx, e.At()) {
			return
		}
		at := time.Since(r.sender.start)
		err := error(nil)
		if r.deployment.TriggerEvent == nil {
			err = fmt.Errorf("this deployment offers no events")
		} else {
			err = r.deployment.TriggerEvent(ctx, e)
		}
		r.mu.Lock()
		r.triggered = append(r.triggered, triggeredEvent{event: e, at: at, err: err})
		r.mu.Unlock()
	}
}

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
