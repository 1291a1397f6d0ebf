package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["own-status"] = playOwnStatus }

const (
	ownStatusRunners = 7
	// ownStatusTime is how long one of the runners fails part of its requests.
	ownStatusTime = 6500 * time.Millisecond
	callers       = 6
)

// ran returns the ids of the requests that runners have run, with the number of runs.
func (r *recorder) ran() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	data, err := readAll(r.file.Name())
	if err != nil {
		return nil
	}
	runs := map[string]int{}
	for line := range strings.SplitSeq(data, "\n") {
		if _, rest, ok := strings.Cut(line, ": runs POST "); ok {
			fields := strings.Fields(rest)
			runs[fields[len(fields)-1]]++
		}
	}
	return runs
}

// playOwnStatus plays a runner that fails part of its requests while its health is good:
// it runs them and responds with status 429, without saying that it has not run them. A
// request that is not idempotent must not be answered 429 if it has run.
func playOwnStatus(w *world, trouble bool) ([]string, error) {
	if err := w.putConfig(); err != nil {
		return nil, err
	}
	for i := range ownStatusRunners {
		zone := []string{"gent-a", "gent-b"}[i%2]
		args := []string{"--fail-status", strconv.Itoa(http.StatusTooManyRequests)}
		if _, err := w.startRunner(fmt.Sprintf("booking-%d", i), bookingName, zone, args...); err != nil {
			return nil, err
		}
	}
	if err := w.startGateways(); err != nil {
		return nil, err
	}
	var mu sync.Mutex
	var answers []answer
	var clients sync.WaitGroup
	end := time.Now().Add(ownStatusTime + 4*time.Second)
	for c := range callers {
		clients.Go(func() {
			for time.Now().Before(end) {
				a := w.send(w.gateways[c%len(w.gateways)], "POST", unsafePath+"2f", strings.Repeat("b", 600), 3*time.Second, nil)
				mu.Lock()
				answers = append(answers, a)
				mu.Unlock()
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	if trouble {
		time.Sleep(2 * time.Second)
		w.record.line("%s begins to fail part of its requests", w.runners[0].id)
		w.runners[0].process.signal(syscall.SIGUSR1)
		time.Sleep(ownStatusTime)
		w.runners[0].process.signal(syscall.SIGUSR2)
		w.record.line("%s fails no more", w.runners[0].id)
	}
	clients.Wait()
	time.Sleep(200 * time.Millisecond)
	runs, served := w.record.ran(), 0
	var violations []string
	for _, a := range answers {
		switch a.status {
		case http.StatusOK:
			served++
		case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			if runs[a.id] > 0 {
				violations = append(violations, fmt.Sprintf("request %s is answered %d and has run", a.id, a.status))
				w.record.line("VIOLATION %s", violations[len(violations)-1])
			}
		}
	}
	w.record.line("%d of %d requests were served", served, len(answers))
	if served < len(answers)/2 {
		return nil, fmt.Errorf("only %d of %d requests were served", served, len(answers))
	}
	return violations, nil
}
