package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["cut-large"] = playCutLarge }

const (
	cutLargeRunners = 7
	// cutLargeSize is the size of a response in bytes, and cutLargePause the pause after
	// each 64 KB of it: a response takes about a second.
	cutLargeSize  = 3_000_000
	cutLargePause = 20 * time.Millisecond
	cutLargeTime  = 12 * time.Second
	callers       = 6
)

// playCutLarge plays the crash of one of seven runners that write responses without a
// length. A response that the crash cuts must not reach the client as a complete one.
func playCutLarge(w *world, trouble bool) ([]string, error) {
	if err := w.putConfig(); err != nil {
		return nil, err
	}
	for i := range cutLargeRunners {
		zone := []string{"gent-a", "gent-b"}[i%2]
		args := []string{"--unframed", "--size", fmt.Sprint(cutLargeSize), "--part-pause", cutLargePause.String()}
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
	end := time.Now().Add(cutLargeTime)
	for c := range callers {
		clients.Go(func() {
			for time.Now().Before(end) {
				a := w.send(w.gateways[c%len(w.gateways)], "POST", unsafePath+"2f", strings.Repeat("b", 600), 3*time.Second, nil)
				mu.Lock()
				answers = append(answers, a)
				mu.Unlock()
			}
		})
	}
	if trouble {
		time.Sleep(4 * time.Second)
		if err := w.killBusyRunner(end); err != nil {
			return nil, err
		}
	}
	clients.Wait()
	served := 0
	var violations []string
	for _, a := range answers {
		switch {
		case a.status != http.StatusOK || !a.complete:
		case a.body == callBody(a.id, cutLargeSize):
			served++
		default:
			violations = append(violations, fmt.Sprintf("request %s gets %d of %d bytes as a complete response", a.id, len(a.body), cutLargeSize))
			w.record.line("VIOLATION %s", violations[len(violations)-1])
		}
	}
	w.record.line("%d of %d requests were served", served, len(answers))
	if served < len(answers)/2 {
		return nil, fmt.Errorf("only %d of %d requests were served", served, len(answers))
	}
	return violations, nil
}

// killBusyRunner kills the first runner that has written half of a response.
func (w *world) killBusyRunner(end time.Time) error {
	for _, r := range w.runners {
		r.isAmidLarge() // forget those of before
	}
	for time.Now().Before(end) {
		for _, r := range w.runners {
			if r.isAmidLarge() {
				w.record.line("%s crashes", r.id)
				r.process.kill()
				return nil
			}
		}
		time.Sleep(2 * time.Millisecond)
	}
	return fmt.Errorf("no runner was busy")
}
