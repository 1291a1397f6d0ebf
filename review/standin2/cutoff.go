package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["cut-off"] = playCutOff }

const (
	cutOffRunners = 6
	cutOffClients = 36
	// cutOffEvents is the number of events of a stream, and cutOffGap the pause between
	// two: a stream takes 5.5 s.
	cutOffEvents = 50
	cutOffGap    = 110 * time.Millisecond
	// cutOffTime is how long the runner is cut off. It crashes in that time and is down for
	// runnerDown.
	cutOffTime   = time.Second
	runnerDown   = 500 * time.Millisecond
	cutOffPlayed = 14 * time.Second
	// idleTimeout is the gap after which clients abandon a stream.
	idleTimeout = 2 * time.Second
)

// playCutOff plays a runner, whose responses have no length, that is cut off, and crashes
// behind the cut and starts again. A stream that ends as complete must have all of its
// events, each once.
func playCutOff(w *world, trouble bool) ([]string, error) {
	if err := w.putConfig(); err != nil {
		return nil, err
	}
	w.proxied = true
	for i := range cutOffRunners {
		zone := []string{"gent-a", "gent-b"}[i%2]
		if _, err := w.startRunner(fmt.Sprintf("model-%d", i), modelName, zone, "--unframed", "--gap", cutOffGap.String()); err != nil {
			return nil, err
		}
	}
	if err := w.startGateways(); err != nil {
		return nil, err
	}
	var mu sync.Mutex
	var answers []answer
	var clients sync.WaitGroup
	end := time.Now().Add(cutOffPlayed)
	for c := range cutOffClients {
		clients.Go(func() {
			time.Sleep(time.Duration(c) * 150 * time.Millisecond)
			for time.Now().Before(end) {
				a := w.send(w.gateways[c%len(w.gateways)], "POST", streamPath+"2f", "{}", 8*time.Second, map[string]string{
					"Skylarkstep-Model": "m", headerTokens: fmt.Sprintf("714,%d", cutOffEvents*tokensPerEvent),
					"Skylarkstep-Prompt-Prefix": "5c1e07a2:40," + randomHex(8) + ":674",
				})
				mu.Lock()
				answers = append(answers, a)
				mu.Unlock()
			}
		})
	}
	if trouble {
		time.Sleep(7 * time.Second)
		if err := w.cutOffAndCrash(w.runners[0]); err != nil {
			return nil, err
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

// cutOffAndCrash cuts a runner off for cutOffTime. It crashes in that time and starts again
// under its id.
func (w *world) cutOffAndCrash(r *runner) error {
	w.record.line("%s is cut off", r.id)
	r.path.setCut(true)
	healed := time.After(cutOffTime)
	time.Sleep(100 * time.Millisecond)
	w.record.line("%s crashes", r.id)
	r.process.kill()
	time.Sleep(runnerDown)
	if err := w.startIncarnation(r); err != nil {
		return err
	}
	w.record.line("%s runs again", r.id)
	<-healed
	r.path.setCut(false)
	w.record.line("%s is reached again", r.id)
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
	if a.complete && len(ids) < cutOffEvents {
		return fmt.Sprintf("stream %s ends as complete after event %d of %d", a.id, len(ids), cutOffEvents)
	}
	return ""
}
