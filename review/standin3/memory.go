package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["slow-readers-memory"] = slowReadersMemory }

// memoryMb is limits.memoryMb of the settings: the platform kills a process above it.
const memoryMb = 284

// rssMB returns the memory that a process uses now, in MB, or 0 if it has ended.
func rssMB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb / 1024
		}
	}
	return 0
}

// slowReader is a server that reads the bodies of requests at a limited rate, and answers
// with a short stream.
type slowReader struct {
	d          *deployment
	id         string
	bytesPerS  int // 0: as fast as they come
	inProgress atomic.Int64
}

// ServeHTTP implements http.Handler.
func (s *slowReader) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.inProgress.Add(1)
	defer s.inProgress.Add(-1)
	id, began := r.Header.Get("Skylarkstep-Attempt-Id"), time.Now()
	read := 0
	buf := make([]byte, 64<<10)
	for {
		n, err := r.Body.Read(buf)
		read += n
		if err == io.EOF {
			break
		}
		if err != nil {
			return
		}
		if s.bytesPerS > 0 {
			time.Sleep(time.Duration(float64(n) / float64(s.bytesPerS) * float64(time.Second)))
		}
	}
	s.d.rec.log("server %s runs %s after reading %d bytes in %d ms", s.id, id, read, time.Since(began).Milliseconds())
	h := w.Header()
	h.Set("Skylarkstep-Attempt-Id", id)
	h.Set("Skylarkstep-Response-Seal", "seal-"+id)
	h.Set("Content-Type", "text/event-stream")
	for i := 1; i <= 5; i++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", i, i)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(20 * time.Millisecond)
	}
}

// slowReadersMemory sends two gateways the usual number of requests of one instance, with
// bodies as long as the configuration allows, to servers that read slowly. It stands in
// for the platform, which kills a process above its memoryMb and starts it again.
func slowReadersMemory(d *deployment, trouble bool) (bool, error) {
	const (
		bodyBytes     = 4 << 20 // limits.maxBodyBytes
		perGatewayS   = 8       // 56 streams a second at 7 machines
		slowBytesPerS = 1 << 20
		deadline      = 8 * time.Second
		maxTime       = 60 * time.Second
		endsToBreak   = 3 // of each of two machines
		restartPause  = 500 * time.Millisecond
		serverCount   = 6
	)
	ctx, cancel := context.WithTimeout(context.Background(), maxTime)
	defer cancel()
	if err := d.putConfig(1, []string{"pintor-lm"}, route("chat", "/chat/", "streaming", "pintor-lm", 8000, 400, 2)); err != nil {
		return false, err
	}
	for i := range serverCount {
		s := &slowReader{d: d, id: fmt.Sprintf("i-%d", i+1)}
		if trouble {
			s.bytesPerS = slowBytesPerS
		}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return false, err
		}
		server := &http.Server{Handler: s}
		d.servers = append(d.servers, server)
		go func() { _ = server.Serve(l) }()
		if err := d.putServer(s.id, "pintor-lm", l.Addr().String(), 12, time.Now()); err != nil {
			return false, err
		}
	}
	gateways, err := d.startGateways(ctx, "front-burgos-1", "front-burgos-2")
	if err != nil {
		return false, err
	}
	var ends [2]atomic.Int64
	var peak [2]atomic.Int64
	var wg sync.WaitGroup
	body := bytes.Repeat([]byte("x"), bodyBytes)
	enough := func() bool { return ends[0].Load() >= endsToBreak && ends[1].Load() >= endsToBreak }
	for i, g := range gateways {
		wg.Go(func() { // the platform
			for ctx.Err() == nil && !enough() {
				time.Sleep(20 * time.Millisecond)
				mb := rssMB(g.cmd.Process.Pid)
				peak[i].Store(max(peak[i].Load(), int64(mb)))
				if mb <= memoryMb {
					continue
				}
				ends[i].Add(1)
				d.rec.log("platform: %s uses %d MB, memoryMb is %d: killed, for the %d. time", g.name, mb, memoryMb, ends[i].Load())
				g.signal(syscall.SIGKILL)
				<-g.done
				time.Sleep(restartPause)
				if err := g.start(); err != nil {
					d.rec.log("%v", err)
					return
				}
			}
		})
		wg.Go(func() { // its clients
			var requests sync.WaitGroup
			ticker := time.NewTicker(time.Second / perGatewayS)
			defer ticker.Stop()
			for ctx.Err() == nil && !enough() {
				<-ticker.C
				requests.Go(func() { d.rec.log("client got %s", d.upload(g.callerAddr(), body, deadline)) })
			}
			requests.Wait()
		})
	}
	wg.Wait()
	d.rec.log("peak memory: %d and %d MB; killed for it %d and %d times", peak[0].Load(), peak[1].Load(), ends[0].Load(), ends[1].Load())
	return enough(), nil
}

// upload sends a request with a body on a new connection and returns what came back.
func (d *deployment) upload(addr string, body []byte, deadline time.Duration) string {
	id, began := newID(), time.Now()
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return fmt.Sprintf("%s: no connection to %s", id, addr)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(began.Add(deadline))
	head := fmt.Sprintf("POST /chat/1 HTTP/1.1\r\nHost: %s\r\nSkylarkstep-Attempt-Id: %s\r\nSkylarkstep-Model: m\r\nSkylarkstep-Token-Counts: 700,100\r\n"+
		"Skylarkstep-Deadline-Ms: %d\r\nApi-Key: %s\r\nContent-Length: %d\r\n\r\n", host, id, deadline.Milliseconds(), apiKey, len(body))
	if _, err = io.WriteString(c, head); err == nil {
		_, err = c.Write(body)
	}
	if err != nil {
		return fmt.Sprintf("%s: not sent completely after %d ms: %v", id, time.Since(began).Milliseconds(), err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return fmt.Sprintf("%s: no answer after %d ms: %v", id, time.Since(began).Milliseconds(), err)
	}
	n, err := io.Copy(io.Discard, resp.Body)
	return fmt.Sprintf("%s: status %d, %d bytes, error %v, after %d ms", id, resp.StatusCode, n, err, time.Since(began).Milliseconds())
}
