package expertmap

import (
	"encoding/binary"
	"fmt"
	"slices"
)

// node is one rank with its fencing guard.
type node struct {
	guard FencingGuard
	rank  Rank
}

// usedMap is a map that a rank used in a step.
type usedMap struct {
	generation Generation
	step       uint64
	id         MapID
}

// modelState is one state of the model. A request stays in the network once
// sent, so it may be late, lost (never delivered) or delivered any number of
// times. A reply is handled at once, is lost, or, within a budget, is kept and
// handled at any later time. A coordinator may make no further progress, so it
// may exit or pause at any point. Replies contain no step numbers because a
// coordinator uses them only to number the steps of a new generation.
type modelState struct {
	nodes       []node
	coords      []Coordinator
	started     []bool
	network     []uint16
	lateReplies []Message
	usedMaps    []usedMap
	lastStep    uint64 // last step that ranks enter
	budget      budget
}

// budget limits the events that would make the model infinite.
type budget struct {
	crashes, changes, late uint8
	kind                   crashKind
}

// crashKind selects which parts lose their state in a crash.
type crashKind uint8

const (
	crashRank crashKind = iota
	crashGuard
	crashBoth
)

// safeguards are the parts of the protocol that the tests of the checker switch
// off.
type safeguards struct{ confirmation, fencing, incarnation, halt bool }

var allSafeguards = safeguards{true, true, true, true}

const (
	modelSwitchStep = 1 // step of the switch in the model
	modelLastStep   = 2 // last step that ranks enter in the exhaustive model
)

var oldMap = MapID{Version: 1, Digest: 11}

func newModelState(ranks int, b budget) *modelState {
	w := &modelState{budget: b, started: []bool{true, false}, lastStep: modelLastStep}
	for i := range ranks {
		r := Rank{id: i, incarnation: 1, status: Status{
			Running: true, Generation: Generation{1, 1}, Map: oldMap, HighestVersion: 1,
		}}
		w.nodes = append(w.nodes, node{guard: FencingGuard{highestFencing: 1, round: 1, startedGeneration: Generation{1, 1}}, rank: r})
	}
	first := NewCoordinator(1, ranks, oldMap)
	for i := range w.nodes {
		first.Handle(w.nodes[i].rank.Handle(first.message(Query, i)))
	}
	w.coords = []Coordinator{*first, *NewCoordinator(2, ranks, oldMap)}
	return w
}

// clone returns a copy that shares all parts that are replaced as a whole when
// they change.
func (w *modelState) clone() *modelState {
	n := *w
	n.nodes = slices.Clone(w.nodes)
	return &n
}

// ownCoordinator returns a coordinator that this state does not share with its
// clones.
func (w *modelState) ownCoordinator(i int) *Coordinator {
	w.coords = slices.Clone(w.coords)
	w.coords[i].views = slices.Clone(w.coords[i].views)
	return &w.coords[i]
}

// deliver passes a request to its rank and returns the reply.
func (w *modelState) deliver(m Message, g safeguards) Message {
	n := &w.nodes[m.Rank]
	if !g.fencing {
		n.guard.highestFencing, n.guard.round = 0, 0
	}
	if !g.incarnation {
		m.Incarnation = n.rank.incarnation ^ n.guard.Incarnation
	}
	in, ok := n.guard.Admit(m)
	if !ok {
		return in
	}
	a := n.guard.Reply(in, n.rank.Handle(in))
	a.Status.Step = 0
	return a
}

// mayEnter is the barrier between steps: it reports whether all ranks run in
// the generation of this rank and have entered the step that this rank leaves.
func (w *modelState) mayEnter(i int) bool {
	s := w.nodes[i].rank.status
	for _, n := range w.nodes {
		o := n.rank.status
		if !o.Running || o.Generation != s.Generation || o.Step < s.Step {
			return false
		}
	}
	return s.Step < w.lastStep
}

func (w *modelState) enter(i int) error {
	r := &w.nodes[i].rank
	id, ok := r.EnterNextStep()
	if !ok {
		return nil
	}
	u := usedMap{r.status.Generation, r.status.Step, id}
	for _, o := range w.usedMaps {
		if o.generation == u.generation && o.step == u.step && o.id != u.id {
			return fmt.Errorf("step %d of generation %v: rank %d uses map %v, another rank map %v",
				u.step, u.generation, i, u.id, o.id)
		}
	}
	if !slices.Contains(w.usedMaps, u) {
		w.usedMaps = append(slices.Clip(w.usedMaps), u)
	}
	return nil
}

