package main

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["preempted-stream"] = preemptedStream }

// preemptedStream sends one of seven gateways its usual share of the streams, for twelve
// servers, and a SIGHUP from time to time. The engines preempt every third stream in the
// middle, as the pages say, and read it again, which takes longer than a pause between
// events but less than clients wait. They answer each in full.
func preemptedStream(d *deployment, trouble bool) (bool, error) {
	const (
		gatewayCount, serverCount = 7, 12
		eventPause                = 60 * time.Millisecond
		readAgain                 = 1300 * time.Millisecond // clients wait 2 s
		events                    = 28
		perS                      = 8 // 56 streams a second at 7 machines
		deadline                  = 8 * time.Second
		testTime                  = 24 * time.Second
		firstHUP, betweenHUPs     = 12 * time.Second, 3 * time.Second
		configApply               = 2 * time.Second
	)
	ctx := context.Background()
	if err := d.putConfig(1, []string{"pintor-lm"}, route("chat", "/chat/", "streaming", "pintor-lm", 8000, 400, 2)); err != nil {
		return false, err
	}
	var servers []*streamServer
	for i := range serverCount {
		s, err := d.startStreamServer(fmt.Sprintf("i-%d", i+1), "pintor-lm", eventPause)
		if err != nil {
			return false, err
		}
		if trouble {
			s.preempted = readAgain
		}
		servers = append(servers, s)
	}
	var names []string
	for i := range gatewayCount {
		names = append(names, fmt.Sprintf("front-burgos-%d", i+1))
	}
	gateways, err := d.startGateways(ctx, names...)
	if err != nil {
		return false, err
	}
	var mu sync.Mutex
	var answers []streamAnswer
	var hups []time.Time
	var wg sync.WaitGroup
	ticker := time.NewTicker(time.Second / perS)
	defer ticker.Stop()
	nextHUP := time.Now().Add(firstHUP)
	for end := time.Now().Add(testTime); time.Now().Before(end); <-ticker.C {
		if time.Now().After(nextHUP) {
			hups = append(hups, time.Now())
			gateways[0].signal(syscall.SIGHUP)
			nextHUP = nextHUP.Add(betweenHUPs)
		}
		wg.Go(func() {
			a := d.askStream(gateways[0].callerAddr(), "/chat/1", events, 350, deadline)
			d.rec.log("client got %v", a)
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, a)
		})
	}
	wg.Wait()
	cut, lost := 0, 0
	for _, a := range answers {
		if a.complete || !hasRunAtAny(servers, a.id) {
			continue
		}
		cut++
		for _, at := range hups {
			if after := a.sentAt.Sub(at); after >= 0 && after <= configApply {
				lost++
				d.rec.log("LOST: %s was sent %d ms after a SIGHUP, was passed on, and ended without a complete answer", a.id, after.Milliseconds())
				break
			}
		}
	}
	d.rec.log("%d streams, %d of them cut, %d of these sent up to configApplyMs after a SIGHUP", len(answers), cut, lost)
	return lost > 0, nil
}

func hasRunAtAny(servers []*streamServer, id string) bool {
	for _, s := range servers {
		if s.hasRun(id) {
			return true
		}
	}
	return false
}
