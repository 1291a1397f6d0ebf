package concurrency

import (
	"cmp"
	"math"
	"time"
)

const (
	// historyTime is how far back the pace is remembered. Shifts of the expert load
	// are seconds apart, and streams that begin now meet the next one.
	historyTime = 10 * time.Second
	// goalShare is the part of the goal of a pause that a pass may take: events are also
	// delayed on their way.
	goalShare = 0.95
	// lateValue is what a response that is hardly late is worth to a caller, relative to
	// one in time. The longer its pauses are, the less it is worth.
	lateValue = 0.4
	// minSlotShare is the part of the slots that is always used. A model of the engine
	// is no reason to refuse requests while most slots are free.
	minSlotShare = 0.5
	// maxSlotShare is the largest limit relative to the slots. A few requests that wait at
	// the ranks hide the time between a response and the next request; more of them
	// would wait there whatever is more urgent.
	maxSlotShare = 1.05
	// reportDelay is how long after a shift of the expert load reports show its full
	// imbalance: a shift is found some passes after it began, and while a map is
	// prepared no counts are read.
	reportDelay = 500 * time.Millisecond
	// limitStep is the difference, in requests a rank, between the limits considered.
	limitStep = 0.25
	// shiftedPace is the pace from which on the map does not fit the load. Passes are
	// compared with the model separately below and above it.
	shiftedPace = 1.6
	// maxCompared is the longest time between two observations that are compared, and
	// comparisonTime the time after which a comparison counts 1/e.
	maxCompared    = time.Second
	comparisonTime = 20 * time.Second
	// assumedPasses is the number of passes that the model counts for. minCorrection and
	// maxCorrection are the bounds of a correction.
	assumedPasses                = 10
	minCorrection, maxCorrection = 0.5, 2.0
	// maxRisePerS is by which share the limit may rise in a second. A pace that comes and
	// goes must not fill the group with streams that the next shift makes late.
	maxRisePerS = 0.2
	// indifference is the share of the best value within which the higher limit wins.
	indifference = 0.01
)

// Observation is what the reports of the ranks show at one time.
type Observation struct {
	// Pace is the pace of the group according to its model.
	Pace float64
	// RequestsPerRank is the mean number of requests at a rank.
	RequestsPerRank float64
	// Passes is the number of passes that the group has begun.
	Passes uint64
}

// sample is the pace that a group kept for some time.
type sample struct {
	at   time.Time
	pace float64
}

// Limiter derives the limit of one rank group from the pace of its last seconds. The
// limit is the number of requests in progress with which most is served in time,
// if there is more demand than that. Where even the slowest pace of the last seconds
// keeps the pauses within their goal, it leaves all slots in use.
type Limiter struct {
	model   Model
	samples []sample
	// fitting and shifted compare the passes below and above shiftedPace.
	fitting, shifted comparison
	last             Observation
	lastAt           time.Time
	limit            float64 // as of limitAt; zero if there was none
	limitAt          time.Time
}

// comparison holds the passes that a model has predicted and those that were made.
type comparison struct {
	predicted, made float64
}

// correction returns the time of passes relative to what the model predicts.
func (c comparison) correction() float64 {
	correction := (c.predicted + assumedPasses) / (c.made + assumedPasses)
	return min(maxCorrection, max(minCorrection, correction))
}

// NewLimiter returns a limiter that has observed no pace.
func NewLimiter(m Model) *Limiter { return &Limiter{model: m} }

// Observe records what the reports show from now on. A group without requests makes no
// passes, and shows nothing. A slower pace than before holds for the reportDelay before it
// as well.
func (l *Limiter) Observe(o Observation, now time.Time) {
	l.compare(o, now)
	l.last, l.lastAt = o, now
	if o.RequestsPerRank <= 0 {
		return
	}
	for i := len(l.samples) - 1; i >= 0 && now.Sub(l.samples[i].at) <= reportDelay; i-- {
		l.samples[i].pace = max(l.samples[i].pace, o.Pace)
	}
	l.samples = append(l.samples, sample{now, o.Pace})
	for len(l.samples) > 2 && now.Sub(l.samples[1].at) >= historyTime {
		l.samples = l.samples[1:]
	}
}

