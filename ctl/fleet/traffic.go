package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"regexp"
	"strings"
	"sync"
	"time"

	"github.com/skylarkstep/skylarkstep/infra/httpclient"
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
				r := flow.request(n, rng)
				running.Go(func() { f.sendWithRetry(r) })
			}
		})
	}
}

// request is what a caller sends, and may send again.
type request struct {
	id       string
	route    RouteKind
	path     string
	body     string
	parts    []string
	crashing bool
}

// request returns the request number n of the flow. One that crashes targets by
// itself comes again with the same path and body.
func (flow *Flow) request(n int, rng *rand.Rand) request {
	r := request{id: fmt.Sprintf("%s-%d", flow.Name, n), route: flow.route(), crashing: flow.crashes()}
	r.parts = flow.parts(r.id, rng)
	r.path, r.body = fmt.Sprintf("/%s/%s", r.route, r.id), "x"
	if flow.CrashingRequests > 0 {
		own := fmt.Sprintf("%s-%d", flow.Name, n%flow.CrashingRequests)
		r.path, r.body = fmt.Sprintf("/%s/%s", r.route, own), crashingBody+own
		if flow.SessionsOf != "" {
			r.parts = []string{firstPart, session(flow.SessionsOf, n%flow.CrashingRequests), own}
		}
	}
	return r
}

// parts returns the parts of a prompt: one that all requests of all flows share,
// that of a session, the one that crashes targets, and one of its own.
func (flow *Flow) parts(id string, rng *rand.Rand) []string {
	parts := []string{firstPart}
	if flow.Sessions > 0 {
		parts = append(parts, session(flow.Name, rng.IntN(flow.Sessions)))
	}
	if flow.CrashingPart != "" {
		parts = append(parts, flow.CrashingPart)
	}
	return append(parts, id)
}

// firstPart is a part that the prompts of all flows begin with.
const firstPart = "first"

// session returns the part that the requests of a session share.
func session(flow string, n int) string { return fmt.Sprintf("%s-session-%d", flow, n) }

// sendWithRetry sends a request, and once more if it fails.
func (f *Fleet) sendWithRetry(r request) {
	first := f.send(r, false)
	if first.complete || f.ctx.Err() != nil {
		return
	}
	time.Sleep(resendDelay)
	r.id += "-again"
	f.send(r, true)
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

func (f *Fleet) send(r request, retry bool) outcome {
	m := f.pick()
	o := outcome{at: time.Since(f.start), crashing: r.crashing, gateway: m.id, id: r.id, retry: retry}
	status, body, err := m.post(f.ctx, r)
	o.status = status
	subject := ""
	if status == http.StatusOK {
		o.complete = err == nil && r.isComplete(body)
		if err == nil && !o.complete && f.ctx.Err() == nil {
			f.fail("request %s: a success with an incomplete body: %q", r.id, body)
		}
	} else {
		var e struct {
			Kind    string `json:"kind"`
			Message string `json:"message"`
			DidRun  string `json:"did_run"`
		}
		_ = json.Unmarshal(body, &e) // other bodies have no kind
		o.kind, o.notRun = e.Kind, e.DidRun == "not_run"
		subject = subjectName.FindString(e.Message)
	}
	f.mu.Lock()
	if r.crashing && subject != "" {
		f.refusedSubjects[subject] = true
	}
	f.outcomes = append(f.outcomes, o)
	f.mu.Unlock()
	return o
}

var client = httpclient.New(&http.Transport{DisableKeepAlives: true})

// subjectName finds the name of a request in the message of an error.
var subjectName = regexp.MustCompile("request:[0-9a-f]+")

func (m *member) post(ctx context.Context, r request) (status int, body []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, requestDeadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, m.url+r.path, strings.NewReader(r.body))
	if err != nil {
		return 0, nil, err
	}
	req.Host = "h"
	req.Header.Set(headerID, r.id)
	req.Header.Set(headerKey, customerKey)
	req.Header.Set(headerDeadline, requestDeadline.String())
	if r.route == StreamRoute {
		req.Header.Set(headerParts, strings.Join(r.parts, ","))
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err = io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	return resp.StatusCode, body, err
}

func (r *request) isComplete(body []byte) bool {
	if r.route != StreamRoute {
		return string(body) == responseBody
	}
	var want bytes.Buffer
	for id := 1; id <= eventCount; id++ {
		want.WriteString(event(id))
	}
	return bytes.Equal(body, want.Bytes())
}
