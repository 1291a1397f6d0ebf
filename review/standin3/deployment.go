package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/skylarkstep/skylarkstep/platform/storetest"
)

// Ports of the processes. They are the same on all addresses, as on the platform.
const (
	callerPort    = 8227
	readyPort     = 8220
	directoryPort = 8224
	metricsPort   = 9464
	peerPortFrom  = 7340
	peerPortTo    = 7355
)

const (
	host     = "h.example"
	region   = "be-flanders"
	zone     = "gent-a"
	tenant   = "taller"
	apiKey   = "n2ctnfzs989anu6wsjnb"
	graceS   = 8
	startMax = 15 * time.Second
)

// recorder writes what was sent, answered and run.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	return &recorder{file: f, began: time.Now()}, err
}

func (r *recorder) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// deployment is the platform of one case: the store, the servers and the processes
// under test.
type deployment struct {
	rec      *recorder
	dir      string
	program  string
	store    *storetest.Store
	storeURL string
	servers  []io.Closer
	mu       sync.Mutex
	started  []*process
}

// process is one process of the product.
type process struct {
	d        *deployment
	name, ip string
	role     string
	settings string
	cmd      *exec.Cmd
	done     chan struct{}
	log      *os.File
}

func newDeployment(rec *recorder) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	program, err := filepath.Abs("target/skylarkd")
	if err != nil {
		return nil, err
	}
	d := &deployment{rec: rec, dir: dir, program: program, store: storetest.New()}
	d.store.OmitEra(true)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d.storeURL = l.Addr().String()
	server := &http.Server{Handler: d.store}
	d.servers = append(d.servers, server)
	go func() { _ = server.Serve(l) }()
	return d, nil
}

// close ends all processes that were started, and the stand-ins.
func (d *deployment) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.started {
		_ = p.cmd.Process.Kill()
	}
	for _, p := range d.started {
		<-p.done
	}
	for _, s := range d.servers {
		_ = s.Close()
	}
	_ = os.RemoveAll(d.dir)
}

// freeIP returns a loopback address on which all the ports are free.
func freeIP() (string, error) {
	for range 200 {
		ip := fmt.Sprintf("127.%d.%d.%d", 2+rand.IntN(250), rand.IntN(250), 1+rand.IntN(250))
		free := true
		for _, port := range []int{callerPort, readyPort, directoryPort, metricsPort, peerPortFrom} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			return ip, nil
		}
	}
	return "", fmt.Errorf("no free loopback address")
}

// newProcess writes the settings of a process, in the format of the platform's pages.
// rankAddr and rankService are empty for a gateway.
func (d *deployment) newProcess(role, name, rankAddr, rankService string) (*process, error) {
	ip, err := freeIP()
	if err != nil {
		return nil, err
	}
	settings := map[string]any{
		"node": name, "role": role, "ip": ip, "zone": zone, "region": region, "zones": map[string]string{zone: region},
		"internalPorts": []int{peerPortFrom, peerPortTo}, "seeds": []string{}, "bootstrap": true,
		"limits":    map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
		"discovery": "platform", "entry": "directory", "heartbeatMs": 1200,
		"contracts":      []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "places", "platform", "experts"},
		"faultTolerance": map[string]int{"machines": 1, "zones": 1, "regions": 0},
		"bounds": map[string]any{
			"seedLagS": 3, "addrReuseS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": graceS, "lossSlackMs": 200,
			"configApplyMs": 2000, "rollbackSlackMs": 250, "maxStretchMs": 5000, "strictRevoke": false, "revokeMs": 5000, "retryBudgetRatio": 0.2,
			"budgetWindowS": 10, "budgetSlack": 88, "coldOverrun": 1.5, "coldSlack": 5, "evacuationMs": 5000, "recoveryS": 12, "passMs": 120,
			"retryAfterS": 0, "stall_ms": 1500, "fencingRequired": true, "ttl_max_s": 5,
		},
		"platform": map[string]any{"address": d.storeURL, "form": "kv", "writesPerS": 400, "readsPerS": 2000, "historyS": 20, "valueBytes": 1 << 20, "ttlMinMs": 1000},
	}
	if rankAddr == "" {
		at := func(port int) string { return fmt.Sprintf("%s:%d", ip, port) }
		settings["serves"] = []string{"front", "directory"}
		settings["listen"] = map[string]string{"front": at(callerPort), "ready": at(readyPort), "directory": at(directoryPort)}
	} else {
		settings["serves"], settings["app"], settings["service"] = []string{"side"}, rankAddr, rankService
	}
	data, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	p := &process{d: d, name: name, ip: ip, role: role, settings: filepath.Join(d.dir, name+".json")}
	return p, os.WriteFile(p.settings, data, 0o600)
}