// crash restarts the rank, its fencing guard or both, with an incarnation that
// was not used before.
func (w *modelState) crash(i int) {
	n := &w.nodes[i]
	w.budget.crashes--
	if w.budget.kind != crashRank {
		n.guard = FencingGuard{Incarnation: n.guard.Incarnation + 16}
	}
	if w.budget.kind != crashGuard {
		n.rank = NewRank(i, n.rank.incarnation+1)
	}
}

// explorer assigns numbers to messages and parts of states, so that states can
// be compared.
type explorer struct {
	safeguards     safeguards
	messages       []Message
	messageNumbers map[Message]uint32
	nodeNumbers    map[node]uint32
	viewNumbers    map[view]uint32
	usedMapNumbers map[usedMap]uint32
	pendingNumbers map[Message]uint32
}

func newExplorer(g safeguards) *explorer {
	return &explorer{
		safeguards: g, messageNumbers: map[Message]uint32{}, nodeNumbers: map[node]uint32{},
		viewNumbers: map[view]uint32{}, usedMapNumbers: map[usedMap]uint32{}, pendingNumbers: map[Message]uint32{},
	}
}

func (x *explorer) send(w *modelState, messages []Message) {
	for _, m := range messages {
		id := uint16(intern(x.messageNumbers, m))
		if int(id) == len(x.messages) {
			x.messages = append(x.messages, m)
		}
		if at, ok := slices.BinarySearch(w.network, id); !ok {
			w.network = slices.Insert(slices.Clip(w.network), at, id)
		}
	}
}

// handleReply passes a reply to its coordinator.
func (x *explorer) handleReply(w *modelState, c int, m Message) {
	x.send(w, w.ownCoordinator(c).Handle(m))
}

// hasNoEffect reports whether a request can't have an effect any more: its
// sender ignores the reply, and its rank has another incarnation, or a guard
// that refuses the request and can't restart.
func (x *explorer) hasNoEffect(w *modelState, m Message) bool {
	n, c := &w.nodes[m.Rank], &w.coords[m.Fencing-1]
	if c.phase != Superseded && c.round == m.Round {
		return false
	}
	older := m.Fencing < n.guard.highestFencing || (m.Fencing == n.guard.highestFencing && m.Round < n.guard.round)
	if x.safeguards.fencing && older && w.budget.crashes == 0 && (c.phase == Superseded || m.Fencing == n.guard.highestFencing) {
		return true
	}
	return x.safeguards.incarnation && m.Kind != Query && m.Incarnation != n.rank.incarnation^n.guard.Incarnation
}

func (x *explorer) prune(w *modelState) {
	if slices.ContainsFunc(w.network, func(id uint16) bool { return x.hasNoEffect(w, x.messages[id]) }) {
		w.network = slices.DeleteFunc(slices.Clone(w.network), func(id uint16) bool { return x.hasNoEffect(w, x.messages[id]) })
	}
	w.lateReplies = slices.DeleteFunc(slices.Clone(w.lateReplies), func(m Message) bool {
		c := &w.coords[m.Rank>>8]
		return c.phase == Superseded || c.round != m.Round
	})
}

// deliveries visits the states that follow from delivering each request and
// late reply.
func (x *explorer) deliveries(w *modelState, visit func(*modelState, error)) {
	for _, id := range w.network {
		m := x.messages[id]
		c := int(m.Fencing - 1)
		lost := w.clone()
		reply := lost.deliver(m, x.safeguards)
		if lost.nodes[m.Rank] != w.nodes[m.Rank] {
			visit(lost, nil)
		}
		if w.coords[c].phase == Superseded || (reply.Kind == Report && w.coords[c].round != reply.Round) {
			continue
		}
		handled := lost.clone()
		x.handleReply(handled, c, reply)
		visit(handled, nil)
		if lost.budget.late > 0 {
			kept := lost.clone()
			kept.budget.late--
			reply.Rank |= c << 8
			kept.lateReplies = append(slices.Clip(kept.lateReplies), reply)
			visit(kept, nil)
		}
	}
	for _, m := range w.lateReplies {
		n := w.clone()
		c := m.Rank >> 8
		m.Rank &= 255
		x.handleReply(n, c, m)
		visit(n, nil)
	}
}

// successors calls visit with every state that one event leads to.
func (x *explorer) successors(w *modelState, visit func(*modelState, error)) {
	x.deliveries(w, visit)
	for i := range w.nodes {
		if id, ok := w.nodes[i].rank.MapToLoad(); ok {
			n := w.clone()
			n.nodes[i].rank.MapLoaded(id)
			visit(n, nil)
		}
		if w.mayEnter(i) {
			n := w.clone()
			err := n.enter(i)
			visit(n, err)
		}
		if w.budget.crashes > 0 {
			n := w.clone()
			n.crash(i)
			visit(n, nil)
		}
	}
	x.coordinatorEvents(w, visit)
}

