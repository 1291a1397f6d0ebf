package standin

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// Faults are the switches that all stand-ins share. The zero value is healthy.
type Faults struct {
	mu      sync.Mutex
	latency time.Duration
	refuse  bool
	drop    int
	stalled chan struct{}
}

// SetLatency delays each call.
func (f *Faults) SetLatency(d time.Duration) { f.mu.Lock(); f.latency = d; f.mu.Unlock() }

// SetRefuse answers each call with 503, without running it.
func (f *Faults) SetRefuse(on bool) { f.mu.Lock(); f.refuse = on; f.mu.Unlock() }

// DropReplies closes the connection of the next n writes after they took
// effect.
func (f *Faults) DropReplies(n int) { f.mu.Lock(); f.drop = n; f.mu.Unlock() }

// SetStall keeps calls and watches without an answer until it is cleared.
func (f *Faults) SetStall(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case on && f.stalled == nil:
		f.stalled = make(chan struct{})
	case !on && f.stalled != nil:
		close(f.stalled)
		f.stalled = nil
	}
}

// waitStall returns when there is no stall.
func (f *Faults) waitStall(ctx context.Context) error {
	for {
		f.mu.Lock()
		stalled := f.stalled
		f.mu.Unlock()
		if stalled == nil {
			return ctx.Err()
		}
		select {
		case <-stalled:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// enter applies latency and stall, and reports whether the call is refused.
func (f *Faults) enter(ctx context.Context) (refused bool, err error) {
	f.mu.Lock()
	latency := f.latency
	f.mu.Unlock()
	if latency > 0 {
		t := time.NewTimer(latency)
		defer t.Stop()
		select {
		case <-t.C:
		case <-ctx.Done():
			return false, ctx.Err()
		}
	}
	if err := f.waitStall(ctx); err != nil {
		return false, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.refuse, nil
}

// dropReply reports whether the reply of this write is to be lost.
func (f *Faults) dropReply() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.drop == 0 {
		return false
	}
	f.drop--
	return true
}

// enterHTTP is enter for a handler; false means that the answer is complete.
func (f *Faults) enterHTTP(w http.ResponseWriter, r *http.Request) bool {
	refused, err := f.enter(r.Context())
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if refused {
		http.Error(w, `{"code":14,"message":"refused by a fault switch"}`, http.StatusServiceUnavailable)
	}
	return !refused
}
