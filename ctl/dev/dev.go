package dev

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/skylarkstep/skylarkstep/config"
	"github.com/skylarkstep/skylarkstep/daemon/role"
	"github.com/skylarkstep/skylarkstep/engine"
	"github.com/skylarkstep/skylarkstep/engine/openai"
	"github.com/skylarkstep/skylarkstep/engine/service"
	enginestandin "github.com/skylarkstep/skylarkstep/engine/standin"
	"github.com/skylarkstep/skylarkstep/infra/instancehttp"
	"github.com/skylarkstep/skylarkstep/infra/kvhttp"
	"github.com/skylarkstep/skylarkstep/infra/standin"
)

// OperatorToken is the operator token of every dev deployment.
const OperatorToken = "dev-operator"

// clusterKey is the cluster key of every dev deployment.
const clusterKey = "dev-cluster-key-0123456789"

// Options describe a deployment.
type Options struct {
	Config    *config.Config
	LogOutput io.Writer
	// Model are the options of each model stand-in.
	Model enginestandin.ModelOptions
	// Service are the options of each plain-service stand-in.
	Service enginestandin.ServiceOptions
	// StopTimeout limits a planned stop. Zero selects the default.
	StopTimeout time.Duration
	// AnyPorts replaces the addresses in the configuration by free loopback
	// ports, so that several deployments can run at the same time.
	AnyPorts bool
}

// Deployment is a running deployment. Its stand-ins are exported so that tests
// can inject faults.
type Deployment struct {
	Config    *config.Config
	KV        *standin.KV
	Instances *standin.InstanceList
	Models    map[string]*enginestandin.Model   // by target
	Services  map[string]*enginestandin.Service // by target

	options Options
	kvURL   string
	listURL string
	// targetURLs holds the base URLs of the stand-ins by target.
	targetURLs map[string]string
	mu         sync.Mutex
	processes  map[string]*process
	closers    []func()
	// reserved holds the listeners of AnyPorts until their process starts. They
	// are opened before any address is published, so that no other socket can
	// bind to one of the ports in the meantime.
	reserved map[string]net.Listener
}

// process is an entry or a target, which runs in this operating system process.
type process struct {
	cancel    context.CancelFunc
	listeners []*trackingListener
	done      chan struct{}
	err       error
}

// Start starts the stand-ins and every entry and target of the configuration, and
// applies the configuration at the first entry. If that fails, it stops what it
// started.
func Start(ctx context.Context, o Options) (*Deployment, error) {
	d := &Deployment{
		Config:    o.Config,
		KV:        standin.NewKV(),
		Instances: standin.NewInstanceList(),
		Models:    map[string]*enginestandin.Model{},
		Services:  map[string]*enginestandin.Service{},
		options:   o,
		processes: map[string]*process{},
		reserved:  map[string]net.Listener{},

		targetURLs: map[string]string{},
	}
	if err := d.start(ctx); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

func (d *Deployment) start(ctx context.Context) error {
	if d.options.AnyPorts {
		if err := d.reservePorts(); err != nil {
			return err
		}
	}
	var err error
	if d.kvURL, err = d.serve(d.KV); err != nil {
		return err
	}
	if d.listURL, err = d.serve(d.Instances); err != nil {
		return err
	}
	for _, t := range d.Config.Inventory.Targets {
		if err := d.StartTarget(t); err != nil {
			return err
		}
	}
	for _, e := range d.Config.Inventory.Entries {
		if err := d.StartEntry(e); err != nil {
			return err
		}
	}
	return d.apply(ctx)
}

// serve runs an HTTP stand-in on a free loopback port and returns its base URL.
func (d *Deployment) serve(h http.Handler) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "stand-in listener")
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	go func() { _ = srv.Serve(ln) }()
	d.closers = append(d.closers, func() { _ = srv.Close() })
	return "http://" + ln.Addr().String(), nil
}

// StartTarget starts a target and the stand-in that it uses as its engine or
// service. A stand-in of an earlier start is used again with its state.
func (d *Deployment) StartTarget(t config.Target) error {
	b, _ := d.Config.Backend(t.Backend)
	s := d.settings(config.RoleTarget, t.Name, t.DataCentre, t.PeerAddr, "127.0.0.1:0")
	s.Target = config.TargetSettings{Backend: t.Backend, Kind: b.Kind, Group: t.Group}
	o := role.Options{Settings: s}
	if b.Kind == config.KindModel {
		m, err := d.modelFor(t.Name)
		if err != nil {
			return err
		}
		o.Model = m
	} else {
		v, err := d.serviceFor(t.Name)
		if err != nil {
			return err
		}
		o.Service = v
	}
	return d.run(o)
}

// modelFor returns a client for the model stand-in of a target.
func (d *Deployment) modelFor(target string) (engine.Model, error) {
	m := d.Models[target]
	if m == nil {
		m = enginestandin.NewModel(d.options.Model)
		d.Models[target] = m
	}
	url, err := d.serveTarget(target, m)
	if err != nil {
		return nil, err
	}
	return openai.New(url), nil
}

// serviceFor returns a client for the plain-service stand-in of a target.
func (d *Deployment) serviceFor(target string) (engine.Service, error) {
	v := d.Services[target]
	if v == nil {
		v = enginestandin.NewService(d.options.Service)
		d.Services[target] = v
	}
	url, err := d.serveTarget(target, v)
	if err != nil {
		return nil, err
	}
	return service.New(url), nil
}

