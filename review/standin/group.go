package main

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Shape of the group, as the sheet of cabina-norte gives it.
const (
	groupRanks   = 12
	groupSets    = 4
	groupExperts = 72
	groupPlaces  = 8
	groupSpare   = 3
	groupEpoch   = 1
	reportLag    = 200 * time.Millisecond // of reports to other machines
	reportTime   = 8 * time.Millisecond   // of a report to the own machine
	passTime     = 30 * time.Millisecond
	copyTime     = 35 * time.Millisecond // of one expert: 780 MB at 180,000 Mbit/s
)

// group is a stand-in of a group of ranks. All of its ranks execute each pass together.
type group struct {
	d     *deployment
	mu    sync.Mutex
	name  string
	step  uint64
	ranks []*rank
	// weights holds how much each expert is liked, by set; nil while there is no traffic.
	weights [][]float64
	// late is the share of the orders that get no answer and are carried out later.
	late     float64
	onOrder  func(r *rank, op string, version uint64, fence uint64, unanswered bool)
	onReport func() // is called before a fresh report is sent
	broken   int
	stop     chan struct{}
}

// rank is one runner of the group.
type rank struct {
	g            *group
	index        int
	id, addr     string
	own          string // address for the process beside the rank, which gets fresh reports
	past         []pastReport
	zone         string
	born         int64
	version      uint64 // of the map in use
	content      uint64 // of that map
	placement    [][]int
	maps         map[uint64]expertMap // prepared maps by version
	prepared     uint64               // once the copy is complete
	preparing    uint64
	highest      uint64 // of all versions that the rank has had
	armed        uint64
	armedStep    uint64
	held         *uint64
	fence        uint64
	sequence     uint64
	counts       []uint64
	ordersSeen   int
	ordersUnansw int
}

type expertMap [][][]int // by set and rank

func (m expertMap) hash() uint64 {
	h := fnv.New64a()
	data, _ := json.Marshal(m)
	_, _ = h.Write(data)
	return h.Sum64()
}

func (d *deployment) startGroup(name string) (*group, error) {
	g := &group{d: d, name: name, stop: make(chan struct{})}
	first := make(expertMap, groupSets)
	for s := range first {
		first[s] = make([][]int, groupRanks)
		for e := range groupExperts {
			first[s][e%groupRanks] = append(first[s][e%groupRanks], e)
		}
	}
	for i := range groupRanks {
		r := &rank{
			g: g, index: i, id: fmt.Sprintf("i-91bd3f%02d", i), zone: zones[i%len(zones)], born: time.Now().UnixMilli(), content: first.hash(),
			maps: map[uint64]expertMap{}, counts: make([]uint64, groupSets*groupExperts),
		}
		for s := range first {
			r.placement = append(r.placement, first[s][i])
		}
		for _, a := range []struct {
			addr *string
			own  bool
		}{{&r.addr, false}, {&r.own, true}} {
			addr, stop, err := serve("127.0.0.1:0", rankHandler{r, a.own})
			if err != nil {
				return nil, err
			}
			*a.addr = addr
			d.closers = append(d.closers, stop)
		}
		g.ranks = append(g.ranks, r)
	}
	d.closers = append(d.closers, func() { close(g.stop) })
	for _, r := range g.ranks {
		if err := r.register(); err != nil {
			return nil, err
		}
	}
	go g.run()
	return g, nil
}

func (r *rank) register() error {
	r.sequence++
	return r.g.d.put("servers/"+r.id, map[string]any{
		"service": "pintor-lm", "address": r.addr, "zone": r.zone, "version": "1", "slots": 12, "state": "ready",
		"coldRemainingMs": 0, "sequence": r.sequence, "born": r.born,
	})
}

// shiftShare and shiftInterval are the largest doses of the site's expert_shift.
const (
	shiftShare    = 0.8
	shiftInterval = 3 * time.Second
)

// setWeights makes other experts liked: a share of them exchange their places.
func (g *group) setWeights() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.weights == nil { // traffic begins
		for range groupSets {
			w := make([]float64, groupExperts)
			for i, e := range rand.Perm(groupExperts) {
				w[e] = 1 / float64(1+i)
			}
			g.weights = append(g.weights, w)
		}
		return
	}
	for _, w := range g.weights {
		moved := rand.Perm(groupExperts)[:int(shiftShare*float64(len(w)))]
		first := w[moved[0]]
		for i, e := range moved[:len(moved)-1] {
			w[e] = w[moved[i+1]]
		}
		w[moved[len(moved)-1]] = first
	}
}

