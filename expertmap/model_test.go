package expertmap

import (
	"encoding/binary"
	"fmt"
	"slices"
)

// node is one rank with its gate.
type node struct {
	gate FencingGuard
	rank Rank
}

// used records which map the ranks used in a step.
type used struct {
	generation Generation
	step       uint64
	id         MapID
}

// world is one state of the model. A request stays in the network once sent, so
// it may be late, lost (never delivered) or delivered any number of times. An
// answer is handled at once, is lost, or, within a budget, is kept and handled
// at any later time. A coordinator may take no further step, so it may die or
// pause at any point. Answers carry no step numbers: a coordinator uses them
// only to number the steps of a new generation.
type world struct {
	nodes   []node
	coords  []Coordinator
	started []bool
	net     []uint16
	late    []Message
	used    []used
	last    uint64 // last step that ranks enter
	budget  budget
}

// budget bounds the events that would make the model infinite.
type budget struct {
	crashes, changes, late uint8
	kind                   crashKind
}

// crashKind says what loses its memory in a crash.
type crashKind uint8

const (
	crashRank crashKind = iota
	crashGate
	crashBoth
)

// guards are the parts of the protocol that the tests of the checker remove.
type guards struct{ confirmation, fence, incarnation, halt bool }

var allGuards = guards{true, true, true, true}

const (
	modelStart = 1 // step of the switch in the model
	modelSteps = 2 // last step that ranks enter in the exhaustive model
)

var oldMap = MapID{Version: 1, Digest: 11}

func newWorld(ranks int, b budget) *world {
	w := &world{budget: b, started: []bool{true, false}, last: modelSteps}
	for i := range ranks {
		r := Rank{id: i, incarnation: 1, status: Status{
			Running: true, Generation: Generation{1, 1}, Map: oldMap, HighestVersion: 1,
		}}
		w.nodes = append(w.nodes, node{gate: FencingGuard{highest: 1, round: 1, formed: Generation{1, 1}}, rank: r})
	}
	first := NewCoordinator(1, ranks, oldMap)
	for i := range w.nodes {
		first.Handle(w.nodes[i].rank.Handle(first.message(Query, i)))
	}
	w.coords = []Coordinator{*first, *NewCoordinator(2, ranks, oldMap)}
	return w
}

// clone shares what is replaced as a whole when it changes.
func (w *world) clone() *world {
	n := *w
	n.nodes = slices.Clone(w.nodes)
	return &n
}

// coord returns a coordinator of its own for this world.
func (w *world) coord(i int) *Coordinator {
	w.coords = slices.Clone(w.coords)
	w.coords[i].views = slices.Clone(w.coords[i].views)
	return &w.coords[i]
}

// deliver gives a request to its rank and returns the answer.
func (w *world) deliver(m Message, g guards) Message {
	n := &w.nodes[m.Rank]
	if !g.fence {
		n.gate.highest, n.gate.round = 0, 0
	}
	if !g.incarnation {
		m.Incarnation = n.rank.incarnation ^ n.gate.Incarnation
	}
	in, ok := n.gate.Admit(m)
	if !ok {
		return in
	}
	a := n.gate.Reply(in, n.rank.Handle(in))
	a.Status.Step = 0
	return a
}

// mayEnter is the barrier: all ranks are in the generation and have entered the
// step that this rank leaves.
func (w *world) mayEnter(i int) bool {
	s := w.nodes[i].rank.status
	for _, n := range w.nodes {
		o := n.rank.status
		if !o.Running || o.Generation != s.Generation || o.Step < s.Step {
			return false
		}
	}
	return s.Step < w.last
}

func (w *world) enter(i int) error {
	r := &w.nodes[i].rank
	id, ok := r.EnterNextStep()
	if !ok {
		return nil
	}
	u := used{r.status.Generation, r.status.Step, id}
	for _, o := range w.used {
		if o.generation == u.generation && o.step == u.step && o.id != u.id {
			return fmt.Errorf("step %d of generation %v: rank %d uses map %v, another rank map %v",
				u.step, u.generation, i, u.id, o.id)
		}
	}
	if !slices.Contains(w.used, u) {
		w.used = append(slices.Clip(w.used), u)
	}
	return nil
}

// crash restarts the rank, its gate, or both. The new incarnation is new to all.
func (w *world) crash(i int) {
	n := &w.nodes[i]
	w.budget.crashes--
	if w.budget.kind != crashRank {
		n.gate = FencingGuard{Incarnation: n.gate.Incarnation + 16}
	}
	if w.budget.kind != crashGate {
		n.rank = NewRank(i, n.rank.incarnation+1)
	}
}

// explorer holds the numbering of messages and parts of states.
type explorer struct {
	guards   guards
	messages []Message
	numbers  map[Message]uint32
	nodes    map[node]uint32
	views    map[view]uint32
	used     map[used]uint32
	late     map[Message]uint32
}

func newExplorer(g guards) *explorer {
	return &explorer{
		guards: g, numbers: map[Message]uint32{}, nodes: map[node]uint32{},
		views: map[view]uint32{}, used: map[used]uint32{}, late: map[Message]uint32{},
	}
}

func (x *explorer) send(w *world, messages []Message) {
	for _, m := range messages {
		id := uint16(intern(x.numbers, m))
		if int(id) == len(x.messages) {
			x.messages = append(x.messages, m)
		}
		if at, ok := slices.BinarySearch(w.net, id); !ok {
			w.net = slices.Insert(slices.Clip(w.net), at, id)
		}
	}
}

// answer hands an answer to the coordinator that it is for.
func (x *explorer) answer(w *world, c int, m Message) {
	x.send(w, w.coord(c).Handle(m))
}

