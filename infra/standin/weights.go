package standin

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// WeightStore is a stand-in of the weight store. It sends an object at once, and
// then rejects requests for as long as the object would take at the given rate.
type WeightStore struct {
	Faults

	mu             sync.Mutex
	bytesPerSecond int64
	objects        map[string]int64
	busyUntil      time.Time
}

// NewWeightStore returns an empty store with the given rate limit.
func NewWeightStore(bytesPerSecond int64) *WeightStore {
	return &WeightStore{bytesPerSecond: bytesPerSecond, objects: map[string]int64{}}
}

// Add adds an object of the given size.
func (s *WeightStore) Add(name string, size int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects[name] = size
}

// reserve returns the size of the object and counts it against the rate. If wait is
// positive, the object may only be sent after that time, and is not counted.
func (s *WeightStore) reserve(name string) (size int64, wait time.Duration, found bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	size, found = s.objects[name]
	now := time.Now()
	if wait = s.busyUntil.Sub(now); !found || wait > 0 {
		return size, wait, found
	}
	s.busyUntil = now.Add(time.Duration(float64(size) / float64(s.bytesPerSecond) * float64(time.Second)))
	return size, 0, true
}

// ServeHTTP implements http.Handler.
func (s *WeightStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !s.applyFaultsHTTP(w, r) {
		return
	}
	name, ok := strings.CutPrefix(r.URL.Path, "/objects/")
	size, wait, found := s.reserve(name)
	if !ok || !found {
		http.NotFound(w, r)
		return
	}
	if wait > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(wait.Seconds()))))
		http.Error(w, "rate limit", http.StatusTooManyRequests)
		return
	}
	w.Header().Set("Content-Length", strconv.FormatInt(size, 10))
	dropReply := s.takeDroppedReply()
	if dropReply {
		size /= 2
	}
	chunk := make([]byte, 64<<10)
	for size > 0 {
		n, err := w.Write(chunk[:min(size, int64(len(chunk)))])
		if err != nil {
			return
		}
		size -= int64(n)
	}
	if dropReply {
		panic(http.ErrAbortHandler)
	}
}