func (x *explorer) coordinatorEvents(w *modelState, visit func(*modelState, error)) {
	for i := range w.coords {
		switch {
		case !w.started[i]:
			n := w.clone()
			n.started = []bool{true, true}
			x.send(n, n.coords[i].Resend())
			visit(n, nil)
		case w.coords[i].phase == Idle && w.budget.changes > 0:
			n := w.clone()
			n.budget.changes--
			x.send(n, n.ownCoordinator(i).Propose(22, modelSwitchStep))
			visit(n, nil)
		case w.coords[i].phase == Preparing:
			n := w.clone()
			x.send(n, n.ownCoordinator(i).AbortSwitch())
			visit(n, nil)
		}
		n := w.clone()
		if x.skipWait(n, i) {
			visit(n, nil)
		}
	}
}

// skipWait lets a coordinator proceed without the replies that a switched-off
// safeguard would make it wait for.
func (x *explorer) skipWait(w *modelState, i int) bool {
	phase, g := w.coords[i].phase, x.safeguards
	if (phase != Preparing || g.confirmation) && (phase != Halting || g.halt) {
		return false
	}
	c := w.ownCoordinator(i)
	for k := range c.views {
		c.views[k].phaseDone = true
	}
	x.send(w, c.advancePhase())
	return true
}

func intern[T comparable](m map[T]uint32, v T) uint32 {
	n, ok := m[v]
	if !ok {
		n = uint32(len(m))
		m[v] = n
	}
	return n
}

// stateKey returns the canonical form of a state. Ranks are interchangeable,
// and all that is not global belongs to one rank, so the parts of the ranks are
// sorted.
func (x *explorer) stateKey(w *modelState) string {
	x.prune(w)
	b := []byte{w.budget.crashes, w.budget.changes, w.budget.late}
	for i, c := range w.coords {
		started := byte(0)
		if w.started[i] {
			started = 1
		}
		b = append(b, started, byte(c.phase), byte(c.round), byte(c.formations), byte(c.currentSwitch.Map.Version),
			byte(c.currentSwitch.Step), byte(c.generation.Fencing), byte(c.generation.Number), byte(c.highestVersion))
	}
	parts := make([]string, len(w.nodes))
	for i := range w.nodes {
		parts[i] = x.rankKey(w, i)
	}
	slices.Sort(parts)
	for _, p := range parts {
		b = append(b, p...)
	}
	var ids []uint32
	for _, u := range w.usedMaps {
		ids = append(ids, intern(x.usedMapNumbers, u))
	}
	return string(appendSet(b, ids))
}

func (x *explorer) rankKey(w *modelState, i int) string {
	n := w.nodes[i]
	n.rank.id = 0
	b := binary.AppendUvarint(nil, uint64(intern(x.nodeNumbers, n)))
	for _, c := range w.coords {
		b = binary.AppendUvarint(b, uint64(intern(x.viewNumbers, c.views[i])))
	}
	var ids []uint32
	for _, id := range w.network {
		if m := x.messages[id]; m.Rank == i {
			m.Rank = 0
			ids = append(ids, intern(x.pendingNumbers, m))
		}
	}
	for _, m := range w.lateReplies {
		if m.Rank&255 == i {
			m.Rank &^= 255
			ids = append(ids, intern(x.pendingNumbers, m))
		}
	}
	return string(appendSet(b, ids))
}

func appendSet(b []byte, ids []uint32) []byte {
	slices.Sort(ids)
	b = append(b, byte(len(ids)))
	for _, id := range ids {
		b = binary.AppendUvarint(b, uint64(id))
	}
	return b
}

// explore visits all states breadth first, up to a limit. It returns their
// number, whether these are all states, and the first violation.
func explore(start *modelState, g safeguards, limit int, onState func(*explorer, *modelState)) (states int, complete bool, err error) {
	x := newExplorer(g)
	seen := map[string]struct{}{x.stateKey(start): {}}
	queue := []*modelState{start}
	for len(queue) > 0 && err == nil {
		w := queue[0]
		queue[0], queue = nil, queue[1:]
		if onState != nil {
			onState(x, w)
		}
		x.successors(w, func(n *modelState, violation error) {
			if violation != nil && err == nil {
				err = violation
			}
			k := x.stateKey(n)
			if _, ok := seen[k]; !ok && len(seen) < limit {
				seen[k] = struct{}{}
				queue = append(queue, n)
			}
		})
	}
	return len(seen), len(seen) < limit, err
}