// compare corrects the model by the passes that the group has made since the last
// observation. They show what the model does not know: contexts longer than usual, or
// copies of experts.
func (l *Limiter) compare(o Observation, now time.Time) {
	before, span := l.last, now.Sub(l.lastAt)
	idle := before.RequestsPerRank <= 0 || o.RequestsPerRank <= 0
	if idle || o.Passes < before.Passes || span > maxCompared {
		return
	}
	c := l.comparisonOf(before.Pace)
	decay := math.Exp(-float64(span) / float64(comparisonTime))
	requests := (before.RequestsPerRank + o.RequestsPerRank) / 2
	c.predicted = decay*c.predicted + float64(span)/float64(l.model.PassTime(requests, before.Pace))
	c.made = decay*c.made + float64(o.Passes-before.Passes)
}

func (l *Limiter) comparisonOf(pace float64) *comparison {
	if pace < shiftedPace {
		return &l.fitting
	}
	return &l.shifted
}

// PassTime predicts the time of a pass with the latest pace.
func (l *Limiter) PassTime(requestsPerRank float64) time.Duration {
	pace, _ := l.Pace()
	return l.passTime(requestsPerRank, pace)
}

func (l *Limiter) passTime(requestsPerRank, pace float64) time.Duration {
	return time.Duration(l.comparisonOf(pace).correction() * float64(l.model.PassTime(requestsPerRank, pace)))
}

// Pace returns the latest pace and the slowest one that is remembered; 1 if none is.
func (l *Limiter) Pace() (latest, slowest float64) {
	latest, slowest = 1, 1
	for _, s := range l.samples {
		latest, slowest = s.pace, max(slowest, s.pace)
	}
	return latest, slowest
}

// KnowsPace reports whether the pace of some time is known.
func (l *Limiter) KnowsPace() bool { return len(l.samples) >= 2 }

// Limit returns how many requests each rank may hold, on average over the group, so
// that pauses keep the goal. It returns no limit below the slots without a goal. Before
// the pace is known, it returns the limit of the former coordinator, if there is one.
func (l *Limiter) Limit(gapGoal time.Duration, slots int, now time.Time) float64 {
	if gapGoal > 0 && !l.KnowsPace() {
		return cmp.Or(l.limit, maxSlotShare*float64(slots))
	}
	limit := l.bestLimit(gapGoal, slots)
	if l.limit > 0 && limit > l.limit {
		limit = min(limit, l.limit*(1+maxRisePerS*now.Sub(l.limitAt).Seconds()))
	}
	l.limit, l.limitAt = limit, now
	return limit
}

// Inherit sets the limit that another coordinator has used until now; 0 if there is
// none. Without it, a group would take all requests at once after each change of its
// coordinator.
func (l *Limiter) Inherit(limit float64, now time.Time) { l.limit, l.limitAt = limit, now }

// bestLimit returns the limit with the highest value for the pace that is remembered.
func (l *Limiter) bestLimit(gapGoal time.Duration, slots int) float64 {
	highest := maxSlotShare * float64(slots)
	if gapGoal <= 0 {
		return highest
	}
	goal := time.Duration(goalShare * float64(gapGoal))
	best, bestValue := highest, 0.0
	for n := minSlotShare * float64(slots); n <= highest; n += limitStep {
		if value := l.value(n, goal); value >= (1-indifference)*bestValue {
			best, bestValue = n, max(value, bestValue)
		}
	}
	return best
}

// value returns the value of the responses per second and rank with n requests in
// progress at each rank, if the pace of the last seconds comes again. Streams begin
// evenly spread over that time, and those that would last beyond the present meet the
// oldest pace next.
func (l *Limiter) value(n float64, goal time.Duration) float64 {
	last := len(l.samples) - 1
	passTimes, passes := make([]time.Duration, last), make([]float64, last)
	made, total := 0.0, time.Duration(0)
	for i := range last {
		span := l.samples[i+1].at.Sub(l.samples[i].at)
		passTimes[i] = l.passTime(n, l.samples[i].pace)
		passes[i] = float64(span) / float64(passTimes[i])
		made += passes[i]
		total += span
	}
	if made == 0 {
		return 0
	}
	streams := 0.0
	for i := range last {
		longest, left := time.Duration(0), min(l.model.passes, made)
		for k := i; left > 0; k++ {
			longest = max(longest, passTimes[k%last])
			left -= passes[k%last]
		}
		streams += passes[i] / made * valueOfStream(longest, goal)
	}
	throughput := n * made / total.Seconds() / l.model.passes
	return throughput * streams
}

// valueOfStream returns the value of a stream by its longest pause.
func valueOfStream(longest, goal time.Duration) float64 {
	if longest <= goal {
		return 1
	}
	return lateValue * float64(goal) / float64(longest)
}
