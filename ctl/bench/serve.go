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

// Names, keys and limits in the configuration of the measured process.
const (
	customerKey   = "bench-customer"
	operatorToken = "bench-operator"
	modelName     = "bench"
	serviceName   = "bench-service"
	operation     = "echo"
	// concurrencyLimit is so high that admission and warm-up don't affect the
	// measurement.
	concurrencyLimit = 1024
)

// Ready holds the addresses that a measured process prints as a JSON line when it
// is ready.
type Ready struct {
	URL     string `json:"url"`
	Control string `json:"control"`
}

// Usage is the resource usage of a measured process since its start.
type Usage struct {
	CPU         time.Duration `json:"cpu"`
	Allocations uint64        `json:"allocations"`
}

// ServeOptions select what a measured process runs.
type ServeOptions struct {
	Route      Route
	ModelURL   string
	ServiceURL string
}

// Serve runs a measured process until in is closed.
func Serve(ctx context.Context, o ServeOptions, in io.Reader, out io.Writer) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	start := startProxy
	if o.Route == Path {
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

// controlHandler serves the resource usage and profiles of this process.
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

// listen serves h on a free loopback port and returns its base URL.
func listen(h http.Handler) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "listen")
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = srv.Serve(ln) }()
	return "http://" + ln.Addr().String(), nil
}

// startProxy starts the reference of the comparison: one bare reverse proxy for
// each back end. It returns their common base URL.
func startProxy(_ context.Context, o *ServeOptions) (string, error) {
	mux := http.NewServeMux()
	for path, target := range map[string]string{"POST /v1/completions": o.ModelURL, "POST /" + operation: o.ServiceURL} {
		u, err := url.Parse(target)
		if err != nil {
			return "", errors.Wrap(err, "back end")
		}
		mux.Handle(path, fullDuplex(&httputil.ReverseProxy{
			Rewrite:       func(r *httputil.ProxyRequest) { r.SetURL(u) },
			Transport:     &http.Transport{MaxIdleConnsPerHost: concurrencyLimit},
			FlushInterval: -1,
		}))
	}
	return listen(mux)
}

// fullDuplex lets the proxy read the end of a request body after the response has
// begun. Without it, some streams failed with "use of closed network connection".
func fullDuplex(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).EnableFullDuplex()
		next.ServeHTTP(w, r)
	})
}

// startPath starts the request path: an entry, and a target for each back end. It
// returns the base URL of the entry.
func startPath(ctx context.Context, o *ServeOptions) (string, error) {
	kv, err := listen(standin.NewKV())
	if err != nil {
		return "", err
	}
	c := pathConfig()
	var listeners []net.Listener
	for range 4 {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return "", errors.Wrap(err, "listen")
		}
		listeners = append(listeners, ln)
	}
	entry := &c.Inventory.Entries[0]
	entry.HTTPAddr, entry.PeerAddr = listeners[0].Addr().String(), listeners[1].Addr().String()
	entrySettings := processSettings(config.RoleEntry, entry.Name, kv, listeners[0], listeners[1])
	entrySettings.Operators = []config.Operator{{Name: "bench", TokenSHA256: sha256Hex(operatorToken)}}
	startRole(ctx, role.Options{Settings: entrySettings, HTTPListener: listeners[0], PeerListener: listeners[1], KV: kvhttp.New(kv)})
	for i := range c.Inventory.Targets {
		target := &c.Inventory.Targets[i]
		httpListener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return "", errors.Wrap(err, "listen")
		}
		target.PeerAddr = listeners[2+i].Addr().String()
		targetSettings := processSettings(config.RoleTarget, target.Name, kv, httpListener, listeners[2+i])
		backend, _ := c.Backend(target.Backend)
		targetSettings.Target = config.TargetSettings{Backend: backend.Name, Kind: backend.Kind}
		roleOptions := role.Options{Settings: targetSettings, HTTPListener: httpListener, PeerListener: listeners[2+i]}
		roleOptions.Model, roleOptions.Service = backendClients(backend.Kind, o)
		startRole(ctx, roleOptions)
	}
	address := "http://" + entry.HTTPAddr
	return address, applyConfig(ctx, address, c)
}

// backendClients returns the client for the model engine or for the plain service,
// depending on the kind of back end; the other one is nil.
func backendClients(k config.BackendKind, o *ServeOptions) (engine.Model, engine.Service) {
	if k == config.KindModel {
		return openai.New(o.ModelURL), nil
	}
	return nil, service.New(o.ServiceURL)
}

// startRole runs an entry or a target in the background, without logs.
func startRole(ctx context.Context, o role.Options) {
	o.LogOutput = io.Discard
	go func() { _ = role.Run(ctx, o) }()
}

// processSettings returns the settings of an entry or a target.
func processSettings(processRole config.Role, name, kv string, httpListener, peerListener net.Listener) *config.Settings {
	return &config.Settings{
		Role: processRole, Name: name, DataCentre: "dc", HTTPAddr: httpListener.Addr().String(), PeerAddr: peerListener.Addr().String(),
		ClusterKey: "bench-cluster-key-0123", Platform: config.Platform{KVURL: kv}, StopTimeoutMs: 1000,
	}
}

func sha256Hex(s string) string {
	sum := sha256.Sum256([]byte(s))
	return hex.EncodeToString(sum[:])
}

// pathConfig returns a configuration with one entry and one target for each of two
// back ends, a model and a plain service.
func pathConfig() *config.Config {
	c := &config.Config{}
	c.Inventory.Regions = []config.Region{{Name: "region"}}
	c.Inventory.DataCentres = []config.DataCentre{{Name: "dc", Region: "region"}}
	c.Inventory.Entries = []config.Entry{{Name: "entry", DataCentre: "dc"}}
	c.Inventory.Backends = []config.Backend{
		{Name: "bench-model", Kind: config.KindModel, Model: modelName}, {Name: serviceName, Kind: config.KindService},
	}
	for _, b := range c.Inventory.Backends {
		c.Inventory.Targets = append(c.Inventory.Targets, config.Target{Name: b.Name + "-1", Backend: b.Name, DataCentre: "dc"})
		c.Rules.Limits = append(c.Rules.Limits, config.LimitRule{Backend: b.Name, Concurrency: concurrencyLimit, MaxWaitMs: 2000})
		c.Rules.Warmup = append(c.Rules.Warmup, config.WarmupRule{Backend: b.Name, Initial: concurrencyLimit, Factor: 2, IntervalMs: 1000})
	}
	c.Inventory.Customers = []config.Customer{{Name: "customer", KeySHA256: []string{sha256Hex(customerKey)}}}
	c.Rules.Idempotent = []config.IdempotentRule{{Backend: serviceName, Operations: []string{operation}}}
	return c
}