// serveTarget returns the base URL of the stand-in of a target. A restarted target
// uses the server of its earlier start.
func (d *Deployment) serveTarget(target string, h http.Handler) (string, error) {
	if url := d.targetURLs[target]; url != "" {
		return url, nil
	}
	url, err := d.serve(h)
	if err == nil {
		d.targetURLs[target] = url
	}
	return url, err
}

// StartEntry starts an entry with all other entries as its peers.
func (d *Deployment) StartEntry(e config.Entry) error {
	s := d.settings(config.RoleEntry, e.Name, e.DataCentre, e.PeerAddr, e.HTTPAddr)
	for _, other := range d.Config.Inventory.Entries {
		if other.Name != e.Name {
			s.Peers = append(s.Peers, other.PeerAddr)
		}
	}
	return d.run(role.Options{Settings: s, KV: kvhttp.New(d.kvURL), Instances: instancehttp.New(d.listURL)})
}

// settings returns the settings of an entry or a target.
func (d *Deployment) settings(r config.Role, name, dc, peerAddr, httpAddr string) *config.Settings {
	sum := sha256.Sum256([]byte(OperatorToken))
	return &config.Settings{
		Role:          r,
		Name:          name,
		DataCentre:    dc,
		HTTPAddr:      httpAddr,
		PeerAddr:      peerAddr,
		ClusterKey:    clusterKey,
		Platform:      config.Platform{KVURL: d.kvURL, InstanceListURL: d.listURL},
		Operators:     []config.Operator{{Name: "dev", TokenSHA256: hex.EncodeToString(sum[:])}},
		StopTimeoutMs: int(d.options.StopTimeout.Milliseconds()),
	}
}

// run opens the listeners of an entry or a target and runs it in the background.
func (d *Deployment) run(o role.Options) error {
	peerListener, err := d.listen(o.Settings.PeerAddr)
	if err != nil {
		return errors.Wrap(err, o.Settings.Name)
	}
	httpListener, err := d.listen(o.Settings.HTTPAddr)
	if err != nil {
		_ = peerListener.Close()
		return errors.Wrap(err, o.Settings.Name)
	}
	listeners := []*trackingListener{newTrackingListener(peerListener), newTrackingListener(httpListener)}
	o.PeerListener, o.HTTPListener = listeners[0], listeners[1]
	o.LogOutput = d.options.LogOutput
	if o.LogOutput == nil {
		o.LogOutput = io.Discard
	}
	ctx, cancel := context.WithCancel(context.Background())
	p := &process{cancel: cancel, listeners: listeners, done: make(chan struct{})}
	d.mu.Lock()
	d.processes[o.Settings.Name] = p
	d.mu.Unlock()
	go func() {
		defer close(p.done)
		p.err = role.Run(ctx, o)
	}()
	return nil
}

// reservePorts listens on a free port for every address of the inventory and
// replaces the configuration by a copy with the new addresses.
func (d *Deployment) reservePorts() error {
	c := *d.Config
	c.Inventory.Entries = slices.Clone(c.Inventory.Entries)
	c.Inventory.Targets = slices.Clone(c.Inventory.Targets)
	var addrs []*string
	for i := range c.Inventory.Entries {
		addrs = append(addrs, &c.Inventory.Entries[i].HTTPAddr, &c.Inventory.Entries[i].PeerAddr)
	}
	for i := range c.Inventory.Targets {
		addrs = append(addrs, &c.Inventory.Targets[i].PeerAddr)
	}
	for _, a := range addrs {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return errors.Wrap(err, "reserve a port")
		}
		*a = ln.Addr().String()
		d.reserved[*a] = ln
	}
	d.Config = &c
	return nil
}

// listen returns the reserved listener of an address, or opens one.
func (d *Deployment) listen(addr string) (net.Listener, error) {
	if ln := d.reserved[addr]; ln != nil {
		delete(d.reserved, addr)
		return ln, nil
	}
	return net.Listen("tcp", addr)
}

// Stop starts the planned stop of an entry or a target and waits until it has
// exited or ctx ends.
func (d *Deployment) Stop(ctx context.Context, name string) error {
	d.mu.Lock()
	p := d.processes[name]
	delete(d.processes, name)
	d.mu.Unlock()
	if p == nil {
		return errors.Errorf("no process is named %s", name)
	}
	p.cancel()
	select {
	case <-p.done:
		return p.err
	case <-ctx.Done():
		return errors.WithStack(ctx.Err())
	}
}

// Shutdown runs the planned stop of all entries, then that of all targets, since
// entries finish their requests at targets, and closes the stand-ins. When ctx
// ends, it closes them at once.
func (d *Deployment) Shutdown(ctx context.Context) {
	defer d.Close()
	d.stopAll(ctx, func(name string) bool {
		return slices.ContainsFunc(d.Config.Inventory.Entries, func(e config.Entry) bool { return e.Name == name })
	})
	d.stopAll(ctx, func(string) bool { return true })
}

// stopAll stops the processes that match and waits until they have exited or ctx
// ends.
func (d *Deployment) stopAll(ctx context.Context, match func(name string) bool) {
	d.mu.Lock()
	names := slices.DeleteFunc(slices.Collect(maps.Keys(d.processes)), func(name string) bool { return !match(name) })
	d.mu.Unlock()
	var stops sync.WaitGroup
	for _, name := range names {
		stops.Go(func() { _ = d.Stop(ctx, name) })
	}
	stops.Wait()
}

// Close closes the stand-ins and starts the planned stop of every entry and
// target, without waiting for it.
func (d *Deployment) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.processes {
		p.cancel()
	}
	for _, c := range d.closers {
		c()
	}
}
