package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["frozen"] = playFrozen }

const (
	frozenRunners = 6
	frozenClients = 36
	// frozenEvents is the number of events of a stream, and frozenGap the pause between
	// two: a stream takes 5.5 s.
	frozenEvents = 50
	frozenGap    = 110 * time.Millisecond
	// frozenTime is how long the gateway stands still. The runner crashes in that time and
	// is down for runnerDown.
	frozenTime = 1600 * time.Millisecond
	runnerDown = 900 * time.Millisecond
	playedTime = 14 * time.Second
	// idleTimeout is the gap after which clients abandon a stream.
	idleTimeout = 2 * time.Second
)

// playFrozen plays a gateway that stands still while a runner, whose responses have no
// length, crashes and starts again. A stream that ends as complete must have all of its
// events, each once.
func playFrozen(w *world, trouble bool) ([]string, error) {
	if err := w.putConfig(); err != nil {
		return nil, err
	}
	for i := range frozenRunners {
		zone := []string{"gent-a", "gent-b"}[i%2]
		if _, err := w.startRunner(fmt.Sprintf("model-%d", i), modelName, zone, "--unframed", "--gap", frozenGap.String()); err != nil {
			return nil, err
		}
	}
	if err := w.startGateways(); err != nil {
		return nil, err
	}
	var mu sync.Mutex
	var answers []answer
	var clients sync.WaitGroup
	end := time.Now().Add(playedTime)
	for c := range frozenClients {
		clients.Go(func() {
			time.Sleep(time.Duration(c) * 150 * time.Millisecond)
			for time.Now().Before(end) {
				a := w.send(w.gateways[c%len(w.gateways)], "POST", streamPath+"2f", "{}", 8*time.Second, map[string]string{
					"Skylarkstep-Model": "m", headerTokens: fmt.Sprintf("714,%d", frozenEvents*tokensPerEvent),
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
		if err := w.freezeAndCrash(w.gateways[0], w.runners[0]); err != nil {
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

// freezeAndCrash stops a gateway for frozenTime. A runner crashes in that time and starts
// again under its id.
func (w *world) freezeAndCrash(g *process, r *runner) error {
	w.record.line("%s stands still", g.name)
	g.signal(syscall.SIGSTOP)
	wake := time.After(frozenTime)
	time.Sleep(100 * time.Millisecond)
	w.record.line("%s crashes", r.id)
	r.process.kill()
	time.Sleep(runnerDown)
	if err := w.startIncarnation(r); err != nil {
		return err
	}
	w.record.line("%s is back", r.id)
	<-wake
	g.signal(syscall.SIGCONT)
	w.record.line("%s goes on", g.name)
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
	if a.complete && len(ids) < frozenEvents {
		return fmt.Sprintf("stream %s ends as complete after event %d of %d", a.id, len(ids), frozenEvents)
	}
	return ""
}
