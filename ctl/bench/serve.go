package bench

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/http/pprof"
	"net/url"
	"runtime"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/skylarkstep/skylarkstep/config"
	"github.com/skylarkstep/skylarkstep/daemon/role"
	"github.com/skylarkstep/skylarkstep/engine"
	"github.com/skylarkstep/skylarkstep/engine/openai"
	"github.com/skylarkstep/skylarkstep/engine/service"
	"github.com/skylarkstep/skylarkstep/infra/kvhttp"
	"github.com/skylarkstep/skylarkstep/infra/standin"
)

// Names in the configuration of the measured process.
const (
	key       = "bench-customer"
	operator  = "bench-operator"
	model     = "bench"
	plain     = "bench-service"
	operation = "echo"
	// limit keeps admission and warm-up out of the measurement.
	limit = 1024
)

// Ready is the line that a measured process prints when it serves.
type Ready struct {
	URL     string `json:"url"`
	Control string `json:"control"`
}

// Usage is what a measured process has used since its start.
type Usage struct {
	CPU         time.Duration `json:"cpu"`
	Allocations uint64        `json:"allocations"`
}

// ServeOptions tell a measured process what to run.
type ServeOptions struct {
	Kind       Kind
	ModelURL   string
	ServiceURL string
}

// Serve runs a measured process until in ends.
func Serve(ctx context.Context, o ServeOptions, in io.Reader, out io.Writer) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	start := startProxy
	if o.Kind == Path {
		start = startPath
	}
	address, err := start(ctx, &o)
	if err != nil {
		return err
	}
	control, err := listen(controlHandler())
	if err != nil {
		return err
	}
	if err := json.NewEncoder(out).Encode(Ready{URL: address, Control: control}); err != nil {
		return errors.WithStack(err)
	}
	_, err = io.Copy(io.Discard, in)
	return errors.WithStack(err)
}

func controlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /usage", func(w http.ResponseWriter, _ *http.Request) {
		var ru syscall.Rusage
		_ = syscall.Getrusage(syscall.RUSAGE_SELF, &ru)
		var ms runtime.MemStats
		runtime.ReadMemStats(&ms)
		_ = json.NewEncoder(w).Encode(Usage{
			CPU: time.Duration(ru.Utime.Nano() + ru.Stime.Nano()), Allocations: ms.Mallocs,
		})
	})
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("GET /debug/pprof/allocs", pprof.Handler("allocs").ServeHTTP)
	return mux
}

func listen(h http.Handler) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "listen")
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = srv.Serve(ln) }()
	return "http://" + ln.Addr().String(), nil
}

// startProxy starts the yardstick: one reverse proxy per back end.
func startProxy(_ context.Context, o *ServeOptions) (string, error) {
	mux := http.NewServeMux()
	for path, target := range map[string]string{"POST /v1/completions": o.ModelURL, "POST /" + operation: o.ServiceURL} {
		u, err := url.Parse(target)
		if err != nil {
			return "", errors.Wrap(err, "back end")
		}
		mux.Handle(path, fullDuplex(&httputil.ReverseProxy{
			Rewrite:       func(r *httputil.ProxyRequest) { r.SetURL(u) },
			Transport:     &http.Transport{MaxIdleConnsPerHost: limit},
			FlushInterval: -1,
		}))
	}
	return listen(mux)
}

// fullDuplex lets the proxy read the end of a request body after the answer has
// begun. Without it, some streams broke with "use of closed network connection".
func fullDuplex(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).EnableFullDuplex()
		next.ServeHTTP(w, r)
	})
}

// startPath starts an entry and a target process for each back end.
func startPath(ctx context.Context, o *ServeOptions) (string, error) {
	kv, err := listen(standin.NewKV())
	if err != nil {
		return "", err
	}
	c := pathConfig()
	var lns []net.Listener
	for range 4 {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return "", errors.Wrap(err, "listen")
		}
		lns = append(lns, ln)
	}
	e := &c.Inventory.Entries[0]
	e.HTTPAddr, e.PeerAddr = lns[0].Addr().String(), lns[1].Addr().String()
	es := settings(config.RoleEntry, e.Name, kv, lns[0], lns[1])
	es.Operators = []config.Operator{{Name: "bench", TokenSHA256: sha(operator)}}
	run(ctx, role.Options{Settings: es, HTTPListener: lns[0], PeerListener: lns[1], KV: kvhttp.New(kv)})
	for i := range c.Inventory.Targets {
		t := &c.Inventory.Targets[i]
		web, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return "", errors.Wrap(err, "listen")
		}
		t.PeerAddr = lns[2+i].Addr().String()
		s := settings(config.RoleTarget, t.Name, kv, web, lns[2+i])
		b, _ := c.Backend(t.Backend)
		s.Target = config.TargetSettings{Backend: b.Name, Kind: b.Kind}
		ro := role.Options{Settings: s, HTTPListener: web, PeerListener: lns[2+i]}
		ro.Model, ro.Service = backendClients(b.Kind, o)
		run(ctx, ro)
	}
	address := "http://" + e.HTTPAddr
	return address, applyConfig(ctx, address, c)
}

func backendClients(k config.BackendKind, o *ServeOptions) (engine.Model, engine.Service) {
	if k == config.KindModel {
		return openai.New(o.ModelURL), nil
	}
	return nil, service.New(o.ServiceURL)
}

func run(ctx context.Context, o role.Options) {
	o.LogOutput = io.Discard
	go func() { _ = role.Run(ctx, o) }()
}

func settings(r config.Role, name, kv string, web, peer net.Listener) *config.Settings {
	return &config.Settings{
		Role: r, Name: name, DataCentre: "dc", HTTPAddr: web.Addr().String(), PeerAddr: peer.Addr().String(),
		ClusterKey: "bench-cluster-key-0123", Platform: config.Platform{KVURL: kv}, StopTimeoutMs: 1000,
	}
}

func sha(s string) string {
	sum := sha256.Sum256([]byte(s))
	return hex.EncodeToString(sum[:])
}

func pathConfig() *config.Config {
	c := &config.Config{}
	c.Inventory.Regions = []config.Region{{Name: "region"}}
	c.Inventory.DataCentres = []config.DataCentre{{Name: "dc", Region: "region"}}
	c.Inventory.Entries = []config.Entry{{Name: "entry", DataCentre: "dc"}}
	c.Inventory.Backends = []config.Backend{
		{Name: "bench-model", Kind: config.KindModel, Model: model}, {Name: plain, Kind: config.KindService},
	}
	for _, b := range c.Inventory.Backends {
		c.Inventory.Targets = append(c.Inventory.Targets, config.Target{Name: b.Name + "-1", Backend: b.Name, DataCentre: "dc"})
		c.Rules.Limits = append(c.Rules.Limits, config.LimitRule{Backend: b.Name, Concurrency: limit, MaxWaitMs: 2000})
		c.Rules.Warmup = append(c.Rules.Warmup, config.WarmupRule{Backend: b.Name, Initial: limit, Factor: 2, IntervalMs: 1000})
	}
	c.Inventory.Customers = []config.Customer{{Name: "customer", KeySHA256: []string{sha(key)}}}
	c.Rules.Idempotent = []config.IdempotentRule{{Backend: plain, Operations: []string{operation}}}
	return c
}
