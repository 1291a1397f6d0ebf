package standin

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// Faults are the faults that a test can inject into any stand-in. The zero value
// injects none.
type Faults struct {
	mu            sync.Mutex
	latency       time.Duration
	refusing      bool
	repliesToDrop int
	stalled       chan struct{}
}

// SetLatency sets the delay of each call.
func (f *Faults) SetLatency(d time.Duration) { f.mu.Lock(); f.latency = d; f.mu.Unlock() }

// SetRefuse makes the stand-in respond to each call with 503 and not run it.
func (f *Faults) SetRefuse(on bool) { f.mu.Lock(); f.refusing = on; f.mu.Unlock() }

// DropReplies makes the key-value store close the connection of the next n writes
// after they have taken effect. The instance list closes that of the next n
// requests, and the weight store that of the next n objects halfway through.
func (f *Faults) DropReplies(n int) { f.mu.Lock(); f.repliesToDrop = n; f.mu.Unlock() }

// SetStall makes calls and watches wait until the stall is cleared.
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

// waitStall waits until there is no stall or ctx ends.
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

// applyFaults waits for the latency and the stall, and reports whether the call is
// to be refused.
func (f *Faults) applyFaults(ctx context.Context) (refused bool, err error) {
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
	return f.refusing, nil
}

// takeDroppedReply reports whether the reply to this call is to be dropped. If so,
// it decrements the number of replies to drop.
func (f *Faults) takeDroppedReply() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.repliesToDrop == 0 {
		return false
	}
	f.repliesToDrop--
	return true
}

// applyFaultsHTTP is applyFaults for an HTTP handler. If it returns false, the call
// was refused and the response is complete.
func (f *Faults) applyFaultsHTTP(w http.ResponseWriter, r *http.Request) bool {
	refused, err := f.applyFaults(r.Context())
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if refused {
		http.Error(w, `{"code":14,"message":"refused by a fault switch"}`, http.StatusServiceUnavailable)
	}
	return !refused
}
