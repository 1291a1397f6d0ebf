package groupqueue

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/routing"
	"github.com/skylarkstep/skylarkstep/routing/concurrency"
)

// The replayed load: a group of 24 ranks with 10 slots each, whose expert load shifts
// every 3 s. It takes 1.4 s until the map fits again.
const (
	replayRanks, replaySlots   = 24, 10
	replayGapGoal              = 150 * time.Millisecond
	replayLatencyGoal          = 500 * time.Millisecond
	replayShift, replayMapTime = 3 * time.Second, 1400 * time.Millisecond
	replayReport               = 150 * time.Millisecond
	replayTick                 = 5 * time.Millisecond
	replayTime                 = 30 * time.Second
)

var replayEngine = routing.EngineTimes{
	StepsPerPass: 5, Step: 4550 * time.Microsecond, PerRequest: 1090 * time.Microsecond, PerContext: 22 * time.Microsecond,
	ReadTokensPerS: 61400, UsualPrompt: 868, UsualResponse: 97, ExpertShare: 0.85,
}

// replayedStream is a stream that some caller has asked for.
type replayedStream struct {
	askedAt, startedAt time.Duration
	kind               int // 0 is the most urgent
	events, got        int
	lastEventAt        time.Duration
	late, refused      bool
}

// replayGroup makes passes in which each stream in progress gets an event.
type replayGroup struct {
	model    concurrency.Model
	rng      *rand.Rand
	now      time.Duration
	passEnds time.Duration
	passes   uint64
	running  []*replayedStream
}

func (g *replayGroup) pace() float64 {
	if g.now%replayShift < replayMapTime {
		return g.model.Pace(2.6, 1)
	}
	return g.model.Pace(1.25, 1)
}

func (g *replayGroup) step() {
	if g.now < g.passEnds {
		return
	}
	remaining := g.running[:0]
	for _, s := range g.running {
		if s.startedAt >= g.passEnds {
			remaining = append(remaining, s) // begins with the next pass
			continue
		}
		first := s.got == 0
		s.late = s.late || first && g.now-s.askedAt > replayLatencyGoal || !first && g.now-s.lastEventAt > replayGapGoal
		s.got++
		s.lastEventAt = g.now
		if s.got < s.events {
			remaining = append(remaining, s)
		}
	}
	g.running = remaining
	g.passes++
	g.passEnds = g.now + g.model.PassTime(float64(len(g.running))/replayRanks, g.pace())
}

// replay plays a load whose rate grows by a factor in every other five seconds, and
// returns all streams. Without limits each stream starts when it is asked for, as long as
// a slot is free.
func replay(seed uint64, perSecond, burst float64, limited bool) []*replayedStream {
	return replayRate(seed, limited, func(now time.Duration) float64 {
		if kind := now / (5 * time.Second); kind%2 == 1 {
			return perSecond * burst
		}
		return perSecond
	})
}

// replayBurst plays a load with three times the usual rate from the fifth to the tenth
// second.
func replayBurst(seed uint64) []*replayedStream {
	return replayRate(seed, true, func(now time.Duration) float64 {
		if now >= 5*time.Second && now < 10*time.Second {
			return 180
		}
		return 60
	})
}

func replayRate(seed uint64, limited bool, rateAt func(now time.Duration) float64) []*replayedStream {
	model, _ := concurrency.NewModel(&replayEngine)
	g := &replayGroup{model: model, rng: rand.New(rand.NewPCG(seed, 7))}
	limiter, q := concurrency.NewLimiter(model), New()
	start := time.Unix(1000, 0)
	var all []*replayedStream
	byID := map[uint64]*replayedStream{}
	begin := func(s *replayedStream) {
		s.startedAt = g.now
		g.running = append(g.running, s)
	}
	decide := func(v Verdict) {
		s := byID[v.ID]
		if s.refused = !v.Granted; v.Granted {
			begin(s)
		}
	}
	for ; g.now < replayTime; g.now += replayTick {
		at := start.Add(g.now)
		g.step()
		if g.now%replayReport == 0 {
			n := float64(len(g.running))
			limiter.Observe(concurrency.Observation{Pace: g.pace(), RequestsPerRank: n / replayRanks, Passes: g.passes}, at)
			limit := replayRanks * limiter.Limit(replayGapGoal, replaySlots, at)
			pass, fullPass := limiter.PassTime(n/replayRanks), limiter.PassTime(limit/replayRanks)
			q.SetLoad(Load{
				AsOf: at, InProgress: n, Limit: limit, FirstPart: 2 * pass,
				Rate: n / model.ResponseTime(pass).Seconds(), FullRate: limit / model.ResponseTime(fullPass).Seconds(),
			}, at)
		}
		if limited {
			for _, v := range q.Next(at) {
				decide(v)
			}
		}
		for n := poisson(g.rng, rateAt(g.now)*replayTick.Seconds()); n > 0; n-- {
			s := &replayedStream{askedAt: g.now, kind: pickKind(g.rng), events: max(2, int(19.4*math.Exp(0.7*g.rng.NormFloat64()-0.245)))}
			all = append(all, s)
			id := uint64(len(all))
			byID[id] = s
			if !limited {
				if s.refused = len(g.running) >= replayRanks*replaySlots; !s.refused {
					begin(s)
				}
				continue
			}
			r := Request{Source: "instance", ID: id, Priority: Priority{Route: s.kind}, GoalBy: at.Add(replayLatencyGoal), LatestStart: at.Add(1500 * time.Millisecond)}
			if v, ok := q.Add(r, at); ok {
				decide(v)
			}
		}
	}
	return all
}