// run executes passes until the end.
func (g *group) run() {
	beat := time.Now()
	for {
		select {
		case <-g.stop:
			return
		case <-time.After(passTime):
		}
		if time.Since(beat) > 1200*time.Millisecond {
			beat = time.Now()
			go func() {
				for _, r := range g.ranks {
					_ = r.register()
				}
			}()
		}
		g.mu.Lock()
		g.pass()
		for _, r := range g.ranks {
			r.remember()
		}
		g.mu.Unlock()
	}
}

// pass begins the next pass unless a rank holds it. The caller holds g.mu.
func (g *group) pass() {
	if g.weights == nil {
		return // an idle group makes no passes
	}
	next := g.step + 1
	for _, r := range g.ranks {
		if r.held != nil && *r.held == next {
			return
		}
	}
	g.step = next
	for _, r := range g.ranks {
		if r.armed != 0 && r.armedStep == next {
			m := r.maps[r.armed]
			r.version, r.content, r.placement = r.armed, m.hash(), nil
			for s := range m {
				r.placement = append(r.placement, m[s][r.index])
			}
			g.d.record.add("switched", "rank", r.index, "step", next, "version", r.version, "map", fmt.Sprintf("%016x", r.content))
			r.armed, r.prepared = 0, 0
		}
		for s, w := range g.weights {
			for e, x := range w {
				r.counts[s*groupExperts+e] += uint64(40*x*rand.Float64() + 0.5)
			}
		}
	}
	for _, r := range g.ranks[1:] {
		if r.version != g.ranks[0].version || r.content != g.ranks[0].content {
			g.broken++
			if g.broken < 6 {
				g.d.record.add("broken", "rule", "MAP", "step", next, "rank", 0, "version", g.ranks[0].version, "map", fmt.Sprintf("%016x", g.ranks[0].content),
					"other-rank", r.index, "other-version", r.version, "other-map", fmt.Sprintf("%016x", r.content))
			}
			break
		}
	}
}

// rankHandler serves the calls to a rank. Its reports are fresh only for calls from its
// own machine.
type rankHandler struct {
	*rank
	own bool
}

// pastReport is a report as of a time.
type pastReport struct {
	at     time.Time
	report map[string]any
}

// remember keeps the reports of the last time. The caller holds g.mu.
func (r *rank) remember() {
	now := time.Now()
	r.past = append(r.past, pastReport{now, r.reportLocked()})
	for len(r.past) > 1 && now.Sub(r.past[1].at) >= reportLag {
		r.past = r.past[1:]
	}
}

// lagged returns the report as of some time ago.
func (r *rank) lagged() map[string]any {
	r.g.mu.Lock()
	defer r.g.mu.Unlock()
	r.remember()
	p := r.past[0]
	if r.index == 0 { // one of the ranks is enough for the record
		r.g.d.record.add("old-report", "rank", r.index, "age-ms", time.Since(p.at).Milliseconds(), "armed", p.report["armed"], "now-armed", r.armed)
	}
	return p.report
}

// ServeHTTP serves the calls of coordinators and agents.
func (r rankHandler) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	switch q.URL.Path {
	case "/api/report":
		if !r.own {
			_ = json.NewEncoder(w).Encode(r.lagged())
			return
		}
		r.g.mu.Lock()
		onReport := r.g.onReport
		r.g.mu.Unlock()
		if onReport != nil {
			go onReport()
		}
		time.Sleep(reportTime)
		r.g.mu.Lock()
		report := r.reportLocked()
		r.g.mu.Unlock()
		_ = json.NewEncoder(w).Encode(report)
	case "/api/picked":
		_ = json.NewEncoder(w).Encode(r.picked(q.URL.Query().Has("lists")))
	case "/api/order":
		r.serveOrder(w, q)
	default:
		http.NotFound(w, q)
	}
}

// reportLocked returns the report as of now. The caller holds g.mu.
func (r *rank) reportLocked() map[string]any {
	g := r.g
	m := map[string]any{
		"stage": "both", "busy": r.preparing != 0, "sequence": r.ordersSeen, "queued": 0, "active": 4, "kvUsed": 0, "kvTotal": 372000, "handles": 0,
		"group": map[string]any{"name": g.name, "epoch": groupEpoch, "rank": r.index, "state": "open"}, "size": groupRanks,
		"step": g.step, "map": r.version, "born": r.born, "pace": 1,
	}
	if r.prepared != 0 {
		m["prepared"] = r.prepared
	}
	if r.armed != 0 {
		m["armed"] = map[string]any{"version": r.armed, "step": r.armedStep}
	}
	if r.held != nil {
		m["held"] = *r.held
	}
	return m
}

