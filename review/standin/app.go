package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"
)

// appConfig is a configuration with the booking application, with figures of the site
// cabina-norte.
func appConfig(host string) map[string]any {
	route := func(name, prefix, kind string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "prefix": prefix, "kind": kind, "timeoutMs": 1500, "targetLatencyMs": 300, "priority": 2,
			"service": "cabina-app", "maxAttempts": attempts, "public": false, "sticky": false,
		}
	}
	return map[string]any{
		"version":  10,
		"routes":   []map[string]any{route("slot-view", "/view/", "safe", 2), route("slot-book", "/book/", "unsafe", 1)},
		"services": []map[string]any{{"name": "cabina-app", "healthPath": "/health", "maxConnections": 100, "coldStartS": 0, "coldPerS": 0}},
		"limits":   limits,
	}
}

var limits = map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000, "idleTimeoutMs": 10000}

// startApp starts runners of the booking application and some gateways, and waits until
// all are ready.
func (d *deployment) startApp(count, gateways int) ([]*runner, error) {
	if err := d.put("op/config", appConfig(d.host)); err != nil {
		return nil, err
	}
	var runners []*runner
	for i := range count {
		r, err := d.startRunner(fmt.Sprintf("i-7f3a91c%d", i), "cabina-app", zones[i%len(zones)], 6, 60*time.Millisecond)
		if err != nil {
			return nil, err
		}
		runners = append(runners, r)
	}
	return runners, d.startGateways(gateways)
}

// startBookings sends requests that book, which are not idempotent.
func (d *deployment) startBookings(perS float64) *load {
	return d.startLoad(&load{perS: perS, method: http.MethodPost, path: "/book/dawn", deadline: 3 * time.Second, retries: 1})
}

// startViews sends requests that read the board, which are idempotent.
func (d *deployment) startViews() *load {
	return d.startLoad(&load{perS: 6, method: http.MethodGet, path: "/view/board", deadline: 3 * time.Second, retries: 1})
}

// playRefused plays a runner, one of eight, that fails part of the requests that it runs,
// for 6.5 s.
func playRefused(d *deployment, trouble bool) (int, error) {
	const (
		failing  = 0.45
		duration = 6500 * time.Millisecond
	)
	runners, err := d.startApp(8, 3)
	if err != nil {
		return notRun, err
	}
	var grey atomic.Bool
	runners[0].grey = func() int {
		if grey.Load() && rand.Float64() < failing {
			return http.StatusTooManyRequests
		}
		return 0
	}
	bookings := d.startBookings(40)
	time.Sleep(4 * time.Second)
	grey.Store(trouble)
	d.record.add("grey", "runner", runners[0].id, "on", trouble)
	time.Sleep(duration)
	grey.Store(false)
	d.record.add("grey", "runner", runners[0].id, "on", false)
	time.Sleep(3 * time.Second)
	sent, served, wrong, twice := 0, 0, 0, 0
	outcomes := bookings.end()
	for _, o := range outcomes {
		runs := 0
		for id, status := range o.attempts {
			sent++
			n := d.record.runsOf(id)
			runs += n
			if n > 0 && isPromise(status) {
				wrong++
				d.record.add("broken", "rule", "REFUSED", "id", id, "status", status, "runs", n, "booking", o.booking)
			}
		}
		if runs > 1 {
			twice++
			d.record.add("booked-twice", "booking", o.booking, "runs", runs)
		}
		if o.served {
			served++
		}
	}
	d.record.result("%d attempts of %d bookings sent, %d bookings served; %d attempts have run and were answered 429, 503, 408 or 421; %d bookings ran twice, since their callers relied on that",
		sent, len(outcomes), served, wrong, twice)
	switch {
	case len(outcomes) < 50 || 2*served < len(outcomes):
		return notRun, fmt.Errorf("the callers were not served")
	case wrong > 0:
		return broken, nil
	}
	return held, nil
}