func pickKind(rng *rand.Rand) int {
	switch x := rng.Float64(); {
	case x < 0.36:
		return 0
	case x < 0.84:
		return 1
	default:
		return 2
	}
}

func poisson(rng *rand.Rand, mean float64) int {
	n, p := 0, math.Exp(-mean)
	for x := rng.Float64(); x > p; n++ {
		x *= rng.Float64()
	}
	return n
}

// shareInTime returns the share of the streams of a kind, or of all with -1, that were
// complete without being late.
func shareInTime(streams []*replayedStream, kind int) (inTime, served float64) {
	n := 0.0
	for _, s := range streams {
		if kind >= 0 && s.kind != kind || s.askedAt > replayTime-3*time.Second {
			continue
		}
		n++
		if s.got == s.events {
			served++
			if !s.late {
				inTime++
			}
		}
	}
	return inTime / n, served / n
}

// replayOverload plays a load that is a third more than the group can serve in time, in
// bursts of five seconds.
func replayOverload(seed uint64, limited bool) []*replayedStream {
	return replay(seed, 100, 1.3, limited)
}

// Guards against an overload that makes all callers late, the most urgent as well: without
// limit and queue, fewer than half of the streams of any kind are in time.
func TestOverloadLeavesUrgentCallersInTime(t *testing.T) {
	for seed := range uint64(5) {
		free, limited := replayOverload(seed, false), replayOverload(seed, true)
		for kind := range 2 {
			before, _ := shareInTime(free, kind)
			require.Less(t, before, 0.5, "seed %d: the load is no overload for kind %d", seed, kind)
		}
		urgent, _ := shareInTime(limited, 0)
		require.Greater(t, urgent, 0.8, "seed %d", seed)
		all, _ := shareInTime(limited, -1)
		allBefore, _ := shareInTime(free, -1)
		require.Greater(t, all, 2*allBefore, "seed %d", seed)
	}
}

// Guards against a less urgent kind that is served, or in time, more often than a more
// urgent one.
func TestOverloadKeepsTheOrderOfKinds(t *testing.T) {
	for seed := range uint64(5) {
		streams := replayOverload(seed, true)
		inTime, served := 1.0, 1.0
		for kind := range 3 {
			a, b := shareInTime(streams, kind)
			require.LessOrEqual(t, a, inTime+0.02, "seed %d, kind %d", seed, kind)
			require.LessOrEqual(t, b, served+0.02, "seed %d, kind %d", seed, kind)
			inTime, served = a, b
		}
	}
}

// Guards against a limit and a queue that cost callers something where there is room.
func TestLimitCostsNothingWithoutOverload(t *testing.T) {
	for seed := range uint64(5) {
		streams := replay(seed, 60, 1, true)
		inTime, served := shareInTime(streams, -1)
		require.Greater(t, served, 0.98, "seed %d", seed)
		require.Greater(t, inTime, 0.95, "seed %d", seed)
	}
}

// Guards against an overload that outlives its cause: ten seconds after a burst all
// callers are in time again.
func TestGroupRecoversAfterABurst(t *testing.T) {
	for seed := range uint64(5) {
		streams := replayBurst(seed)
		late, n := 0, 0
		for _, s := range streams {
			if s.askedAt < 20*time.Second || s.askedAt > replayTime-3*time.Second {
				continue
			}
			n++
			if s.late || s.refused {
				late++
			}
		}
		require.Less(t, float64(late), 0.05*float64(n), "seed %d", seed)
	}
}
