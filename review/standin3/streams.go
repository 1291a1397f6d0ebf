package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// streamServer is a server of a streaming service. The client's body says how many events
// the answer has.
type streamServer struct {
	d     *deployment
	id    string
	addr  string
	pause time.Duration // between two events
	// preempted is how long the engine takes to read a request again that it has preempted
	// in the middle of its stream; 0 if it preempts none. It does so with every third.
	preempted time.Duration
	mu        sync.Mutex
	runs      map[string]int // by id of the attempt
}

func (d *deployment) startStreamServer(id, service string, pause time.Duration) (*streamServer, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &streamServer{d: d, id: id, addr: l.Addr().String(), pause: pause, runs: map[string]int{}}
	server := &http.Server{Handler: s}
	d.servers = append(d.servers, server)
	go func() { _ = server.Serve(l) }()
	return s, d.putServer(id, service, s.addr, 12, time.Now())
}

// ServeHTTP implements http.Handler.
func (s *streamServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Skylarkstep-Attempt-Id")
	h := w.Header()
	h.Set("Skylarkstep-Attempt-Id", id)
	if t := r.Header.Get("Skylarkstep-Target-Instance"); t != "" && t != s.id {
		h.Set("Skylarkstep-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	events, _ := strconv.Atoi(strings.TrimSpace(string(body)))
	first := 1
	if last := r.Header.Get("Last-Event-Id"); last != "" {
		n, _ := strconv.Atoi(last)
		first = n + 1
	}
	s.mu.Lock()
	s.runs[id]++
	preempts := s.preempted > 0 && len(s.runs)%3 == 0
	s.mu.Unlock()
	s.d.rec.log("server %s runs %s: events %d to %d", s.id, id, first, events)
	h.Set("Skylarkstep-Response-Seal", "seal-"+id)
	h.Set("Content-Type", "text/event-stream")
	for i := first; i <= events; i++ {
		pause := s.pause
		if preempts && i == first+events/3 {
			s.d.rec.log("server %s preempts %s after event %d, and reads it again", s.id, id, i-1)
			pause = s.preempted
		}
		select {
		case <-time.After(pause):
		case <-r.Context().Done():
			s.d.rec.log("server %s: the connection of %s ended at event %d of %d", s.id, id, i, events)
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", i, i); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
	}
	s.d.rec.log("server %s has ended %s", s.id, id)
}

func (s *streamServer) hasRun(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id] > 0
}

// streamAnswer is what a client gets for a stream.
type streamAnswer struct {
	id       string
	sentAt   time.Time
	status   int
	events   int
	complete bool // the answer has ended as HTTP says
	err      error
	took     time.Duration
	gap      time.Duration // the longest time without an event, also before the first
}

// clientGap is the gap after which clients abandon a stream.
const clientGap = 2 * time.Second

func (a streamAnswer) String() string {
	return fmt.Sprintf("%s: status %d, %d events, complete %t, error %v, after %d ms", a.id, a.status, a.events, a.complete, a.err, a.took.Milliseconds())
}

// askStream sends a request for a stream of some events on a new connection, and reads
// the answer to its end.
func (d *deployment) askStream(addr, path string, events, maxOutputTokens int, deadline time.Duration) (a streamAnswer) {
	a = streamAnswer{id: newID(), sentAt: time.Now()}
	defer func() { a.took = time.Since(a.sentAt) }()
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(a.sentAt.Add(deadline))
	body := strconv.Itoa(events)
	var b bytes.Buffer
	fmt.Fprintf(&b, "POST %s HTTP/1.1\r\nHost: %s\r\nSkylarkstep-Attempt-Id: %s\r\n", path, host, a.id)
	fmt.Fprintf(&b, "Skylarkstep-Model: m\r\nSkylarkstep-Token-Counts: 714,%d\r\nSkylarkstep-Prompt-Prefix: 5c1e07a2:40,%s:674\r\n", maxOutputTokens, a.id[:8])
	fmt.Fprintf(&b, "Skylarkstep-Deadline-Ms: %d\r\nApi-Key: %s\r\nContent-Length: %d\r\n\r\n%s", deadline.Milliseconds(), apiKey, len(body), body)
	d.rec.log("client sends %s to %s: a stream of %d events", a.id, addr, events)
	if _, a.err = c.Write(b.Bytes()); a.err != nil {
		return a
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: http.MethodPost})
	if err != nil {
		a.err = err
		return a
	}
	a.status = resp.StatusCode
	lines := bufio.NewReader(resp.Body)
	last := a.sentAt
	for {
		line, err := lines.ReadString('\n')
		a.gap = max(a.gap, time.Since(last))
		if strings.HasPrefix(line, "id:") {
			a.events++
			last = time.Now()
		}
		if err != nil {
			a.complete = errors.Is(err, io.EOF)
			if !a.complete {
				a.err = err
			}
			return a
		}
	}
}
