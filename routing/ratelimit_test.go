package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against many instances that together send a target more than its limit
// allows, and against limits that are half unused: at even and uneven load, and if
// all instances begin to send at the same moment after a pause.
func TestLimitIsSharedByManyInstances(t *testing.T) {
	const window, length = 4 * time.Second, 60 * time.Second
	for _, limit := range []float64{0.1, 0.5, 2.4, 7, 40} {
		for _, instances := range []int{1, 2, 7, 42, 60} {
			for _, load := range []limitLoad{evenLoad, unevenLoad, loadAfterPause} {
				sent := sendWithinLimit(limit, instances, load, length)
				name := fmt.Sprintf("limit %g, %d instances, load %d", limit, instances, load)
				for i := range sent {
					n := len(dropBefore(sent[i:], sent[i])) - len(dropBefore(sent[i:], sent[i].Add(window)))
					require.LessOrEqual(t, float64(n), 1.5*limit*window.Seconds()+5, name)
				}
				if load != loadAfterPause {
					require.GreaterOrEqual(t, float64(len(sent)), 0.5*limit*length.Seconds(), name)
				}
			}
		}
	}
}

type limitLoad int

const (
	evenLoad limitLoad = iota
	unevenLoad
	loadAfterPause
)

// sendWithinLimit returns when requests are sent to the only target of a back end,
// so that all instances are its senders, if their callers send twice its limit.
func sendWithinLimit(limit float64, instances int, load limitLoad, length time.Duration) []time.Time {
	rng := rand.New(rand.NewPCG(uint64(instances), 5))
	start := time.Unix(0, 0)
	demands := make([]float64, LimitSenders(limit, instances, 1, true))
	total := 0.0
	for i := range demands {
		demands[i] = 1
		if load == unevenLoad {
			demands[i] = rng.Float64() * rng.Float64()
		}
		total += demands[i]
	}
	buckets := make([]TokenBucket, len(demands))
	for i := range buckets {
		buckets[i].StartSpread(start)
		demands[i] *= 2 * limit / total
	}
	begin := time.Duration(0)
	if load == loadAfterPause {
		begin = length - 10*time.Second
	}
	waiting := make([]float64, len(demands))
	var sent []time.Time
	const step = 5 * time.Millisecond
	for at := begin; at < length; at += step {
		for i := range buckets {
			waiting[i] = min(1, waiting[i]+demands[i]*step.Seconds())
			if load == loadAfterPause {
				waiting[i] = 1
			}
			if waiting[i] >= 1 && buckets[i].Take(limit*LimitShare(demands[i], demands), start.Add(at)) {
				waiting[i]--
				sent = append(sent, start.Add(at))
			}
		}
	}
	return sent
}

// Guards against instances that may send to none of the targets if all of them have
// named a limit.
func TestEachInstanceHasLimitedTarget(t *testing.T) {
	const instances, targets = 42, 63
	for position := range instances {
		mine := 0
		for n := range targets {
			if IsSender(fmt.Sprintf("i-%d", n), position, instances, LimitSenders(1, instances, targets, true)) {
				mine++
			}
		}
		require.Positive(t, mine, "instance %d", position)
	}
}
