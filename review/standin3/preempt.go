package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

func init() { cases["preempted-stream"] = preemptedStream }

// preemptedStream sends six gateways the usual streams of a small site, for twelve servers,
// and three of them a SIGHUP. The engines preempt every third stream in the middle, as the
// pages say, and read it again, which takes longer than a pause between events but less
// than clients wait. They answer each in full.
func preemptedStream(d *deployment, trouble bool) (bool, error) {
	const (
		gatewayCount, serverCount = 6, 12
		eventPause                = 60 * time.Millisecond
		readAgain                 = 1300 * time.Millisecond // clients wait 2 s
		events                    = 28
		perS                      = 56
		deadline                  = 8 * time.Second
		testTime                  = 24 * time.Second
		beforeTraffic             = 10 * time.Second // as on the sites
		firstHUP, betweenHUPs     = 9 * time.Second, 500 * time.Millisecond
		hupCount                  = gatewayCount / 2
		configApply               = 2 * time.Second
	)
	ctx := context.Background()
	if err := d.putConfig(1, []string{"lm-pool"}, route("chat", "/chat/", "streaming", "lm-pool", 8000, 400, 2)); err != nil {
		return false, err
	}
	var servers []*streamServer
	for i := range serverCount {
		s, err := d.startStreamServer(fmt.Sprintf("i-%d", i+1), "lm-pool", eventPause)
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
		names = append(names, fmt.Sprintf("front-gent-a-%d", i+1))
	}
	gateways, err := d.startGateways(ctx, names...)
	if err != nil {
		return false, err
	}
	time.Sleep(beforeTraffic)
	type sent struct {
		gateway int
		answer  streamAnswer
	}
	var mu sync.Mutex
	var all []sent
	var hups []time.Time // by gateway
	var wg sync.WaitGroup
	ticker := time.NewTicker(time.Second / perS)
	defer ticker.Stop()
	nextHUP := time.Now().Add(firstHUP)
	for end := time.Now().Add(testTime); time.Now().Before(end); <-ticker.C {
		if len(hups) < hupCount && time.Now().After(nextHUP) {
			gateways[len(hups)].signal(syscall.SIGHUP)
			hups = append(hups, time.Now())
			nextHUP = nextHUP.Add(betweenHUPs)
		}
		i := rand.IntN(gatewayCount)
		wg.Go(func() {
			a := d.askStream(gateways[i].callerAddr(), "/chat/1", events, 140, deadline)
			d.rec.log("client got %v", a)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, sent{i, a})
		})
	}
	wg.Wait()
	cut, lost, left := 0, 0, 0
	for _, s := range all {
		a := s.answer
		if a.gap > clientGap {
			left++
			continue
		}
		if a.complete || !hasRunAtAny(servers, a.id) {
			continue
		}
		cut++
		if s.gateway >= len(hups) {
			continue
		}
		if after := a.sentAt.Sub(hups[s.gateway]); after >= 0 && after <= configApply {
			lost++
			d.rec.log("LOST: %s was sent %d ms after the SIGHUP of its gateway, was passed on, and ended without a complete answer", a.id, after.Milliseconds())
		}
	}
	d.rec.log("%d streams, %d of them cut, %d of these sent up to configApplyMs after a SIGHUP; %d with a gap for which clients leave", len(all), cut, lost, left)
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
