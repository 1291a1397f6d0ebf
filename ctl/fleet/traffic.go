package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	requestDeadline = 6 * time.Second
	// maxResponseBytes limits a response.
	maxResponseBytes = 1 << 20
	// resendDelay is the pause before a caller sends a failed request once more,
	// if the response does not tell one.
	resendDelay = 200 * time.Millisecond
)

// outcome is what a caller saw of one request.
type outcome struct {
	at       time.Duration // after the start of the run
	crashing bool
	gateway  string
	id       string
	status   int
	complete bool
	notRun   bool
	kind     string
	retry    bool
}

// sendTraffic sends the requests of all flows.
func (f *Fleet) sendTraffic(running *sync.WaitGroup) {
	for i, flow := range f.scenario.Flows {
		rng := rand.New(rand.NewPCG(f.scenario.Seed, uint64(10+i)))
		running.Go(func() {
			at := milliseconds(flow.FromMs)
			for n := 0; ; n++ {
				at += time.Duration(rng.ExpFloat64() / flow.RatePerS * float64(time.Second))
				if at >= f.scenario.duration() || f.ctx.Err() != nil {
					return
				}
				time.Sleep(time.Until(f.start.Add(at)))
				id := fmt.Sprintf("%s-%d", flow.Name, n)
				parts := flow.parts(id, rng)
				running.Go(func() { f.sendWithRetry(id, parts, flow.CrashingPart != "") })
			}
		})
	}
}

// parts returns the parts of a prompt: one that all requests of all flows share,
// that of a session, the one that crashes targets, and one of its own.
func (flow *Flow) parts(id string, rng *rand.Rand) []string {
	parts := []string{"first"}
	if flow.Sessions > 0 {
		parts = append(parts, fmt.Sprintf("%s-session-%d", flow.Name, rng.IntN(flow.Sessions)))
	}
	if flow.CrashingPart != "" {
		parts = append(parts, flow.CrashingPart)
	}
	return append(parts, id)
}

// sendWithRetry sends a request, and once more if it fails.
func (f *Fleet) sendWithRetry(id string, parts []string, crashing bool) {
	first := f.send(id, parts, crashing, false)
	if first.complete || f.ctx.Err() != nil {
		return
	}
	time.Sleep(resendDelay)
	f.send(id+"-again", parts, crashing, true)
}

// pick returns a gateway that callers may use.
func (f *Fleet) pick() *member {
	f.mu.Lock()
	defer f.mu.Unlock()
	var usable []*member
	for _, m := range f.members {
		if m.gateway.Ready() == nil {
			usable = append(usable, m)
		}
	}
	if len(usable) == 0 {
		return f.members[rand.N(len(f.members))]
	}
	return usable[rand.N(len(usable))]
}

func (f *Fleet) send(id string, parts []string, crashing, retry bool) outcome {
	m := f.pick()
	o := outcome{at: time.Since(f.start), crashing: crashing, gateway: m.id, id: id, retry: retry}
	status, body, err := m.post(f.ctx, id, parts)
	o.status = status
	if status == http.StatusOK {
		o.complete = err == nil && isCompleteStream(body)
		if err == nil && !o.complete && f.ctx.Err() == nil {
			f.fail("request %s: a success with an incomplete stream: %q", id, body)
		}
	} else {
		var e struct {
			Kind   string `json:"kind"`
			DidRun string `json:"did_run"`
		}
		_ = json.Unmarshal(body, &e) // other bodies have no kind
		o.kind, o.notRun = e.Kind, e.DidRun == "not_run"
	}
	f.mu.Lock()
	f.outcomes = append(f.outcomes, o)
	f.mu.Unlock()
	return o
}

var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

func (m *member) post(ctx context.Context, id string, parts []string) (status int, body []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, requestDeadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, m.url+"/chat/"+id, strings.NewReader("x"))
	if err != nil {
		return 0, nil, err
	}
	req.Host = "h"
	req.Header.Set(headerID, id)
	req.Header.Set(headerDeadline, requestDeadline.String())
	req.Header.Set(headerParts, strings.Join(parts, ","))
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err = io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	return resp.StatusCode, body, err
}

func isCompleteStream(body []byte) bool {
	var want bytes.Buffer
	for id := 1; id <= eventCount; id++ {
		want.WriteString(event(id))
	}
	return bytes.Equal(body, want.Bytes())
}
