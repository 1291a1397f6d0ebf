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

// Sizes in bytes, including 52 bytes for the headers of TCP, IP and yamux. The
// sizes of the messages are from proto.Size; the delta has a patch of 300 bytes.
const (
	headers       = 52
	announceBytes = headers + 17
	pullBytes     = headers + 7
	deltaBytes    = headers + 413
	heartbeatMs   = 1000
)

// event is the arrival of a message, or a periodic heartbeat ("tick").
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

// simulation is an event loop that passes one change to all processes. Nodes
// are numbered: first the entries, then the targets.
type simulation struct {
	queue              queue
	random             *rand.Rand
	dc                 []int
	links              [][]int
	hasRevision        []bool
	failsAfterAnnounce []bool
	messages           []int
	bytes              []int
	lastInstall        time.Duration
	missing            int
}

// latency returns 0.2 to 1 ms within a data centre or region, and 20 to 60 ms
// between regions.
func (s *simulation) latency(a, b int) time.Duration {
	if s.dc[a]%6 == s.dc[b]%6 {
		return 200*time.Microsecond + time.Duration(s.random.IntN(800))*time.Microsecond
	}
	return 20*time.Millisecond + time.Duration(s.random.IntN(40))*time.Millisecond
}

func (s *simulation) send(at time.Duration, from, to int, kind string, size int) {
	s.messages[from]++
	s.bytes[from] += size
	s.messages[to]++
	s.bytes[to] += size
	heap.Push(&s.queue, event{at + s.latency(from, to), from, to, kind})
}

// newSimulation builds a fleet of entries with peers in 6 regions and 24 data
// centres (or fewer), with 6.25 targets for each entry and 100 sessions from
// each entry.
func newSimulation(entries int, failingShare float64) (*simulation, int) {
	dcs := min(24, max(2, entries/4))
	targets := entries * 25 / 4
	n := entries + targets
	s := &simulation{
		random: rand.New(rand.NewPCG(uint64(entries), 42)), dc: make([]int, n), links: make([][]int, n), hasRevision: make([]bool, n),
		failsAfterAnnounce: make([]bool, n), messages: make([]int, n), bytes: make([]int, n), missing: n,
	}
	index := map[string]int{}
	members := make([]Member, n)
	for i := range n {
		s.dc[i] = i % dcs
		members[i] = Member{Name: fmt.Sprintf("process-%05d", i), DataCentre: fmt.Sprint(s.dc[i])}
		index[members[i].Name] = i
	}
	link := func(a, b int) {
		if !slices.Contains(s.links[a], b) {
			s.links[a], s.links[b] = append(s.links[a], b), append(s.links[b], a)
		}
	}
	for i := range entries {
		for _, p := range Peers(members[i], members[:entries], PeerDegree) {
			link(i, index[p.Name])
		}
		for _, t := range Subset(members[i].Name, slices.Clone(members[entries:]), MaxSessions) {
			link(i, index[t.Name])
		}
		s.failsAfterAnnounce[i] = s.random.Float64() < failingShare
	}
	return s, entries
}

func (s *simulation) install(at time.Duration, node, entries int) {
	if s.hasRevision[node] {
		return
	}
	s.hasRevision[node], s.lastInstall = true, at
	s.missing--
	if node >= entries {
		return
	}
	for _, p := range s.links[node] {
		s.send(at, node, p, "announce", announceBytes)
	}
}

// run accepts one change and simulates until all processes have it. Entries
// marked in failsAfterAnnounce receive the revision and announce it, but fail
// before they reply to a pull.
func (s *simulation) run(entries int) {
	perDC := map[int]int{}
	for i := range entries {
		if perDC[s.dc[i]]++; perDC[s.dc[i]] <= 2 {
			heap.Push(&s.queue, event{5*time.Millisecond + time.Duration(s.random.IntN(10))*time.Millisecond, i, i, "watch"})
		}
		// The heartbeat after the change reaches processes that announcements missed.
		heap.Push(&s.queue, event{time.Duration(s.random.IntN(heartbeatMs)) * time.Millisecond, i, i, "tick"})
	}
	for len(s.queue) > 0 && s.missing > 0 {
		e := heap.Pop(&s.queue).(event)
		switch e.kind {
		case "watch", "delta":
			s.install(e.at, e.to, entries)
		case "announce":
			if !s.hasRevision[e.to] {
				s.send(e.at, e.to, e.from, "pull", pullBytes)
			}
		case "pull":
			if !s.failsAfterAnnounce[e.to] {
				s.send(e.at, e.to, e.from, "delta", deltaBytes)
			}
		case "tick":
			if s.hasRevision[e.to] && !s.failsAfterAnnounce[e.to] {
				for _, p := range s.links[e.to] {
					if !s.hasRevision[p] {
						heap.Push(&s.queue, event{e.at + s.latency(e.to, p), e.to, p, "announce"})
					}
				}
			}
			heap.Push(&s.queue, event{e.at + heartbeatMs*time.Millisecond, e.to, e.to, "tick"})
		}
	}
}

var largeFleet = flag.Bool("large", false, "include the fleet of 1,600 entries, which takes almost a minute")

// Guards against a change that takes more than 4 s to become active everywhere,
// also if one entry in ten fails while it passes the change on. With -v, the
// test prints the rows of the table in docs/MEASUREMENTS.md.
func TestPropagationTime(t *testing.T) {
	for _, entries := range []int{8, 100, 400, 1600} {
		if entries > 400 && !*largeFleet {
			continue
		}
		for _, failingShare := range []float64{0, 0.1} {
			s, n := newSimulation(entries, failingShare)
			s.run(n)
			require.Zero(t, s.missing, "%d processes lack the revision", s.missing)
			assert.Less(t, s.lastInstall, 4*time.Second)
			var messages, bytes, peers int
			for i := range n {
				messages, bytes, peers = max(messages, s.messages[i]), bytes+s.bytes[i], max(peers, len(s.links[i]))
			}
			t.Logf("| %d | %d | %.0f%% | %d ms | %d | %d | %d |", entries, len(s.hasRevision), 100*failingShare, s.lastInstall.Milliseconds(), bytes/n, messages, peers)
		}
	}
}
