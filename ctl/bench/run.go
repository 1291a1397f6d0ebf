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

// Kind names what a request goes through.
type Kind string

// The kinds that are compared.
const (
	Direct Kind = "direct"
	Proxy  Kind = "proxy"
	Path   Kind = "path"
)

// Options of a run.
type Options struct {
	// Command starts a measured process.
	Command func(o ServeOptions) *exec.Cmd
	// Duration is the time of each load.
	Duration time.Duration
	// Concurrency is the number of callers of the throughput load. The latency
	// load has one caller.
	Concurrency int
	Tokens      int
	// Profile is a file for the CPU profile of the path, or empty.
	Profile string
	// Request limits the run to one kind of request, or is empty.
	Request string
}

// Result is one line of the report.
type Result struct {
	Request      string
	Kind         Kind
	PerCPUSecond float64 // requests per second of CPU time of the measured process
	PerSecond    float64
	Allocations  float64 // per request
	P50, P99     time.Duration
	AddedP50     time.Duration
	AddedP99     time.Duration
	ShareOfProxy float64
}

const readyTimeout = 10 * time.Second

// request is one kind of request of the load.
type request struct {
	name string
	path map[Kind]string
	body string
	end  string // what a complete answer contains
}

func requests(tokens int) []request {
	return []request{
		{
			name: "small", body: `{"id":""}`, end: `"id"`,
			path: map[Kind]string{Direct: "/" + operation, Proxy: "/" + operation, Path: "/v1/services/" + plain + "/" + operation},
		},
		{
			name: "stream",
			path: map[Kind]string{Direct: "/v1/completions", Proxy: "/v1/completions", Path: "/v1/completions"},
			body: fmt.Sprintf(`{"model":%q,"prompt":"which booth is free?","max_tokens":%d,"stream":true}`, model, tokens),
			end:  `"finish_reason":"length"`,
		},
	}
}

// Run measures all combinations and returns them in order.
func Run(ctx context.Context, o Options) ([]Result, error) {
	modelURL, err := listen(standin.NewModel(standin.ModelOptions{Concurrency: limit, QueueLimit: limit, ResponseTokens: 1 << 16}))
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
		base := Result{}
		for _, k := range []Kind{Direct, Proxy, Path} {
			res, err := measure(ctx, &o, &r, ServeOptions{Kind: k, ModelURL: modelURL, ServiceURL: serviceURL}, backend)
			if err != nil {
				return nil, errors.Wrapf(err, "%s through %s", r.name, k)
			}
			if k == Direct {
				base = res
			}
			res.AddedP50, res.AddedP99 = res.P50-base.P50, res.P99-base.P99
			if k == Path {
				res.ShareOfProxy = res.PerCPUSecond / results[len(results)-1].PerCPUSecond
			}
			results = append(results, res)
		}
	}
	return results, nil
}

func measure(ctx context.Context, o *Options, r *request, so ServeOptions, backend string) (Result, error) {
	res := Result{Request: r.name, Kind: so.Kind}
	ready := Ready{URL: backend}
	if so.Kind != Direct {
		var stop func()
		var err error
		if ready, stop, err = start(o.Command(so)); err != nil {
			return res, err
		}
		defer stop()
	}
	l := newLoad(ready.URL+r.path[so.Kind], r)
	if err := l.warm(ctx); err != nil {
		return res, err
	}
	times, _, err := l.run(ctx, 1, o.Duration)
	if err != nil {
		return res, err
	}
	res.P50, res.P99 = times[len(times)/2], times[len(times)*99/100]
	before, err := usage(ready.Control)
	if err != nil {
		return res, err
	}
	if o.Profile != "" && so.Kind == Path {
		go profile(ready.Control, o.Profile, o.Duration)
	}
	times, took, err := l.run(ctx, o.Concurrency, o.Duration)
	if err != nil {
		return res, err
	}
	after, err := usage(ready.Control)
	if err != nil {
		return res, err
	}
	n := float64(len(times))
	res.PerSecond = n / took.Seconds()
	if so.Kind != Direct {
		res.PerCPUSecond = n / (after.CPU - before.CPU).Seconds()
		res.Allocations = float64(after.Allocations-before.Allocations) / n
	}
	return res, nil
}

// start starts a measured process and waits until it serves.
func start(cmd *exec.Cmd) (Ready, func(), error) {
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

func usage(control string) (Usage, error) {
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

func profile(control, file string, d time.Duration) {
	res, err := http.Get(fmt.Sprintf("%s/debug/pprof/profile?seconds=%d", control, max(int(d.Seconds())-1, 1)))
	if err != nil {
		return
	}
	defer func() { _ = res.Body.Close() }()
	if data, err := io.ReadAll(res.Body); err == nil {
		_ = os.WriteFile(file, data, 0o600)
	}
}

// load sends requests in a closed loop.
type load struct {
	url    string
	r      *request
	client *http.Client
}

func newLoad(url string, r *request) *load {
	return &load{url: url, r: r, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: limit}}}
}

// warm sends requests until one is answered completely.
func (l *load) warm(ctx context.Context) error {
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

func (l *load) send(ctx context.Context) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, l.url, bytes.NewReader([]byte(l.r.body)))
	if err != nil {
		return errors.WithStack(err)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+key)
	res, err := l.client.Do(req)
	if err != nil {
		return errors.WithStack(err)
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return errors.WithStack(err)
	}
	if res.StatusCode != http.StatusOK || !bytes.Contains(body, []byte(l.r.end)) {
		return errors.Errorf("status %d: %.200s", res.StatusCode, body)
	}
	return nil
}

// run sends requests from n callers for d and returns their sorted times.
func (l *load) run(ctx context.Context, n int, d time.Duration) ([]time.Duration, time.Duration, error) {
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
		return nil, 0, errors.New("no request was answered")
	}
	return times, took, nil
}
