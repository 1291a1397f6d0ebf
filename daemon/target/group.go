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

// group is the part of a rank group that this target process runs.
type group struct {
	name   string
	engine engine.Group
	// checksFencing is set when the engine refuses lower fencing numbers itself.
	checksFencing bool
	incarnation   uint64

	mu       sync.Mutex
	gates    map[int]*expertmap.FencingGuard
	progress progress
}

func newGroup(name string, g engine.Group, checksFencing bool, incarnation uint64) *group {
	if g == nil {
		return nil
	}
	return &group{
		name: name, engine: g, checksFencing: checksFencing, incarnation: incarnation, gates: map[int]*expertmap.FencingGuard{},
	}
}

// handle passes a message to a rank. The lock is held until the engine has
// answered: a message of a lower fencing number must not overtake one that the
// gate has admitted, and reach the engine after it.
func (g *group) handle(ctx context.Context, m expertmap.Message) (expertmap.Message, error) {
	if g.checksFencing {
		return g.engine.Switch(ctx, m)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	gate := g.gates[m.Rank]
	if gate == nil {
		gate = &expertmap.FencingGuard{Incarnation: g.incarnation}
		g.gates[m.Rank] = gate
	}
	in, ok := gate.Admit(m)
	if !ok {
		return in, nil
	}
	answer, err := g.engine.Switch(ctx, in)
	if err != nil {
		if errkind.From(err).DidRun != errkind.NotRun {
			gate.ForgetGeneration()
		}
		return expertmap.Message{}, err
	}
	return gate.Reply(in, answer), nil
}

// HandleSwitch carries out an order that is a message of the switch protocol.
func (t *Target) HandleSwitch(o *wirepb.Order) *wirepb.OrderResult {
	t.node.Clock.Observe(timeline.Timestamp(o.GetHlc()))
	result := &wirepb.OrderResult{}
	answer, err := t.switchOrder(o)
	if err == nil {
		result.Result, err = json.Marshal(answer)
	}
	if err != nil {
		result.Reason = err.Error()
	} else {
		result.Accepted = answer.Kind != expertmap.Refused
		result.HighestFencing = answer.Fencing
	}
	return result
}

func (t *Target) switchOrder(o *wirepb.Order) (expertmap.Message, error) {
	var m expertmap.Message
	if t.group == nil || o.GetKind() != OrderSwitch || o.GetScope() != "group/"+t.group.name {
		return m, errkind.New(errkind.InvalidRequest, "target %s takes no order %s for %s", t.node.Name, o.GetKind(), o.GetScope())
	}
	if err := json.Unmarshal(o.GetArguments(), &m); err != nil {
		return m, errkind.Wrap(err, errkind.InvalidRequest, "arguments of the order")
	}
	if m.Fencing != o.GetFencing() {
		return m, errkind.New(errkind.InvalidRequest, "fencing number %d of the order is not the message's %d", o.GetFencing(), m.Fencing)
	}
	ctx, cancel := context.WithTimeout(context.Background(), groupOrderTimeout)
	defer cancel()
	return t.group.handle(ctx, m)
}

// progress follows the steps of a group. A probe that fails is a step that
// does not advance; time in which this process itself made no probe is not.
type progress struct {
	known    bool
	last     engine.GroupProgress
	unmoved  time.Duration
	reported bool
}

// observe takes one probe, made interval after the one before.
func (p *progress) observe(g engine.GroupProgress, err error, interval time.Duration) {
	moved := err == nil && (g.Idle || !p.known || g.Step != p.last.Step)
	if moved {
		p.unmoved = 0
	} else {
		p.unmoved += interval
	}
	if err == nil {
		p.last, p.known = g, true
	}
	p.reported = true
}

func (p *progress) report(name string) *wirepb.GroupReport {
	if !p.reported {
		return nil
	}
	return &wirepb.GroupReport{
		Group: name, Step: p.last.Step, MapVersion: p.last.MapVersion, Skew: p.last.Skew,
		Rebalancing: p.last.Rebalancing, LastStepAgeMs: uint64(p.unmoved.Milliseconds()),
	}
}

// watch probes the engine until ctx ends.
func (g *group) watch(ctx context.Context) {
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
		g.progress.observe(p, err, max(groupProbeInterval, time.Since(at)))
		g.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// report returns the group's part of a heartbeat; nil without a group.
func (g *group) report() *wirepb.GroupReport {
	if g == nil {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.progress.report(g.name)
}
