package main

import (
	"errors"
	"sync"
	"syscall"
	"time"
)

func groupConfig(host string) map[string]any {
	return map[string]any{
		"version": 10,
		"routes": []map[string]any{
			{"name": "slot-chat", "host": host, "prefix": "/chat/", "kind": "streaming", "timeoutMs": 8000, "targetLatencyMs": 400, "targetGapMs": 120, "priority": 1, "service": "pintor-lm", "maxAttempts": 2, "streamResume": true, "sticky": true},
		},
		"services": []map[string]any{{"name": "pintor-lm", "healthPath": "/health", "maxConnections": 408, "coldStartS": 3, "coldPerS": 36,
			"engine": map[string]any{"sets": groupSets, "experts": groupExperts, "placements": groupPlaces, "spare": groupSpare, "expertMb": 780}}},
		"limits": limits,
	}
}

// playReusedVersion plays orders that are carried out late, and a freeze of the
// coordinator's machine that ends between the end of its term and that of its lease.
func playReusedVersion(d *deployment, trouble bool) (int, error) {
	g, err := d.startRanks(3)
	if err != nil {
		return notRun, err
	}
	time.Sleep(4 * time.Second)
	var mu sync.Mutex
	var firstPrepare time.Time
	lastVersion := uint64(0)
	g.mu.Lock()
	g.onOrder = func(_ *rank, op string, version, _ uint64, _ bool) {
		mu.Lock()
		defer mu.Unlock()
		if op == "prepare" && version > lastVersion {
			lastVersion, firstPrepare = version, time.Now()
		}
	}
	g.mu.Unlock()
	tries := 0
	for start := time.Now(); time.Since(start) < caseTime; {
		c, renewed := d.coordinator(g.name)
		if c == nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		// The load changes some time after a renewal.
		time.Sleep(time.Until(renewed.Add(330 * time.Millisecond)))
		if trouble {
			g.setLate(lateShare)
		}
		mu.Lock()
		firstPrepare = time.Time{}
		mu.Unlock()
		g.setWeights()
		lateFrom := d.record.add("experts-shift", "coordinator", c.name)
		var planned time.Time
		for time.Since(lateFrom) < 1500*time.Millisecond {
			mu.Lock()
			planned = firstPrepare
			mu.Unlock()
			if !planned.IsZero() {
				break
			}
			time.Sleep(time.Millisecond)
		}
		if !planned.IsZero() && trouble {
			holder, renewed := d.coordinator(g.name)
			since := planned.Add(105 * time.Millisecond).Sub(renewed)
			if holder == c && since > 550*time.Millisecond && since < 780*time.Millisecond {
				tries++
				time.Sleep(time.Until(planned.Add(105 * time.Millisecond)))
				c.signal(syscall.SIGSTOP)
				d.record.add("freeze", "process", c.name, "since-renewal-ms", since.Milliseconds())
				time.Sleep(time.Until(renewed.Add(2150 * time.Millisecond)))
				c.signal(syscall.SIGCONT)
				d.record.add("wake", "process", c.name)
			}
		}
		time.Sleep(time.Until(lateFrom.Add(lateTime)))
		g.setLate(0)
		if g.isBroken() {
			break
		}
		time.Sleep(4500 * time.Millisecond)
	}
	return g.outcome(tries)
}

// startRanks starts a group of ranks, the processes beside them and some gateways.
func (d *deployment) startRanks(gateways int) (*group, error) {
	if err := d.put("op/config", groupConfig(d.host)); err != nil {
		return nil, err
	}
	g, err := d.startGroup("g-1")
	if err != nil {
		return nil, err
	}
	for _, r := range g.ranks {
		a, err := d.addAgent(r)
		if err == nil {
			err = a.start()
		}
		if err != nil {
			return nil, err
		}
	}
	return g, d.startGateways(gateways)
}