// isPromise reports whether a status promises that the request has not run.
func isPromise(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// playPartialEntries plays entries of another writer that lack fields. They have the
// service and the address of a server that is no runner.
func playPartialEntries(d *deployment, trouble bool) (int, error) {
	return d.playOddEntries(trouble, false, func([]*runner) (map[string]any, error) {
		entries := map[string]any{}
		for i, z := range zones {
			addr, stop, err := serveNothing()
			if err != nil {
				return nil, err
			}
			d.closers = append(d.closers, stop)
			// version, coldRemainingMs, sequence and born are missing.
			entries[fmt.Sprintf("servers/x-%d", i)] = map[string]any{"service": "cabina-app", "address": addr, "zone": z, "slots": 64, "state": "ready"}
		}
		return entries, nil
	})
}

// playUnknownService plays entries of another writer with a service that no
// configuration names, at the addresses of the runners.
func playUnknownService(d *deployment, trouble bool) (int, error) {
	return d.playOddEntries(trouble, true, func(runners []*runner) (map[string]any, error) {
		entries := map[string]any{}
		for i, r := range runners {
			entries[fmt.Sprintf("servers/x-%d", i)] = map[string]any{
				"service": "other-app", "address": r.addr, "zone": r.zone, "version": "v1", "slots": 6, "state": "ready",
				"coldRemainingMs": 0, "sequence": 1, "born": time.Now().UnixMilli(),
			}
		}
		return entries, nil
	})
}

// serveNothing accepts connections, reads and never answers.
func serveNothing() (string, func(), error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				buf := make([]byte, 4096)
				for {
					if _, err := c.Read(buf); err != nil {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String(), func() { _ = l.Close() }, nil
}

// playOddEntries writes entries of another writer and then plays a final fault. It
// checks which part of the requests is served later than recoveryS after it. The callers
// book; with views they also read the board.
func (d *deployment) playOddEntries(trouble, withViews bool, entries func([]*runner) (map[string]any, error)) (int, error) {
	const (
		recoveryTime = 12 * time.Second // recoveryS
		downTime     = 1400 * time.Millisecond
	)
	runners, err := d.startApp(3, 4)
	if err != nil {
		return notRun, err
	}
	loads := []*load{d.startBookings(10)}
	if withViews {
		loads = append(loads, d.startViews())
	}
	time.Sleep(12 * time.Second)
	if trouble {
		odd, err := entries(runners)
		if err != nil {
			return notRun, err
		}
		for key, value := range odd {
			if err := d.put(key, value); err != nil {
				return notRun, err
			}
			d.record.add("entry", "key", key, "value", fmt.Sprint(value))
		}
	}
	fault := d.record.add("final-fault", "what", "all processes are killed")
	for _, g := range d.gateways {
		g.signal(syscall.SIGKILL)
	}
	time.Sleep(downTime)
	for _, g := range d.gateways {
		<-g.exited
		if err := g.start(); err != nil {
			return notRun, err
		}
	}
	back := d.record.add("machines-back")
	time.Sleep(recoveryTime + 15*time.Second)
	var before, servedBefore, after, servedAfter int
	for _, l := range loads {
		for _, o := range l.end() {
			switch {
			case o.sentAt.Before(fault):
				before, servedBefore = before+1, servedBefore+count(o.served)
			case o.sentAt.After(back.Add(recoveryTime)):
				after, servedAfter = after+1, servedAfter+count(o.served)
			}
		}
	}
	d.record.result("before the final fault %d of %d requests were served; of those sent later than recoveryS after the machines were back %d of %d",
		servedBefore, before, servedAfter, after)
	switch {
	case before < 50 || after < 50 || 4*servedBefore < before:
		return notRun, fmt.Errorf("the callers were not served before the fault")
	case 4*servedAfter < after:
		d.record.add("broken", "rule", "RECOVER")
		return broken, nil
	}
	return held, nil
}

func count(b bool) int {
	if b {
		return 1
	}
	return 0
}
