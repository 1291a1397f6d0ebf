package membership

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Sizes in bytes with 52 bytes for the headers of TCP, IP and yamux. The
// messages were measured with proto.Size; the delta has a patch of 300 bytes.
const (
	headers       = 52
	announceBytes = headers + 17
	pullBytes     = headers + 7
	deltaBytes    = headers + 413
	heartbeatMs   = 1000
)

// event is a message that arrives, or a heartbeat that repairs.
type event struct {
	at       time.Duration
	from, to int
	kind     string
}

type queue []event

func (q queue) Len() int           { return len(q) }
func (q queue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q queue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// fleetRun is one change in a plain event loop. Nodes are entries, then targets.
type fleetRun struct {
	q        queue
	random   *rand.Rand
	dc       []int
	links    [][]int
	has      []bool
	dead     []bool
	messages []int
	bytes    []int
	last     time.Duration
	missing  int
}

// latency is 0.2 to 1 ms in a data centre or region, 20 to 60 ms between regions.
func (f *fleetRun) latency(a, b int) time.Duration {
	if f.dc[a]%6 == f.dc[b]%6 {
		return 200*time.Microsecond + time.Duration(f.random.IntN(800))*time.Microsecond
	}
	return 20*time.Millisecond + time.Duration(f.random.IntN(40))*time.Millisecond
}

func (f *fleetRun) send(at time.Duration, from, to int, kind string, size int) {
	f.messages[from]++
	f.bytes[from] += size
	f.messages[to]++
	f.bytes[to] += size
	heap.Push(&f.q, event{at + f.latency(from, to), from, to, kind})
}

// newFleet builds entries in 24 data centres (or fewer) of 6 regions with
// peers, and 6.25 targets an entry with 100 sessions an entry.
func newFleet(entries int, deadShare float64) (*fleetRun, int) {
	dcs := min(24, max(2, entries/4))
	targets := entries * 25 / 4
	n := entries + targets
	f := &fleetRun{
		random: rand.New(rand.NewPCG(uint64(entries), 42)), dc: make([]int, n), links: make([][]int, n), has: make([]bool, n),
		dead: make([]bool, n), messages: make([]int, n), bytes: make([]int, n), missing: n,
	}
	index := map[string]int{}
	members := make([]Member, n)
	for i := range n {
		f.dc[i] = i % dcs
		members[i] = Member{Name: fmt.Sprintf("process-%05d", i), DataCentre: fmt.Sprint(f.dc[i])}
		index[members[i].Name] = i
	}
	link := func(a, b int) {
		if !slices.Contains(f.links[a], b) {
			f.links[a], f.links[b] = append(f.links[a], b), append(f.links[b], a)
		}
	}
	for i := range entries {
		for _, p := range Peers(members[i], members[:entries], PeerDegree) {
			link(i, index[p.Name])
		}
		for _, t := range Subset(members[i].Name, slices.Clone(members[entries:]), MaxSessions) {
			link(i, index[t.Name])
		}
		f.dead[i] = f.random.Float64() < deadShare
	}
	return f, entries
}

func (f *fleetRun) install(at time.Duration, node, entries int) {
	if f.has[node] {
		return
	}
	f.has[node], f.last = true, at
	f.missing--
	if node >= entries {
		return
	}
	for _, p := range f.links[node] {
		f.send(at, node, p, "announce", announceBytes)
	}
}

// run accepts one change. Relays marked dead die when they have the revision
// and have announced it, before they answer a pull.
func (f *fleetRun) run(entries int) {
	perDC := map[int]int{}
	for i := range entries {
		if perDC[f.dc[i]]++; perDC[f.dc[i]] <= 2 {
			heap.Push(&f.q, event{5*time.Millisecond + time.Duration(f.random.IntN(10))*time.Millisecond, i, i, "watch"})
		}
		// The heartbeat after the change repairs what announcements missed.
		heap.Push(&f.q, event{time.Duration(f.random.IntN(heartbeatMs)) * time.Millisecond, i, i, "tick"})
	}
	for len(f.q) > 0 && f.missing > 0 {
		e := heap.Pop(&f.q).(event)
		switch e.kind {
		case "watch", "delta":
			f.install(e.at, e.to, entries)
		case "announce":
			if !f.has[e.to] {
				f.send(e.at, e.to, e.from, "pull", pullBytes)
			}
		case "pull":
			if !f.dead[e.to] {
				f.send(e.at, e.to, e.from, "delta", deltaBytes)
			}
		case "tick":
			if f.has[e.to] && !f.dead[e.to] {
				for _, p := range f.links[e.to] {
					if !f.has[p] {
						heap.Push(&f.q, event{e.at + f.latency(e.to, p), e.to, p, "announce"})
					}
				}
			}
			heap.Push(&f.q, event{e.at + heartbeatMs*time.Millisecond, e.to, e.to, "tick"})
		}
	}
}

var large = flag.Bool("large", false, "include the fleet of 1,600 entries, which takes most of a minute")

// Guards against a change that takes more than 4 s to be in force everywhere,
// also when one relay in ten dies in the middle of it. With -v it prints the
// rows of the table in docs/MEASUREMENTS.md.
func TestPropagationTime(t *testing.T) {
	for _, entries := range []int{8, 100, 400, 1600} {
		if entries > 400 && !*large {
			continue
		}
		for _, dead := range []float64{0, 0.1} {
			f, n := newFleet(entries, dead)
			f.run(n)
			require.Zero(t, f.missing, "%d processes lack the revision", f.missing)
			assert.Less(t, f.last, 4*time.Second)
			var messages, bytes, peers int
			for i := range n {
				messages, bytes, peers = max(messages, f.messages[i]), bytes+f.bytes[i], max(peers, len(f.links[i]))
			}
			t.Logf("| %d | %d | %.0f%% | %d ms | %d | %d | %d |", entries, len(f.has), 100*dead, f.last.Milliseconds(), bytes/n, messages, peers)
		}
	}
}
