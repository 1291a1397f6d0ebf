package promptcache

import "time"

const (
	// minSaving is the least difference that decides: a smaller one is less than what a
	// choice between targets of the same load varies by.
	minSaving = 2 * time.Millisecond
	// maxLoadRatio limits the load of a target that is chosen for what it holds, relative
	// to the mean, so that a popular part does not make its target the slowest.
	maxLoadRatio = 1.25
)

// Costs are the times that decide between targets.
type Costs struct {
	// ReadToken is the time to read a token of a prompt, and PerRequest what each request
	// at a target adds to the time until the first part of a response.
	ReadToken, PerRequest time.Duration
	// SlotTime is how long a request usually occupies a slot.
	SlotTime time.Duration
}

// Option is a target that may get the request.
type Option struct {
	// Load is the number of requests at the target, and Slots how many it processes at
	// the same time.
	Load, Slots float64
	Holding     Holding
}

// wait returns the time that the requests at the target add for one more.
func (o Option) wait(c Costs) time.Duration {
	wait := time.Duration(min(o.Load, o.Slots) * float64(c.PerRequest))
	if queued := o.Load + 1 - o.Slots; queued > 0 {
		wait += time.Duration(queued / max(1, o.Slots) * float64(c.SlotTime))
	}
	return wait
}

// saving returns the time of reading that the target probably saves.
func (o Option) saving(c Costs) time.Duration {
	return time.Duration(float64(o.Holding.Tokens) * o.Holding.Chance * float64(c.ReadToken))
}

// Weigh returns the index of the option with which the request probably gets its first part
// soonest. options[0] is the target that is picked by its load; another one is chosen only
// if it saves noticeably more reading than its requests add in waiting, and if its load is
// near the mean.
func Weigh(options []Option, meanLoad float64, c Costs) int {
	best, bestGain := 0, minSaving
	base := options[0]
	for i, o := range options[1:] {
		if o.Load+1 > max(o.Slots, 1) || o.Load > maxLoadRatio*meanLoad+1 {
			continue
		}
		gain := (o.saving(c) - base.saving(c)) - (o.wait(c) - base.wait(c))
		if gain >= bestGain {
			best, bestGain = i+1, gain
		}
	}
	return best
}
