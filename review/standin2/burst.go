package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["burst"] = playBurst }

const (
	// bodySize is below maxBodyBytes of the configuration, and uploadTime how long a client
	// takes to send it: 40 of them need three fifths of the link of a gateway.
	bodySize    = 4_190_000
	uploadTime  = 2300 * time.Millisecond
	uploadParts = 40
	// burstClients send to each gateway at the same time, in each of the bursts.
	burstClients  = 40
	bursts        = 5
	burstInterval = 7 * time.Second
	restartDelay  = 500 * time.Millisecond
	// maxEnds is the number of ends of the processes of one machine, on two machines, that
	// makes a day count 0.
	maxEnds = 3
)

// playBurst plays clients that come at once, with bodies that the configuration allows. The
// platform kills a process whose memory exceeds the limit in its settings, and starts it
// again. Without the disruption, the clients come one after the other.
func playBurst(w *world, trouble bool) ([]string, error) {
	if err := w.putConfig(); err != nil {
		return nil, err
	}
	for i := range 3 {
		zone := []string{"gent-a", "gent-b"}[i%2]
		if _, err := w.startRunner(fmt.Sprintf("booking-%d", i), bookingName, zone); err != nil {
			return nil, err
		}
	}
	if err := w.startGateways(); err != nil {
		return nil, err
	}
	p := &platform{world: w, ends: make([]int, len(w.gateways)), addrs: make([]string, len(w.gateways))}
	for i, g := range w.gateways {
		p.addrs[i] = g.front()
	}
	stop := make(chan struct{})
	var watching sync.WaitGroup
	for i := range w.gateways {
		watching.Go(func() { p.watch(i, stop) })
	}
	served := 0
	if trouble {
		for range bursts {
			served += p.burst(burstClients)
			time.Sleep(burstInterval - uploadTime)
		}
	} else {
		for range 2 * bursts {
			served += p.burst(1)
		}
	}
	close(stop)
	watching.Wait()
	w.record.line("%d requests were served; processes that ended for their memory: %v", served, p.ends)
	if !trouble && served == 0 {
		return nil, fmt.Errorf("no request was served")
	}
	for _, ends := range p.ends {
		if ends < maxEnds {
			return nil, nil
		}
	}
	return []string{fmt.Sprintf("the processes of two machines ended %v times for their memory", p.ends)}, nil
}

// platform watches the memory of the gateways.
type platform struct {
	world *world
	mu    sync.Mutex
	ends  []int
	addrs []string
}

// watch kills the process of a gateway that exceeds its memory, and starts it again.
func (p *platform) watch(i int, stop <-chan struct{}) {
	w := p.world
	for {
		select {
		case <-stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		g := w.gateways[i]
		rss := residentKB(g.cmd.Process.Pid)
		if rss <= memoryMb<<10 {
			continue
		}
		w.record.line("%s has %d MB, over its limit of %d MB, and is killed", g.name, rss>>10, memoryMb)
		g.kill()
		p.mu.Lock()
		p.ends[i]++
		p.mu.Unlock()
		time.Sleep(restartDelay)
		next, err := w.runGateway(g.name, g.ip)
		if err != nil {
			w.record.line("%s does not start again: %v", g.name, err)
			return
		}
		w.gateways[i] = next
	}
}

// residentKB returns the resident memory of a process in KB, without files.
func residentKB(pid int) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(status), "RssAnon:")
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return 0
	}
	kb, _ := strconv.Atoi(fields[0])
	return kb
}

// burst sends requests to all gateways at the same time and returns how many were served.
func (p *platform) burst(clients int) int {
	w := p.world
	w.record.line("%d clients send %d bytes each to each gateway", clients, bodySize)
	var mu sync.Mutex
	served, results := 0, map[string]int{}
	var sending sync.WaitGroup
	for i := range p.addrs {
		for range clients {
			sending.Go(func() {
				status := upload(p.addrs[i])
				mu.Lock()
				defer mu.Unlock()
				results[status]++
				if status == "200" {
					served++
				}
			})
		}
	}
	sending.Wait()
	w.record.line("clients got %v", results)
	return served
}

// upload sends one request and returns the status of the response.
func upload(addr string) string {
	client := http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	body := &pacedReader{Reader: bytes.NewReader(bytes.Repeat([]byte("b"), bodySize))}
	r, err := http.NewRequest(http.MethodPost, "http://"+addr+unsafePath+"2f", body)
	if err != nil {
		return "no request"
	}
	r.ContentLength, r.Host = bodySize, host
	r.Header.Set(headerAttempt, randomHex(16))
	r.Header.Set(headerKey, apiKey)
	r.Header.Set(headerDeadline, "3000")
	resp, err := client.Do(r)
	if err != nil {
		return "no response"
	}
	_ = resp.Body.Close()
	return strconv.Itoa(resp.StatusCode)
}

// pacedReader takes uploadTime for a body.
type pacedReader struct {
	io.Reader
	started time.Time
	read    int
}

// Read implements io.Reader.
func (p *pacedReader) Read(b []byte) (int, error) {
	if p.started.IsZero() {
		p.started = time.Now()
	}
	time.Sleep(time.Until(p.started.Add(uploadTime * time.Duration(p.read) / bodySize)))
	n, err := p.Reader.Read(b[:min(len(b), bodySize/uploadParts)])
	p.read += n
	return n, err
}