// start starts the process with the command of the deploy file.
func (p *process) start() error {
	log, err := os.OpenFile(filepath.Join(p.d.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	p.cmd = exec.Command(p.d.program, p.role)
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + p.d.dir, "SKYLARKSTEP_CONFIG=" + p.settings}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.done = make(chan struct{})
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.d.rec.log("start of %s (%s), process %d", p.name, p.role, p.cmd.Process.Pid)
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait()
		_ = log.Close()
		p.d.rec.log("end of %s: %v", p.name, cmd.ProcessState)
		close(done)
	}(p.cmd, p.done)
	p.d.mu.Lock()
	p.d.started = append(p.d.started, &process{cmd: p.cmd, done: p.done})
	p.d.mu.Unlock()
	return nil
}

func (p *process) signal(s syscall.Signal) {
	p.d.rec.log("signal %v to %s", s, p.name)
	_ = p.cmd.Process.Signal(s)
}

func (p *process) callerAddr() string { return fmt.Sprintf("%s:%d", p.ip, callerPort) }

// waitReady waits until the process says that it is ready.
func (p *process) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startMax)
	defer cancel()
	for ctx.Err() == nil {
		resp, err := http.Get(fmt.Sprintf("http://%s:%d/api/readiness", p.ip, readyPort))
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				p.d.rec.log("%s is ready", p.name)
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("%s is not ready in time", p.name)
}

// startGateways starts gateways and waits until all are ready.
func (d *deployment) startGateways(ctx context.Context, names ...string) ([]*process, error) {
	var all []*process
	for _, name := range names {
		p, err := d.newProcess("gateway", name, "", "")
		if err != nil {
			return nil, err
		}
		if err := p.start(); err != nil {
			return nil, err
		}
		all = append(all, p)
	}
	for _, p := range all {
		if err := p.waitReady(ctx); err != nil {
			return nil, err
		}
	}
	return all, nil
}

// putServer writes the entry of a server, as it does itself.
func (d *deployment) putServer(id, service, addr string, slots int, born time.Time) error {
	return d.store.Put(context.Background(), "servers/"+id, map[string]any{
		"service": service, "address": addr, "zone": zone, "version": "1", "slots": slots, "state": "ready",
		"coldRemainingMs": 0, "sequence": 1, "born": born.UnixMilli(),
	})
}

// route is a route of the configuration.
func route(name, prefix, kind, service string, timeoutMs, latencyMs, attempts int) map[string]any {
	r := map[string]any{
		"name": name, "host": host, "prefix": prefix, "kind": kind, "service": service, "timeoutMs": timeoutMs,
		"targetLatencyMs": latencyMs, "priority": 1, "maxAttempts": attempts, "public": false,
	}
	if kind == "streaming" {
		r["streamResume"], r["targetGapMs"], r["sticky"] = true, 120, true
	}
	return r
}

// putConfig writes a configuration as the operator does.
func (d *deployment) putConfig(version int, services []string, routes ...map[string]any) error {
	var list []map[string]any
	for _, s := range services {
		list = append(list, map[string]any{"name": s, "healthPath": "/health", "maxConnections": 100})
	}
	return d.store.Put(context.Background(), "op/config", map[string]any{
		"version": version, "routes": routes, "services": list,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000, "idleTimeoutMs": 20000},
		"tenants": []map[string]any{{"name": tenant, "apiKeys": []string{apiKey}}},
	})
}

// newID returns the id of a client attempt.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }
