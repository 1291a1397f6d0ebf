package bench

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/skylarkstep/skylarkstep/engine/standin"
)

// Route is the route of a request from the load generator to the back end.
type Route string

// The routes that are compared.
const (
	Direct Route = "direct" // straight to the back end
	Proxy  Route = "proxy"  // through a bare reverse proxy
	Path   Route = "path"   // through an entry and a target, the request path
)

// Options are the options of a run.
type Options struct {
	// Command returns the command that runs a measured process.
	Command func(o ServeOptions) *exec.Cmd
	// Duration is the duration of each load.
	Duration time.Duration
	// Concurrency is the number of callers of the throughput load. The latency
	// load has one caller.
	Concurrency int
	// Tokens is the length of a streamed response.
	Tokens int
	// Profile is a file for the CPU profile of the request path. Empty means none.
	Profile string
	// Request restricts the run to one kind of request. Empty means all kinds.
	Request string
}

// Result is the measurement of one kind of request over one route.
type Result struct {
	Request      string
	Route        Route
	PerCPUSecond float64 // requests per second of CPU time of the measured process
	PerSecond    float64 // requests per second
	Allocations  float64 // per request
	P50, P99     time.Duration
	AddedP50     time.Duration // compared with Direct
	AddedP99     time.Duration // compared with Direct
	ShareOfProxy float64       // PerCPUSecond relative to that of Proxy
}

// readyTimeout limits the wait until a measured process serves requests.
const readyTimeout = 10 * time.Second

// request is a kind of request of the load.
type request struct {
	name      string
	path      map[Route]string
	body      string
	endMarker string // text that a complete response contains
}

// requests returns the kinds of request that are measured.
func requests(tokens int) []request {
	return []request{
		{
			name: "small", body: `{"id":""}`, endMarker: `"id"`,
			path: map[Route]string{Direct: "/" + operation, Proxy: "/" + operation, Path: "/v1/services/" + serviceName + "/" + operation},
		},
		{
			name:      "stream",
			path:      map[Route]string{Direct: "/v1/completions", Proxy: "/v1/completions", Path: "/v1/completions"},
			body:      fmt.Sprintf(`{"model":%q,"prompt":"which booth is free?","max_tokens":%d,"stream":true}`, modelName, tokens),
			endMarker: `"finish_reason":"length"`,
		},
	}
}

// Run measures each kind of request over each route and returns the results in
// this order. It fails if a measured request does not get a complete response.
func Run(ctx context.Context, o Options) ([]Result, error) {
	modelURL, err := listen(standin.NewModel(standin.ModelOptions{Concurrency: concurrencyLimit, QueueLimit: concurrencyLimit, ResponseTokens: 1 << 16}))
	if err != nil {
		return nil, err
	}
	serviceURL, err := listen(standin.NewService(standin.ServiceOptions{}))
	if err != nil {
		return nil, err
	}
	var results []Result
	for _, r := range requests(o.Tokens) {
		if o.Request != "" && o.Request != r.name {
			continue
		}
		backend := serviceURL
		if r.name == "stream" {
			backend = modelURL
		}
		direct := Result{}
		for _, route := range []Route{Direct, Proxy, Path} {
			res, err := measure(ctx, &o, &r, ServeOptions{Route: route, ModelURL: modelURL, ServiceURL: serviceURL}, backend)
			if err != nil {
				return nil, errors.Wrapf(err, "%s through %s", r.name, route)
			}
			if route == Direct {
				direct = res
			}
			res.AddedP50, res.AddedP99 = res.P50-direct.P50, res.P99-direct.P99
			if route == Path {
				res.ShareOfProxy = res.PerCPUSecond / results[len(results)-1].PerCPUSecond
			}
			results = append(results, res)
		}
	}
	return results, nil
}

