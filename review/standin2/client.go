package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// answer is what a client has got for a request.
type answer struct {
	id       string
	status   int // 0 if there is no response
	sealed   bool
	body     string
	complete bool // the response has ended as its framing says
	// longestGap is the longest pause between two parts of the body, and before the first.
	longestGap time.Duration
	err        error
}

var httpClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32, DisableCompression: true}}

// send sends one attempt to a gateway and reads the response to its end.
func (w *world) send(g *process, method, path, body string, deadline time.Duration, header map[string]string) answer {
	a := answer{id: randomHex(16)}
	ctx, cancel := context.WithTimeout(w.ctx, deadline+500*time.Millisecond)
	defer cancel()
	var payload io.Reader
	if body != "" {
		payload = strings.NewReader(body)
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+g.front()+path, payload)
	if err != nil {
		a.err = err
		return a
	}
	r.GetBody = nil // a client sends an attempt once
	r.Host = host
	r.Header.Set(headerAttempt, a.id)
	r.Header.Set(headerKey, apiKey)
	r.Header.Set(headerDeadline, strconv.FormatInt(deadline.Milliseconds(), 10))
	for name, value := range header {
		r.Header.Set(name, value)
	}
	w.record.line("client sends %s %s %s to %s", method, path, a.id, g.name)
	resp, err := httpClient.Do(r)
	if err != nil {
		a.err = err
		w.record.line("client gets no response to %s: %v", a.id, err)
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	data, longestGap, err := readTimed(resp.Body)
	a.longestGap = longestGap
	a.status, a.sealed, a.body, a.complete, a.err = resp.StatusCode, resp.Header.Get(headerSeal) != "", string(data), err == nil, err
	w.record.line("client gets status %d to %s, sealed %t, %d bytes, complete %t", a.status, a.id, a.sealed, len(data), a.complete)
	return a
}

// events returns the ids of the events of a stream, and an error if one of them is not
// the runner's.
func (a answer) events() ([]int, error) {
	var ids []int
	for text := range strings.SplitAfterSeq(a.body, "\n\n") {
		if text == "" {
			continue
		}
		line, _, _ := strings.Cut(text, "\n")
		i, err := strconv.Atoi(strings.TrimPrefix(line, "id: "))
		if err != nil || text != event(a.id, i) {
			return ids, fmt.Errorf("foreign event %q", text)
		}
		ids = append(ids, i)
	}
	return ids, nil
}

// readTimed reads a body to its end and measures the longest pause.
func readTimed(body io.Reader) (data []byte, longestGap time.Duration, err error) {
	buf, last := make([]byte, 32<<10), time.Now()
	for {
		n, err := body.Read(buf)
		longestGap, last = max(longestGap, time.Since(last)), time.Now()
		data = append(data, buf[:n]...)
		if err == io.EOF {
			return data, longestGap, nil
		}
		if err != nil {
			return data, longestGap, err
		}
	}
}
