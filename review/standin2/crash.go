package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["crash"] = playCrash }

const (
	crashRunners = 6
	crashClients = 60
	// crashEvents is the number of events of a stream, and crashGap the pause between two: a
	// stream takes 5.5 s.
	crashEvents = 50
	crashGap    = 110 * time.Millisecond
	// crashes is the number of crashes, one at a time, and crashInterval the time between
	// two. The runner is down for crashDown.
	crashes       = 18
	crashInterval = 3 * time.Second
	crashDown     = 1500 * time.Millisecond
	crashBegin    = 6 * time.Second
	crashPlayed   = crashBegin + crashes*crashInterval
	// idleTimeout is the gap after which clients abandon a stream.
	idleTimeout = 2 * time.Second
)

// playCrash plays crashes of single runners whose responses have no length. A stream that
// ends as complete must have all of its events, each once.
func playCrash(w *world, trouble bool) ([]string, error) {
	if err := w.putConfig(); err != nil {
		return nil, err
	}
	for i := range crashRunners {
		zone := []string{"gent-a", "gent-b"}[i%2]
		if _, err := w.startRunner(fmt.Sprintf("model-%d", i), modelName, zone, "--unframed", "--gap", crashGap.String()); err != nil {
			return nil, err
		}
	}
	if err := w.startGateways(); err != nil {
		return nil, err
	}
	var mu sync.Mutex
	var answers []answer
	var clients sync.WaitGroup
	end := time.Now().Add(crashPlayed)
	for c := range crashClients {
		clients.Go(func() {
			time.Sleep(time.Duration(c) * 90 * time.Millisecond)
			for time.Now().Before(end) {
				a := w.send(w.gateways[c%len(w.gateways)], "POST", streamPath+"2f", "{}", 8*time.Second, map[string]string{
					"Skylarkstep-Model": "m", headerTokens: fmt.Sprintf("714,%d", crashEvents*tokensPerEvent),
					"Skylarkstep-Prompt-Prefix": "5c1e07a2:40," + randomHex(8) + ":674",
				})
				mu.Lock()
				answers = append(answers, a)
				mu.Unlock()
			}
		})
	}
	if trouble {
		time.Sleep(crashBegin)
		for i := range crashes {
			if err := w.crash(w.runners[i%crashRunners]); err != nil {
				return nil, err
			}
			time.Sleep(crashInterval - crashDown)
		}
	}
	clients.Wait()
	served := 0
	var violations []string
	for _, a := range answers {
		violation := checkStream(a)
		switch {
		case violation != "":
			violations = append(violations, violation)
			w.record.line("VIOLATION %s", violation)
		case a.status == http.StatusOK && a.complete:
			served++
		}
	}
	w.record.line("%d of %d streams were served", served, len(answers))
	if served < len(answers)/2 {
		return nil, fmt.Errorf("only %d of %d streams were served", served, len(answers))
	}
	return violations, nil
}

// crash kills a runner and starts it again under its id after crashDown.
func (w *world) crash(r *runner) error {
	w.record.line("%s crashes", r.id)
	r.process.kill()
	time.Sleep(crashDown)
	if err := w.startIncarnation(r); err != nil {
		return err
	}
	w.record.line("%s runs again", r.id)
	return nil
}

// checkStream returns how a stream breaks the rule ORDER, or "". A stream with a gap after
// which its client has gone is not judged.
func checkStream(a answer) string {
	if a.status != http.StatusOK || a.longestGap > idleTimeout {
		return ""
	}
	ids, err := a.events()
	if err != nil && a.complete {
		return fmt.Sprintf("stream %s: %v", a.id, err)
	}
	for i, id := range ids {
		if id != i+1 {
			return fmt.Sprintf("stream %s: event %d follows %d events", a.id, id, i)
		}
	}
	if a.complete && len(ids) < crashEvents {
		return fmt.Sprintf("stream %s ends as complete after event %d of %d", a.id, len(ids), crashEvents)
	}
	return ""
}
