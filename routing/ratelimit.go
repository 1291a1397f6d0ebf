package routing

import (
	"math"
	"math/rand/v2"
	"time"
)

// TokenBucket limits the rate of requests. It holds at most one token.
type TokenBucket struct {
	tokens     float64
	lastRefill time.Time
	spread     bool
}

// StartSpread fills a bucket with a random part of a token, and does so again after
// each time in which no token was taken. Of many instances that begin to send at
// the same moment, few can send at once then.
func (b *TokenBucket) StartSpread(now time.Time) {
	b.tokens, b.lastRefill, b.spread = rand.Float64(), now, true
}

// CanTake reports whether Take would succeed.
func (b *TokenBucket) CanTake(rate float64, now time.Time) bool {
	b.refill(rate, now)
	return b.tokens >= 1
}

// Take takes a token if there is one. rate is the number of tokens per second.
func (b *TokenBucket) Take(rate float64, now time.Time) bool {
	if !b.CanTake(rate, now) {
		return false
	}
	b.tokens--
	return true
}

func (b *TokenBucket) refill(rate float64, now time.Time) {
	tokens := b.tokens + now.Sub(b.lastRefill).Seconds()*rate
	switch {
	case b.lastRefill.IsZero():
		b.tokens = 1
	case b.spread && tokens >= maxSpreadTokens:
		b.tokens = rand.Float64()
	default:
		b.tokens = min(1, tokens)
	}
	b.lastRefill = now
}

// maxSpreadTokens is the number of tokens that an unused bucket would have got when
// it is filled at random.
const maxSpreadTokens = 2

const (
	// limitBurst and limitBurstTime determine the usual number of senders to a
	// target: its limit in that time and limitBurst more. maxLimitBurst and
	// maxLimitBurstTime do so if every instance needs one of the limited targets.
	// Each sender may have saved one token, so the number bounds what a target gets
	// beyond its limit: it bears half of the limit of 4 s, and 5 requests.
	limitBurst        = 2.5
	limitBurstTime    = time.Second
	maxLimitBurst     = 5
	maxLimitBurstTime = 2 * time.Second
	// MinRateLimit is the number of requests per second that are sent to a target
	// with a lower limit: without any, nobody would learn that the limit has
	// changed.
	MinRateLimit = 0.05
)

// LimitSenders returns how many of the instances may send requests to a target that
// has named a limit, in requests per second from all instances together. If all
// targets of a back end are limited, each instance should be a sender to one.
func LimitSenders(limit float64, instances, targets int, allLimited bool) int {
	senders := int(limitBurst + limit*limitBurstTime.Seconds())
	if allLimited && targets > 0 {
		needed := int(math.Ceil(float64(instances) / float64(targets)))
		senders = max(senders, min(needed, int(maxLimitBurst+limit*maxLimitBurstTime.Seconds())))
	}
	return max(1, min(instances, senders))
}

// minDemandShare is the least part of an even share that a sender gets, so that it
// can begin at once when its callers come.
const minDemandShare = 0.1

// LimitShare returns the part of a target's limit that a sender may use: in
// proportion to the requests that its callers send, so that a limit is neither
// exceeded nor left unused if the load is uneven. demands holds the requests per
// second of all senders, with own among them; a negative one is unknown.
func LimitShare(own float64, demands []float64) float64 {
	known, total := 0, 0.0
	for _, d := range demands {
		if d >= 0 {
			known, total = known+1, total+d
		}
	}
	if len(demands) == 0 {
		return 1
	}
	even := 1 / float64(len(demands))
	if known == 0 || total == 0 || own < 0 {
		return even
	}
	mean := total / float64(known)
	floor := minDemandShare * mean
	sum := 0.0
	for _, d := range demands {
		if d < 0 {
			d = mean
		}
		sum += max(floor, d)
	}
	return max(floor, own) / sum
}
