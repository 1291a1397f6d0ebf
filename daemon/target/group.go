package target

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/skylarkstep/skylarkstep/engine"
	"github.com/skylarkstep/skylarkstep/errkind"
	"github.com/skylarkstep/skylarkstep/expertmap"
	"github.com/skylarkstep/skylarkstep/timeline"
	"github.com/skylarkstep/skylarkstep/wire/wirepb"
)

// OrderSwitch is the kind of an order that carries a message of the switch
// protocol; its scope is "group/" and the group's name.
const OrderSwitch = "group.switch"

const (
	groupOrderTimeout  = 2 * time.Second
	groupProbeInterval = 250 * time.Millisecond
)

// group is the part of a rank group that this target process runs. In the
// switch protocol, ranks pause before the held step of a change of expert map.
type group struct {
	name   string
	engine engine.Group
	// checksFencing is set when the engine itself refuses messages with a lower
	// fencing number.
	checksFencing bool
	incarnation   uint64

	mu       sync.Mutex
	guards   map[int]*expertmap.FencingGuard // by rank; unused if checksFencing is set
	progress progress
}

func newGroup(name string, g engine.Group, checksFencing bool, incarnation uint64) *group {
	if g == nil {
		return nil
	}
	return &group{
		name: name, engine: g, checksFencing: checksFencing, incarnation: incarnation, guards: map[int]*expertmap.FencingGuard{},
	}
}

// handleMessage passes a message to a rank and returns the reply. It holds the
// lock until the engine has replied. Otherwise a message with a lower fencing
// number, admitted first, could reach the engine after one with a higher number.
func (g *group) handleMessage(ctx context.Context, m expertmap.Message) (expertmap.Message, error) {
	if g.checksFencing {
		return g.engine.Switch(ctx, m)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	guard := g.guards[m.Rank]
	if guard == nil {
		guard = &expertmap.FencingGuard{Incarnation: g.incarnation}
		g.guards[m.Rank] = guard
	}
	in, ok := guard.Admit(m)
	if !ok {
		return in, nil
	}
	reply, err := g.engine.Switch(ctx, in)
	if err != nil {
		if errkind.From(err).DidRun != errkind.NotRun {
			guard.ForgetGeneration()
		}
		return expertmap.Message{}, err
	}
	return guard.Reply(in, reply), nil
}

// HandleSwitch carries out an order that is a message of the switch protocol.
func (t *Target) HandleSwitch(o *wirepb.Order) *wirepb.OrderResult {
	t.node.Clock.Observe(timeline.Timestamp(o.GetHlc()))
	result := &wirepb.OrderResult{}
	reply, err := t.switchOrder(o)
	if err == nil {
		result.Result, err = json.Marshal(reply)
	}
	if err != nil {
		result.Reason = err.Error()
	} else {
		result.Accepted = reply.Kind != expertmap.Refused
		result.HighestFencing = reply.Fencing
	}
	return result
}

func (t *Target) switchOrder(o *wirepb.Order) (expertmap.Message, error) {
	var m expertmap.Message
	if t.group == nil || o.GetKind() != OrderSwitch || o.GetScope() != "group/"+t.group.name {
		return m, errkind.New(errkind.InvalidRequest, "target %s does not accept order %s for %s", t.node.Name, o.GetKind(), o.GetScope())
	}
	if err := json.Unmarshal(o.GetArguments(), &m); err != nil {
		return m, errkind.Wrap(err, errkind.InvalidRequest, "decode the arguments of the order")
	}
	if m.Fencing != o.GetFencing() {
		return m, errkind.New(errkind.InvalidRequest, "order has fencing number %d, but its message has %d", o.GetFencing(), m.Fencing)
	}
	ctx, cancel := context.WithTimeout(context.Background(), groupOrderTimeout)
	defer cancel()
	return t.group.handleMessage(ctx, m)
}

// progress tracks how long a group has made no step. A failed probe counts as
// time without a step. Time in which this process made no probe does not count.
type progress struct {
	hasLast   bool                 // whether a probe has succeeded
	last      engine.GroupProgress // of the last successful probe
	sinceStep time.Duration        // time without a step, as far as it was probed
	probed    bool                 // whether any probe was made
}

// addProbe records the result of a probe made one interval after the previous
// one.
func (p *progress) addProbe(g engine.GroupProgress, err error, interval time.Duration) {
	advanced := err == nil && (g.Idle || !p.hasLast || g.Step != p.last.Step)
	if advanced {
		p.sinceStep = 0
	} else {
		p.sinceStep += interval
	}
	if err == nil {
		p.last, p.hasLast = g, true
	}
	p.probed = true
}

func (p *progress) report(name string) *wirepb.GroupReport {
	if !p.probed {
		return nil
	}
	return &wirepb.GroupReport{
		Group: name, Step: p.last.Step, MapVersion: p.last.MapVersion, Skew: p.last.Skew,
		Rebalancing: p.last.Rebalancing, LastStepAgeMs: uint64(p.sinceStep.Milliseconds()),
	}
}

// pollProgress probes the engine's progress until ctx ends.
func (g *group) pollProgress(ctx context.Context) {
	if g == nil {
		return
	}
	tick := time.NewTicker(groupProbeInterval)
	defer tick.Stop()
	for {
		probe, cancel := context.WithTimeout(ctx, groupOrderTimeout)
		at := time.Now()
		p, err := g.engine.Progress(probe)
		cancel()
		g.mu.Lock()
		g.progress.addProbe(p, err, max(groupProbeInterval, time.Since(at)))
		g.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// report returns the group's part of a heartbeat, or nil without a group.
func (g *group) report() *wirepb.GroupReport {
	if g == nil {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.progress.report(g.name)
}
