package fleet

import (
	"math/rand/v2"
	"slices"
	"time"
)

// injectFaults carries out the faults of the scenario.
func (f *Fleet) injectFaults() {
	rng := rand.New(rand.NewPCG(f.scenario.Seed, 3))
	for _, fault := range f.scenario.faultTimes() {
		time.Sleep(time.Until(f.start.Add(fault.at)))
		if f.ctx.Err() != nil {
			return
		}
		duration := milliseconds(fault.DurationMs)
		switch fault.Kind {
		case CrashTargets:
			for _, t := range f.pickTargets(rng, fault.Count) {
				t.crash("")
			}
		case LimitTargets:
			f.limitTargets(rng, fault.Fault)
		case Unframed:
			f.unframedPercent.Store(int64(fault.Percent))
			time.AfterFunc(duration, func() { f.unframedPercent.Store(0) })
		case BreakEvent:
			f.breakPercent.Store(int64(fault.Percent))
			time.AfterFunc(duration, func() { f.breakPercent.Store(0) })
		case CutGateways:
			f.cutGateways(rng, fault.Count, duration)
		case StopGateways:
			f.stopGateways(rng, fault.Count)
		case RestTargets:
			f.restTargets(rng, fault.Fault)
		case LeaveTargets:
			for _, t := range f.pickTargets(rng, fault.Count) {
				f.leave(t, duration)
			}
		case StoreDown:
			f.kv.SetStall(true)
			time.AfterFunc(duration, func() { f.kv.SetStall(false) })
		}
	}
}

// pickTargets returns running targets.
func (f *Fleet) pickTargets(rng *rand.Rand, count int) []*target {
	f.mu.Lock()
	defer f.mu.Unlock()
	var running []*target
	for _, t := range f.targets {
		t.mu.Lock()
		if !t.crashed {
			running = append(running, t)
		}
		t.mu.Unlock()
	}
	rng.Shuffle(len(running), func(i, j int) { running[i], running[j] = running[j], running[i] })
	return running[:min(count, len(running))]
}

func (f *Fleet) limitTargets(rng *rand.Rand, fault Fault) {
	free := slices.DeleteFunc(f.pickTargets(rng, f.scenario.Fleet.Targets), func(t *target) bool { return t.limit.Load() != nil })
	for _, t := range free[:min(fault.Count, len(free))] {
		t.mu.Lock()
		t.limitedAt = time.Now()
		t.mu.Unlock()
		t.limit.Store(&fault.Rate)
	}
}

// restTargets makes targets refuse all requests for a time.
func (f *Fleet) restTargets(rng *rand.Rand, fault Fault) {
	for _, t := range f.pickTargets(rng, fault.Count) {
		t.rest.Store(int64(milliseconds(fault.RestMs)))
		time.AfterFunc(milliseconds(fault.DurationMs), func() { t.rest.Store(0) })
	}
}

// leave makes a target say that it leaves. It ends after some time, when its
// successor has started; its entry never says that it leaves.
func (f *Fleet) leave(t *target, after time.Duration) {
	t.leaves.Store(true)
	time.AfterFunc(after/2, f.startTarget)
	time.AfterFunc(after, func() {
		f.remove(targetPrefix + t.id)
		t.mu.Lock()
		t.crashed = true
		t.mu.Unlock()
		t.close()
	})
}

func (f *Fleet) excuse(m *member, from, to time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.excused = append(f.excused, excuse{m.id, from, to.Add(f.scenario.contact())})
}

func (f *Fleet) pickMembers(rng *rand.Rand, count int) []*member {
	f.mu.Lock()
	defer f.mu.Unlock()
	found := make([]*member, 0, count)
	for _, i := range rng.Perm(len(f.members))[:min(count, len(f.members))] {
		found = append(found, f.members[i])
	}
	return found
}

func (f *Fleet) cutGateways(rng *rand.Rand, count int, duration time.Duration) {
	now := time.Now()
	for _, m := range f.pickMembers(rng, count) {
		f.excuse(m, now, now.Add(duration))
		m.cut.Store(true)
		m.peers.closeAll()
		time.AfterFunc(duration, func() { m.cut.Store(false) })
	}
}

// stopGateways stops gateways in order and starts each again under its id.
func (f *Fleet) stopGateways(rng *rand.Rand, count int) {
	for _, m := range f.pickMembers(rng, count) {
		go func() {
			from := time.Now()
			f.excuse(m, from, from.Add(stopTimeout))
			m.stop()
			select {
			case <-m.ended:
			case <-f.ctx.Done():
				return
			}
			next, err := f.startMember(m.id)
			if err != nil {
				f.fail("start %s again: %v", m.id, err)
				return
			}
			f.excuse(next, from, time.Now())
			f.mu.Lock()
			defer f.mu.Unlock()
			for i := range f.members {
				if f.members[i] == m {
					f.members[i] = next
				}
			}
		}()
	}
}
