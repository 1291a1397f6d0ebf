package experiment

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/skylarkstep/skylarkstep/balancer"
	"github.com/skylarkstep/skylarkstep/balancer/prefix"
)

func overloadSetup(s Scenario) Setup {
	return Setup{
		Scenario: s, Targets: 12, Entries: 6, Seed: 1,
		Policy: func(int) balancer.Builder { return prefix.Builder{} },
	}
}

// Guards against goodput that collapses under overload because the targets serve
// requests that miss their deadlines.
func TestGoodputAtThreeTimesCapacity(t *testing.T) {
	atCapacity := Run(overloadSetup(Scenario{Length: 30 * time.Second, Load: 1}))
	s := overloadSetup(Scenario{Length: 30 * time.Second, Load: 3})
	overloaded := Run(s)
	s.NoWaitLimit = true
	withoutWaitLimit := Run(s)
	t.Logf("goodput at capacity %.3f, at three times %.3f, without the wait limit %.3f", atCapacity.Goodput, overloaded.Goodput, withoutWaitLimit.Goodput)
	assert.Greater(t, overloaded.Goodput, 0.9*atCapacity.Goodput)
	assert.Less(t, withoutWaitLimit.Goodput, 0.7*atCapacity.Goodput)
}

// Guards against a large customer that uses up the share of the small ones.
func TestFloodDoesNotStarveSmallCustomers(t *testing.T) {
	s := overloadSetup(Scenario{
		Length: 30 * time.Second, Load: 0.5, Flood: 3, From: 14 * time.Second, To: 24 * time.Second,
	})
	fair := Run(s)
	s.NoFairness = true
	withoutFairness := Run(s)
	t.Logf("small customers served: %.3f with fair shares, %.3f without", fair.SmallCustomersServed, withoutFairness.SmallCustomersServed)
	assert.Greater(t, fair.SmallCustomersServed, 0.97)
	assert.Less(t, withoutFairness.SmallCustomersServed, 0.8)
}

// Guards against engines that are overloaded while a whole data centre warms up
// again, and against callers that are never served during that time.
func TestDataCentreWarmsTogether(t *testing.T) {
	s := overloadSetup(Scenario{
		Length: 40 * time.Second, Load: 0.6, DataCentreOut: true, From: 14 * time.Second, To: 20 * time.Second, ClientRetries: true,
	})
	withRamp := Run(s)
	s.NoRamp = true
	withoutRamp := Run(s)
	t.Logf("with the ramp: overloads %d, unserved %d of %d, longest wait %v", withRamp.Overloads, withRamp.Unserved, withRamp.Arrivals, withRamp.MaxWait)
	t.Logf("without: overloads %d, unserved %d of %d, longest wait %v", withoutRamp.Overloads, withoutRamp.Unserved, withoutRamp.Arrivals, withoutRamp.MaxWait)
	assert.Zero(t, withRamp.Overloads)
	assert.Zero(t, withRamp.Unserved)
	assert.Less(t, withRamp.MaxWait, 15*time.Second)
	assert.Positive(t, withoutRamp.Overloads)
}
