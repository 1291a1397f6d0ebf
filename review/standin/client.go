package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// load sends requests of callers at a steady rate.
type load struct {
	d        *deployment
	perS     float64
	method   string
	path     string
	key      string
	deadline time.Duration
	retries  int
	client   *http.Client
	mu       sync.Mutex
	done     []outcome
	wg       sync.WaitGroup
	stop     atomic.Bool
}

// outcome is how one request of a caller ended.
type outcome struct {
	id     string
	sentAt time.Time
	took   time.Duration
	status int // of the last attempt; 0 without an answer
	served bool
	// booking is in the body of all attempts of a request.
	booking string
	// attempts holds the status of each attempt by its id.
	attempts map[string]int
}

func (d *deployment) startLoad(l *load) *load {
	l.d = d
	l.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32, IdleConnTimeout: 8 * time.Second, DisableCompression: true}}
	l.wg.Go(func() {
		for !l.stop.Load() {
			l.wg.Go(l.request)
			time.Sleep(time.Duration((0.7 + 0.6*rand.Float64()) / l.perS * float64(time.Second)))
		}
	})
	return l
}

func (l *load) end() []outcome {
	l.stop.Store(true)
	l.wg.Wait()
	return l.done
}

// request is one request of a caller with its attempts. A request that is not
// idempotent is sent again only after a status that promises that it has not run.
func (l *load) request() {
	o := outcome{sentAt: time.Now(), booking: fmt.Sprintf("%08x", rand.Uint32())}
	end := o.sentAt.Add(l.deadline)
	for try := 0; try <= l.retries; try++ {
		left := time.Until(end)
		if left < 50*time.Millisecond {
			break
		}
		status, retryAfter, ok := l.attempt(&o, left)
		if o.attempts == nil {
			o.attempts = map[string]int{}
		}
		o.attempts[o.id] = status
		if ok {
			o.served = true
			break
		}
		if !isPromise(status) && l.method != http.MethodGet {
			break
		}
		if retryAfter > left/3 {
			retryAfter = left / 3
		}
		time.Sleep(retryAfter)
	}
	o.took = time.Since(o.sentAt)
	l.mu.Lock()
	l.done = append(l.done, o)
	l.mu.Unlock()
}

func (l *load) attempt(o *outcome, left time.Duration) (status int, retryAfter time.Duration, served bool) {
	g := l.d.gateways[rand.IntN(len(l.d.gateways))]
	o.id = fmt.Sprintf("%016x", rand.Uint64())
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	var body io.Reader
	if l.method == http.MethodPost {
		body = bytes.NewReader(fmt.Appendf(nil, `{"booking":%q}`, o.booking))
	}
	req, err := http.NewRequestWithContext(ctx, l.method, "http://"+g.callers()+l.path, body)
	if err != nil {
		return 0, 0, false
	}
	req.GetBody = nil // otherwise the client library might send it twice
	req.Host = l.d.host
	req.Header.Set("Skylarkstep-Attempt-Id", o.id)
	req.Header.Set("Skylarkstep-Deadline-Ms", strconv.FormatInt(left.Milliseconds(), 10))
	if l.key != "" {
		req.Header.Set("Api-Key", l.key)
	}
	l.d.record.add("sent", "id", o.id, "to", g.name, "method", l.method, "path", l.path)
	resp, err := l.client.Do(req)
	if err != nil {
		o.status = 0
		l.d.record.add("no-answer", "id", o.id, "error", err)
		return 0, 0, false
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	o.status = resp.StatusCode
	l.d.record.add("answered", "id", o.id, "status", resp.StatusCode, "bytes", len(data), "error", err)
	if s, perr := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); perr == nil {
		retryAfter = time.Duration(s * float64(time.Second))
	}
	return resp.StatusCode, retryAfter, err == nil && resp.StatusCode == http.StatusOK && resp.Header.Get("Skylarkstep-Response-Seal") != ""
}
