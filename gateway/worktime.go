package gateway

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/skylarkstep/skylarkstep/routing"
)

const (
	// maxWorkSamples is how many completed requests of a route are remembered.
	// With fewer than fullWorkSamples, the other routes of the back end count
	// too, and with fewer than minWorkSamples there is no estimate.
	maxWorkSamples, fullWorkSamples, minWorkSamples = 256, 32, 4
	// similarShare is the share of the samples that an estimate uses: those
	// nearest in size, and all others of the same sizes. minSimilar is the least
	// number of them. With fewer, all of them may by chance have ended far below
	// their maximum.
	similarShare, minSimilar = 0.5, 64
	// workQuantile is the quantile of the similar samples that an estimate takes.
	// A request that is cut costs its caller far more than one that is rejected.
	workQuantile = 0.99
	// workMargin multiplies the quantile and workSlack is added: the remaining
	// instances have more load while one stops, and the response must still
	// reach the caller.
	workMargin = 1.25
	workSlack  = 200 * time.Millisecond
	// maxWorkGroups bounds the routes and back ends that are remembered, since
	// configurations add and remove routes.
	maxWorkGroups = 1024
)

// workGroup identifies requests that take similar times: those of a route, or of
// all routes of a kind to a back end if the route is empty.
type workGroup struct {
	route, backend string
	kind           routing.Kind
}

// workSample is the time that a completed request took, from the first send to a
// target until the caller had the response.
type workSample struct {
	size float64 // as returned by requestSize
	took time.Duration
	streamSample
}

// workSamples holds the latest samples of a group.
type workSamples struct {
	samples []workSample
	next    int // index that the next sample replaces, once there are maxWorkSamples
}

// workTimes estimates how long requests take, from those that this process has
// completed. It answers a load of requests whose times differ by route, and
// within a route by the number of tokens.
type workTimes struct {
	mu     sync.Mutex
	groups map[workGroup]*workSamples
}

// requestSize returns the size of a request: the most tokens that the response may
// have, or 0 if unknown. The caller's guess of the length says too little: one
// that is a sixth of the length was seen. Prompts are read about two orders of
// magnitude faster than responses are written.
func requestSize(m RequestMeta) float64 { return float64(m.MaxOutputTokens) }

// record adds a completed request.
func (w *workTimes) record(g workGroup, s workSample) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.add(g, s)
	g.route = ""
	w.add(g, s)
}

// add adds a sample to a group. The caller holds w.mu.
func (w *workTimes) add(g workGroup, s workSample) {
	group := w.groups[g]
	if group == nil {
		w.makeRoom()
		group = &workSamples{}
		w.groups[g] = group
	}
	if len(group.samples) < maxWorkSamples {
		group.samples = append(group.samples, s)
		return
	}
	group.samples[group.next] = s
	group.next = (group.next + 1) % maxWorkSamples
}

// makeRoom forgets any one group if there are maxWorkGroups. The caller holds
// w.mu.
func (w *workTimes) makeRoom() {
	if len(w.groups) < maxWorkGroups {
		return
	}
	for g := range w.groups {
		delete(w.groups, g)
		return
	}
}

// workBasis is what the estimate of the time of a request rests on.
type workBasis struct {
	// samples is how many requests of the back end and kind have completed; zero if they
	// are too few for an estimate.
	samples int
	// usual is how long nearly all requests of the size have taken, and longest how long
	// a stream takes that reaches it; zero for other requests.
	usual, longest time.Duration
	// tokensPerEvent is how many tokens each event of that stream is taken to hold.
	tokensPerEvent float64
}

// estimate returns how long nearly all requests of the given size take, and false
// if too few of the route and of its back end have completed.
func (w *workTimes) estimate(g workGroup, size float64) (time.Duration, bool) {
	return w.basis(g, size).estimate()
}

// estimate returns the time that the basis shows, and false if it shows none.
func (b workBasis) estimate() (time.Duration, bool) {
	if b.samples == 0 {
		return 0, false
	}
	usual := time.Duration(workMargin * float64(b.usual))
	longest := time.Duration(longestMargin * float64(b.longest))
	return max(usual, longest) + workSlack, true
}

// basis returns what is known of the time of a request of the given size.
func (w *workTimes) basis(g workGroup, size float64) workBasis {
	w.mu.Lock()
	defer w.mu.Unlock()
	route, all := w.groups[g], w.groups[workGroup{backend: g.backend, kind: g.kind}]
	var b workBasis
	if route != nil {
		b.usual = route.quantile(size)
		b.samples = len(route.samples)
	}
	if route == nil || len(route.samples) < fullWorkSamples {
		if all == nil || len(all.samples) < minWorkSamples {
			return workBasis{}
		}
		b.usual = max(b.usual, all.quantile(size))
	}
	if all != nil {
		b.samples = len(all.samples)
		b.longest, b.tokensPerEvent = all.longestStream(size)
	}
	return b
}

// quantile returns the workQuantile of the times of the samples nearest in size. Times
// of smaller requests are scaled up to the size, but not beyond what the longest of all
// samples shows.
func (s *workSamples) quantile(size float64) time.Duration {
	distances := make([]float64, len(s.samples))
	largest := workSample{}
	for i, sample := range s.samples {
		distances[i] = math.Abs(sample.size - size)
		largest.size = max(largest.size, sample.size)
		largest.took = max(largest.took, sample.took)
	}
	slices.Sort(distances)
	similar := max(minSimilar, int(similarShare*float64(len(distances))))
	maxDistance := distances[min(similar, len(distances))-1]
	limit := largest.scaledTo(size)
	var times []float64
	for _, sample := range s.samples {
		if math.Abs(sample.size-size) <= maxDistance {
			times = append(times, min(limit, sample.scaledTo(size)))
		}
	}
	slices.Sort(times)
	return time.Duration(times[min(len(times)-1, int(workQuantile*float64(len(times))))])
}

// scaledTo returns the time of the sample in nanoseconds, scaled up if the size
// is larger.
func (s workSample) scaledTo(size float64) float64 {
	if s.size > 0 && size > s.size {
		return float64(s.took) * size / s.size
	}
	return float64(s.took)
}
