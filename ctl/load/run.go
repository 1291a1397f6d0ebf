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
	// Do brings a timed event about.
	Do func(ctx context.Context, e Event) error
	// Executed returns the executions of each body id.
	Executed func() map[string]int
	// LastWork returns how long after from the last new work before to started
	// in a data centre, or zero when none did.
	LastWork func(ctx context.Context, dataCentre string, from, to time.Time) (time.Duration, error)
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
	wg.Go(func() { r.events(ctx) })
	stopProgress := make(chan struct{})
	go r.progress(stopProgress, len(schedule))
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
			r.add(o)
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

	mu       sync.Mutex
	outcomes []outcome
	done     []doneEvent
}

// doneEvent is a timed event that was brought about.
type doneEvent struct {
	event Event
	at    time.Duration // when it began
	err   error
}

func (r *run) add(o outcome) {
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

func (r *run) events(ctx context.Context) {
	for _, e := range r.scenario.Events {
		if !r.sleepUntil(ctx, e.At()) {
			return
		}
		at := time.Since(r.sender.start)
		err := error(nil)
		if r.deployment.Do == nil {
			err = fmt.Errorf("this deployment offers no events")
		} else {
			err = r.deployment.Do(ctx, e)
		}
		r.mu.Lock()
		r.done = append(r.done, doneEvent{event: e, at: at, err: err})
		r.mu.Unlock()
	}
}

func (r *run) progress(stop <-chan struct{}, total int) {
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
