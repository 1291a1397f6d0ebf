package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// runner is a stand-in of a runner of a plain service.
type runner struct {
	d       *deployment
	id      string
	service string
	zone    string
	addr    string
	slots   int
	work    time.Duration
	born    int64
	// grey returns the status with which the runner fails a request that it has run; 0
	// if it succeeds. It may be nil.
	grey func() int
	seq  atomic.Int64
	stop chan struct{}
	once sync.Once
	end  func()
}

// startRunner starts a runner and registers it in the store.
func (d *deployment) startRunner(id, service, zone string, slots int, work time.Duration) (*runner, error) {
	r := &runner{d: d, id: id, service: service, zone: zone, slots: slots, work: work, born: time.Now().UnixMilli(), stop: make(chan struct{})}
	addr, stop, err := serve("127.0.0.1:0", r)
	if err != nil {
		return nil, err
	}
	r.addr, r.end = addr, stop
	d.closers = append(d.closers, func() { r.once.Do(func() { close(r.stop) }); stop() })
	if err := r.register("ready"); err != nil {
		return nil, err
	}
	go r.heartbeat()
	return r, nil
}

func (r *runner) register(state string) error {
	return r.d.put("servers/"+r.id, map[string]any{
		"service": r.service, "address": r.addr, "zone": r.zone, "version": "1", "slots": r.slots, "state": state,
		"coldRemainingMs": 0, "sequence": r.seq.Add(1), "born": r.born,
	})
}

func (r *runner) heartbeat() {
	for {
		select {
		case <-r.stop:
			return
		case <-time.After(1200 * time.Millisecond):
			_ = r.register("ready")
		}
	}
}

// ServeHTTP runs a request as PROTOCOL.md says.
func (r *runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("Skylarkstep-Attempt-Id")
	if id != "" {
		w.Header().Set("Skylarkstep-Attempt-Id", id)
	}
	if t := q.Header.Get("Skylarkstep-Target-Instance"); t != "" && t != r.id {
		w.Header().Set("Skylarkstep-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, _ := io.ReadAll(q.Body)
	r.d.record.addRun(r.id, id, q.URL.Path, string(body))
	time.Sleep(r.work)
	w.Header().Set("Skylarkstep-Response-Seal", "3e1b."+id)
	if r.grey != nil {
		if status := r.grey(); status != 0 {
			r.d.record.add("run-failed", "runner", r.id, "id", id, "status", status)
			w.WriteHeader(status)
			return
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, `{"runner":%q,"id":%q}`, r.id, id)
}