// measure measures one kind of request over one route: latency with one caller,
// then throughput with several. The URL of the back end is used for Direct.
func measure(ctx context.Context, o *Options, r *request, serveOptions ServeOptions, backend string) (Result, error) {
	res := Result{Request: r.name, Route: serveOptions.Route}
	ready := Ready{URL: backend}
	if serveOptions.Route != Direct {
		var stop func()
		var err error
		if ready, stop, err = startProcess(o.Command(serveOptions)); err != nil {
			return res, err
		}
		defer stop()
	}
	l := newLoadGenerator(ready.URL+r.path[serveOptions.Route], r)
	if err := l.waitReady(ctx); err != nil {
		return res, err
	}
	times, _, err := l.run(ctx, 1, o.Duration)
	if err != nil {
		return res, err
	}
	res.P50, res.P99 = times[len(times)/2], times[len(times)*99/100]
	before, err := fetchUsage(ready.Control)
	if err != nil {
		return res, err
	}
	if o.Profile != "" && serveOptions.Route == Path {
		go saveProfile(ready.Control, o.Profile, o.Duration)
	}
	times, took, err := l.run(ctx, o.Concurrency, o.Duration)
	if err != nil {
		return res, err
	}
	after, err := fetchUsage(ready.Control)
	if err != nil {
		return res, err
	}
	n := float64(len(times))
	res.PerSecond = n / took.Seconds()
	if serveOptions.Route != Direct {
		res.PerCPUSecond = n / (after.CPU - before.CPU).Seconds()
		res.Allocations = float64(after.Allocations-before.Allocations) / n
	}
	return res, nil
}

// startProcess starts a measured process and waits until it prints its addresses.
// The returned function stops it.
func startProcess(cmd *exec.Cmd) (Ready, func(), error) {
	var ready Ready
	in, err := cmd.StdinPipe()
	if err != nil {
		return ready, nil, errors.WithStack(err)
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return ready, nil, errors.WithStack(err)
	}
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		return ready, nil, errors.Wrap(err, "start the measured process")
	}
	stop := func() {
		_ = in.Close()
		_ = cmd.Wait()
	}
	line, err := bufio.NewReader(out).ReadBytes('\n')
	if err == nil {
		err = json.Unmarshal(line, &ready)
	}
	if err != nil {
		stop()
		return ready, nil, errors.Wrap(err, "measured process")
	}
	return ready, stop, nil
}

// fetchUsage returns the resource usage of a measured process, or zero if the
// control address is empty.
func fetchUsage(control string) (Usage, error) {
	var u Usage
	if control == "" {
		return u, nil
	}
	res, err := http.Get(control + "/usage")
	if err != nil {
		return u, errors.WithStack(err)
	}
	defer func() { _ = res.Body.Close() }()
	return u, errors.WithStack(json.NewDecoder(res.Body).Decode(&u))
}

// saveProfile writes a CPU profile of a measured process to a file. It ignores
// errors: the file is then missing.
func saveProfile(control, file string, d time.Duration) {
	res, err := http.Get(fmt.Sprintf("%s/debug/pprof/profile?seconds=%d", control, max(int(d.Seconds())-1, 1)))
	if err != nil {
		return
	}
	defer func() { _ = res.Body.Close() }()
	if data, err := io.ReadAll(res.Body); err == nil {
		_ = os.WriteFile(file, data, 0o600)
	}
}

// loadGenerator sends requests of one kind in a closed loop.
type loadGenerator struct {
	url     string
	request *request
	client  *http.Client
}

func newLoadGenerator(url string, r *request) *loadGenerator {
	return &loadGenerator{url: url, request: r, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: concurrencyLimit}}}
}

// waitReady sends requests until one gets a complete response.
func (l *loadGenerator) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		err := l.send(ctx)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(err, "not ready")
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// send sends one request. It fails unless the response is complete.
func (l *loadGenerator) send(ctx context.Context) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, l.url, bytes.NewReader([]byte(l.request.body)))
	if err != nil {
		return errors.WithStack(err)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+customerKey)
	res, err := l.client.Do(req)
	if err != nil {
		return errors.WithStack(err)
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return errors.WithStack(err)
	}
	if res.StatusCode != http.StatusOK || !bytes.Contains(body, []byte(l.request.endMarker)) {
		return errors.Errorf("status %d: %.200s", res.StatusCode, body)
	}
	return nil
}

// run sends requests from n callers for d. It returns the sorted latencies and the
// elapsed time, or the first error.
func (l *loadGenerator) run(ctx context.Context, n int, d time.Duration) ([]time.Duration, time.Duration, error) {
	runtime.GC()
	var wg sync.WaitGroup
	var failed atomic.Value
	all := make([][]time.Duration, n)
	start := time.Now()
	for i := range n {
		wg.Go(func() {
			for time.Since(start) < d && failed.Load() == nil {
				sent := time.Now()
				if err := l.send(ctx); err != nil {
					failed.Store(err)
					return
				}
				all[i] = append(all[i], time.Since(sent))
			}
		})
	}
	wg.Wait()
	took := time.Since(start)
	if err, ok := failed.Load().(error); ok {
		return nil, 0, err
	}
	times := slices.Concat(all...)
	slices.Sort(times)
	if len(times) == 0 {
		return nil, 0, errors.New("no request got a response")
	}
	return times, took, nil
}