func (r *rank) picked(lists bool) map[string]any {
	g := r.g
	g.mu.Lock()
	defer g.mu.Unlock()
	m := map[string]any{"step": g.step, "epoch": groupEpoch, "born": r.born}
	if !lists {
		m["counts"] = append([]uint64(nil), r.counts...)
		return m
	}
	m["map"] = map[string]any{"version": r.version, "experts": r.placement}
	return m
}

// order is an order to a rank.
type order struct {
	Op      string    `json:"op"`
	Version uint64    `json:"version"`
	Step    uint64    `json:"step"`
	Epoch   uint64    `json:"epoch"`
	Fence   uint64    `json:"fence"`
	Map     expertMap `json:"map"`
}

func (r *rank) serveOrder(w http.ResponseWriter, q *http.Request) {
	var o order
	if err := json.NewDecoder(q.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	g := r.g
	g.mu.Lock()
	unanswered := g.late > 0 && rand.Float64() < g.late
	onOrder := g.onOrder
	g.mu.Unlock()
	if onOrder != nil {
		onOrder(r, o.Op, o.Version, o.Fence, unanswered)
	}
	if unanswered {
		after := 2*time.Second + rand.N(10*time.Second)
		g.d.record.add("order", "rank", r.index, "op", o.Op, "version", o.Version, "step", o.Step, "fence", o.Fence, "unanswered-later-ms", after.Milliseconds())
		time.AfterFunc(after, func() {
			status := r.carryOut(o)
			g.d.record.add("order-late", "rank", r.index, "op", o.Op, "version", o.Version, "step", o.Step, "fence", o.Fence, "status", status)
		})
		<-q.Context().Done()
		return
	}
	status := r.carryOut(o)
	g.d.record.add("order", "rank", r.index, "op", o.Op, "version", o.Version, "step", o.Step, "fence", o.Fence, "map", fmt.Sprintf("%016x", o.Map.hash()), "status", status)
	w.WriteHeader(status)
}

// carryOut carries out an order and returns its status.
func (r *rank) carryOut(o order) int {
	g := r.g
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case o.Fence < r.fence:
		return http.StatusPreconditionFailed
	case o.Epoch != 0 && o.Epoch != groupEpoch:
		return http.StatusConflict
	}
	r.fence = o.Fence
	switch o.Op {
	case "prepare":
		return r.prepare(o)
	case "arm":
		if r.armed == o.Version && r.armedStep == o.Step {
			return http.StatusOK
		}
		if r.prepared != o.Version || g.step >= o.Step {
			return http.StatusConflict
		}
		r.armed, r.armedStep = o.Version, o.Step
	case "disarm":
		if r.version == o.Version {
			return http.StatusConflict
		}
		if r.armed == o.Version {
			r.armed, r.armedStep = 0, 0
		}
	case "hold":
		if r.held != nil && *r.held == o.Step {
			return http.StatusOK
		}
		if r.held != nil || g.step >= o.Step {
			return http.StatusConflict
		}
		step := o.Step
		r.held = &step
	case "go":
		if r.held == nil || *r.held != o.Step {
			return http.StatusConflict
		}
		r.held = nil
	default:
		return http.StatusBadRequest
	}
	r.ordersSeen++
	return http.StatusAccepted
}

// prepare begins to copy the experts that are new. The caller holds g.mu.
func (r *rank) prepare(o order) int {
	if o.Version <= r.highest || r.armed != 0 || len(o.Map) != groupSets {
		return http.StatusConflict
	}
	copies := 0
	for s := range o.Map {
		has := map[int]bool{}
		for _, e := range r.placement[s] {
			has[e] = true
		}
		added := 0
		for _, e := range o.Map[s][r.index] {
			if !has[e] {
				added++
			}
		}
		if added > groupSpare || len(o.Map[s][r.index]) > groupPlaces {
			return http.StatusConflict
		}
		copies += added
	}
	r.highest, r.preparing, r.prepared = o.Version, o.Version, 0
	r.maps[o.Version] = o.Map
	r.ordersSeen++
	time.AfterFunc(time.Duration(copies)*copyTime, func() {
		r.g.mu.Lock()
		defer r.g.mu.Unlock()
		if r.preparing == o.Version {
			r.prepared, r.preparing = o.Version, 0
		}
	})
	return http.StatusAccepted
}