// dead reports whether a request can have no effect any more: its sender
// ignores the answer, and its rank has another incarnation, or a gate that
// refuses it and can't restart.
func (x *explorer) dead(w *world, m Message) bool {
	n, c := &w.nodes[m.Rank], &w.coords[m.Fencing-1]
	if c.phase != Superseded && c.round == m.Round {
		return false
	}
	older := m.Fencing < n.gate.highest || (m.Fencing == n.gate.highest && m.Round < n.gate.round)
	if x.guards.fence && older && w.budget.crashes == 0 && (c.phase == Superseded || m.Fencing == n.gate.highest) {
		return true
	}
	return x.guards.incarnation && m.Kind != Query && m.Incarnation != n.rank.incarnation^n.gate.Incarnation
}

func (x *explorer) prune(w *world) {
	if slices.ContainsFunc(w.net, func(id uint16) bool { return x.dead(w, x.messages[id]) }) {
		w.net = slices.DeleteFunc(slices.Clone(w.net), func(id uint16) bool { return x.dead(w, x.messages[id]) })
	}
	w.late = slices.DeleteFunc(slices.Clone(w.late), func(m Message) bool {
		c := &w.coords[m.Rank>>8]
		return c.phase == Superseded || c.round != m.Round
	})
}

// deliveries visits the outcomes of every request and late answer.
func (x *explorer) deliveries(w *world, visit func(*world, error)) {
	for _, id := range w.net {
		m := x.messages[id]
		c := int(m.Fencing - 1)
		lost := w.clone()
		reply := lost.deliver(m, x.guards)
		if lost.nodes[m.Rank] != w.nodes[m.Rank] {
			visit(lost, nil)
		}
		if w.coords[c].phase == Superseded || (reply.Kind == Report && w.coords[c].round != reply.Round) {
			continue
		}
		handled := lost.clone()
		x.answer(handled, c, reply)
		visit(handled, nil)
		if lost.budget.late > 0 {
			kept := lost.clone()
			kept.budget.late--
			reply.Rank |= c << 8
			kept.late = append(slices.Clip(kept.late), reply)
			visit(kept, nil)
		}
	}
	for _, m := range w.late {
		n := w.clone()
		c := m.Rank >> 8
		m.Rank &= 255
		x.answer(n, c, m)
		visit(n, nil)
	}
}

// successors calls visit with every state that one event leads to.
func (x *explorer) successors(w *world, visit func(*world, error)) {
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

func (x *explorer) coordinatorEvents(w *world, visit func(*world, error)) {
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
			x.send(n, n.coord(i).Propose(22, modelStart))
			visit(n, nil)
		case w.coords[i].phase == Preparing:
			n := w.clone()
			x.send(n, n.coord(i).AbortSwitch())
			visit(n, nil)
		}
		n := w.clone()
		if x.skipWait(n, i) {
			visit(n, nil)
		}
	}
}

// skipWait lets a coordinator go on without the answers that a removed guard
// would make it wait for.
func (x *explorer) skipWait(w *world, i int) bool {
	phase, g := w.coords[i].phase, x.guards
	if (phase != Preparing || g.confirmation) && (phase != Halting || g.halt) {
		return false
	}
	c := w.coord(i)
	for k := range c.views {
		c.views[k].done = true
	}
	x.send(w, c.advance())
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

// key is the canonical form of a state. Ranks are interchangeable and all that
// is not global belongs to one rank, so the parts of the ranks are sorted.
func (x *explorer) key(w *world) string {
	x.prune(w)
	b := []byte{w.budget.crashes, w.budget.changes, w.budget.late}
	for i, c := range w.coords {
		started := byte(0)
		if w.started[i] {
			started = 1
		}
		b = append(b, started, byte(c.phase), byte(c.round), byte(c.formations), byte(c.change.Map.Version),
			byte(c.change.Step), byte(c.generation.Fencing), byte(c.generation.Number), byte(c.top))
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
	for _, u := range w.used {
		ids = append(ids, intern(x.used, u))
	}
	return string(appendSet(b, ids))
}

func (x *explorer) rankKey(w *world, i int) string {
	n := w.nodes[i]
	n.rank.id = 0
	b := binary.AppendUvarint(nil, uint64(intern(x.nodes, n)))
	for _, c := range w.coords {
		b = binary.AppendUvarint(b, uint64(intern(x.views, c.views[i])))
	}
	var ids []uint32
	for _, id := range w.net {
		if m := x.messages[id]; m.Rank == i {
			m.Rank = 0
			ids = append(ids, intern(x.late, m))
		}
	}
	for _, m := range w.late {
		if m.Rank&255 == i {
			m.Rank &^= 255
			ids = append(ids, intern(x.late, m))
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

// explore visits all states breadth first, up to a limit, and returns their
// number, whether that is all of them, and the first violation.
func explore(start *world, g guards, limit int, each func(*explorer, *world)) (states int, complete bool, err error) {
	x := newExplorer(g)
	seen := map[string]struct{}{x.key(start): {}}
	queue := []*world{start}
	for len(queue) > 0 && err == nil {
		w := queue[0]
		queue[0], queue = nil, queue[1:]
		if each != nil {
			each(x, w)
		}
		x.successors(w, func(n *world, fault error) {
			if fault != nil && err == nil {
				err = fault
			}
			k := x.key(n)
			if _, ok := seen[k]; !ok && len(seen) < limit {
				seen[k] = struct{}{}
				queue = append(queue, n)
			}
		})
	}
	return len(seen), len(seen) < limit, err
}
