package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// record is the file that tells what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	f     *os.File
	start time.Time
	runs  map[string]int // by request id
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{f: f, start: time.Now(), runs: map[string]int{}}, nil
}

// add writes one line: the time since the start in seconds, what happened, and its
// fields.
func (r *record) add(what string, fields ...any) time.Time {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	var b strings.Builder
	fmt.Fprintf(&b, "%9.3f %s", now.Sub(r.start).Seconds(), what)
	for i := 0; i+1 < len(fields); i += 2 {
		fmt.Fprintf(&b, " %v=%v", fields[i], fields[i+1])
	}
	_, _ = fmt.Fprintln(r.f, b.String())
	return now
}

// addRun records that a runner has begun to work on a request.
func (r *record) addRun(runner, id, path, body string) {
	r.add("run", "runner", runner, "id", id, "path", path, "body", body)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id]++
}

// runsOf returns how often a request has run.
func (r *record) runsOf(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}

// result writes what was found to the record and to standard output.
func (r *record) result(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.add("result", "text", text)
	fmt.Println(text)
}

func (r *record) close() { _ = r.f.Close() }
