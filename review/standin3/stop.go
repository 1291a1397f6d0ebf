package main

import (
	"context"
	"sync"
	"syscall"
	"time"
)

func init() { cases["late-stream-in-stop"] = lateStreamInStop }

// lateStreamInStop stops a gateway as planned after it has served some short streams, and
// sends it long ones later than 3 s after the SIGTERM. A request that it passes on must get
// its complete answer.
func lateStreamInStop(d *deployment, trouble bool) (bool, error) {
	const (
		eventPause   = 90 * time.Millisecond
		maxTokens    = 350
		shortStreams = 12
		longStreams  = 4
		longEvents   = 60 // 5.4 s
		deadline     = 8 * time.Second
	)
	ctx := context.Background()
	if err := d.putConfig(1, []string{"lm-pool"}, route("chat", "/chat/", "streaming", "lm-pool", 8000, 400, 2)); err != nil {
		return false, err
	}
	var servers []*streamServer
	for _, id := range []string{"i-1", "i-2"} {
		s, err := d.startStreamServer(id, "lm-pool", eventPause)
		if err != nil {
			return false, err
		}
		servers = append(servers, s)
	}
	gateways, err := d.startGateways(ctx, "front-gent-a-1", "front-gent-a-2")
	if err != nil {
		return false, err
	}
	addr := gateways[0].callerAddr()
	for i := range shortStreams {
		d.rec.log("client got %v", d.askStream(addr, "/chat/1", 6+i%5, maxTokens, deadline))
	}
	// Clients keep an address for some seconds, and go on.
	usual, endUsual := context.WithCancel(ctx)
	var others sync.WaitGroup
	defer others.Wait()
	defer endUsual()
	others.Go(func() {
		for i := 0; usual.Err() == nil; i++ {
			d.rec.log("client got %v", d.askStream(addr, "/chat/1", 6+i%5, maxTokens, deadline))
			time.Sleep(200 * time.Millisecond)
		}
	})
	time.Sleep(500 * time.Millisecond)
	stoppedAt := time.Now()
	if trouble {
		gateways[0].signal(syscall.SIGTERM)
	}
	time.Sleep(3200 * time.Millisecond)
	answers := make([]streamAnswer, longStreams)
	var wg sync.WaitGroup
	for i := range longStreams {
		wg.Go(func() {
			answers[i] = d.askStream(addr, "/chat/1", longEvents, maxTokens, deadline)
			d.rec.log("client got %v", answers[i])
		})
		time.Sleep(100 * time.Millisecond)
	}
	endUsual()
	wg.Wait()
	broken := false
	for _, a := range answers {
		passedOn := hasRunAtAny(servers, a.id)
		if passedOn && !a.complete {
			broken = true
			d.rec.log("LOST: %s was sent %d ms after the SIGTERM, was passed on, and ended without a complete answer", a.id, a.sentAt.Sub(stoppedAt).Milliseconds())
		}
	}
	return broken, nil
}
