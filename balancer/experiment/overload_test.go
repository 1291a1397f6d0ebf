package experiment

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/skylarkstep/skylarkstep/balancer"
	"github.com/skylarkstep/skylarkstep/balancer/prefix"
)

func overload(s Scenario) Setup {
	return Setup{
		Scenario: s, Targets: 12, Entries: 6, Seed: 1,
		Policy: func(int) balancer.Builder { return prefix.Builder{} },
	}
}

// Guards against goodput that collapses beyond capacity because the targets work
// on requests that miss their deadlines.
func TestGoodputAtThreeTimesCapacity(t *testing.T) {
	at := Run(overload(Scenario{Length: 30 * time.Second, Load: 1}))
	s := overload(Scenario{Length: 30 * time.Second, Load: 3})
	beyond := Run(s)
	s.NoBound = true
	naive := Run(s)
	t.Logf("goodput at capacity %.3f, at three times %.3f, without the bound %.3f", at.Goodput, beyond.Goodput, naive.Goodput)
	assert.Greater(t, beyond.Goodput, 0.9*at.Goodput)
	assert.Less(t, naive.Goodput, 0.7*at.Goodput)
}

// Guards against a large customer that takes the share of the small ones.
func TestFloodDoesNotStarveSmallCustomers(t *testing.T) {
	s := overload(Scenario{
		Length: 30 * time.Second, Load: 0.5, Flood: 3, From: 14 * time.Second, To: 24 * time.Second,
	})
	fair := Run(s)
	s.NoFairness = true
	naive := Run(s)
	t.Logf("small customers served: %.3f with fair shares, %.3f without", fair.SmallGood, naive.SmallGood)
	assert.Greater(t, fair.SmallGood, 0.97)
	assert.Less(t, naive.SmallGood, 0.8)
}

// Guards against engines that fall over when their whole data centre comes back,
// and against callers that are never served meanwhile.
func TestDataCentreWarmsTogether(t *testing.T) {
	s := overload(Scenario{
		Length: 40 * time.Second, Load: 0.6, Leaves: true, From: 14 * time.Second, To: 20 * time.Second, Return: true,
	})
	guarded := Run(s)
	s.NoRamp = true
	naive := Run(s)
	t.Logf("with the ramp: overruns %d, unserved %d of %d, longest wait %v", guarded.Overruns, guarded.Unserved, guarded.Arrivals, guarded.MaxWait)
	t.Logf("without: overruns %d, unserved %d of %d, longest wait %v", naive.Overruns, naive.Unserved, naive.Arrivals, naive.MaxWait)
	assert.Zero(t, guarded.Overruns)
	assert.Zero(t, guarded.Unserved)
	assert.Less(t, guarded.MaxWait, 15*time.Second)
	assert.Positive(t, naive.Overruns)
}