// outcome tells whether all ranks had one map in each pass.
func (g *group) outcome(freezes int) (int, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.d.record.result("%d passes, %d freezes, last map %d; %d passes began while two ranks had different maps", g.step, freezes, g.ranks[0].version, g.broken)
	switch {
	case g.broken > 0:
		return broken, nil
	case g.step < 500 || g.ranks[0].version == 0:
		return notRun, errors.New("the group has not switched its map")
	}
	return held, nil
}

// setLate sets the share of the orders that get no answer and are carried out late.
func (g *group) setLate(share float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.late = share
}

// isBroken reports whether a pass has begun while two ranks had different maps.
func (g *group) isBroken() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.broken > 0
}

const (
	// lateShare and lateTime are those of the site's applied_late.
	lateShare = 0.35
	lateTime  = 5500 * time.Millisecond
	// caseTime is how long a case goes on if the rule holds.
	caseTime = 95 * time.Second
)

// shortFreezes stops the coordinator for a short time while its queries to the ranks are
// in progress, once for each plan at the most.
type shortFreezes struct {
	d  *deployment
	mu sync.Mutex
	// coordinator is the process to stop, and version the latest map that was planned.
	coordinator *process
	version     uint64
	plannedAt   time.Time // zero once the process was stopped
	pauseUntil  time.Time
	count       int
}

const (
	shortFreeze = 300 * time.Millisecond
	// copyingTime is how long after the first prepare order the freeze begins at least;
	// the ranks copy experts then.
	copyingTime = 60 * time.Millisecond
	// inFlightTime is how long after the first query of a round the freeze begins.
	inFlightTime = 3 * time.Millisecond
	freezePause  = time.Second
)

func (f *shortFreezes) setCoordinator(p *process) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.coordinator = p
}

func (f *shortFreezes) observeOrder(op string, version uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if op == "prepare" && version > f.version {
		f.version, f.plannedAt = version, time.Now()
	}
}

func (f *shortFreezes) observeQuery() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if f.plannedAt.IsZero() || now.Sub(f.plannedAt) < copyingTime || now.Before(f.pauseUntil) || f.coordinator == nil {
		return
	}
	p := f.coordinator
	f.plannedAt, f.pauseUntil = time.Time{}, now.Add(shortFreeze+freezePause)
	time.Sleep(inFlightTime)
	p.signal(syscall.SIGSTOP)
	f.count++
	f.d.record.add("freeze", "process", p.name, "ms", shortFreeze.Milliseconds())
	time.AfterFunc(shortFreeze, func() {
		p.signal(syscall.SIGCONT)
		f.d.record.add("wake", "process", p.name)
	})
}

// playStaleReports plays orders that are carried out late, and short freezes of the
// coordinator's machine while its queries are in progress.
func playStaleReports(d *deployment, trouble bool) (int, error) {
	const calmTime = time.Second
	g, err := d.startRanks(3)
	if err != nil {
		return notRun, err
	}
	time.Sleep(4 * time.Second)
	freezes := &shortFreezes{d: d}
	if trouble {
		g.mu.Lock()
		g.onReport = freezes.observeQuery
		g.onOrder = func(_ *rank, op string, version, _ uint64, _ bool) { freezes.observeOrder(op, version) }
		g.mu.Unlock()
	}
	var shiftedAt, lateFrom time.Time
	for start := time.Now(); time.Since(start) < caseTime && !g.isBroken(); time.Sleep(20 * time.Millisecond) {
		c, _ := d.coordinator(g.name)
		freezes.setCoordinator(c)
		if time.Since(shiftedAt) > shiftInterval {
			shiftedAt = time.Now()
			g.setWeights()
		}
		switch since := time.Since(lateFrom); {
		case trouble && since > lateTime+calmTime:
			lateFrom = time.Now()
			g.setLate(lateShare)
		case since > lateTime:
			g.setLate(0)
		}
	}
	time.Sleep(300 * time.Millisecond)
	return g.outcome(freezes.count)
}
