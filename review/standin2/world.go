package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/skylarkstep/skylarkstep/platform/storetest"
)

const (
	daemon       = "target/skylarkd"
	startTimeout = 20 * time.Second
	// heartbeat is heartbeatMs of the settings.
	heartbeat = 1200 * time.Millisecond
	// drain is drainMs of the settings.
	drain = 2 * time.Second
	grace = 8 * time.Second
	// memoryMb is the limit of the memory of a gateway.
	memoryMb = 284
)

// Ports of a gateway. Each gateway has a loopback address of its own on which they are free.
const (
	frontPort     = 8227
	readyPort     = 8220
	directoryPort = 8224
	peerPort      = 7340
	metricsPort   = 9464
)

// recorder writes the lines of record.txt.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *recorder) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%9.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// world is a small deployment on loopback addresses.
type world struct {
	record   *recorder
	dir      string
	store    *storetest.Store
	storeURL string
	server   *http.Server
	gateways []*process
	runners  []*runner
	ctx      context.Context
	cancel   context.CancelFunc
}

// process is a process that the case has started.
type process struct {
	name, ip string
	cmd      *exec.Cmd
	done     chan struct{}
}

func newWorld(recordPath string) (*world, error) {
	if _, err := os.Stat(daemon); err != nil {
		return nil, fmt.Errorf("%s is not built: %w", daemon, err)
	}
	file, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review2")
	if err != nil {
		return nil, err
	}
	w := &world{record: &recorder{file: file, start: time.Now()}, dir: dir, store: storetest.New()}
	w.store.OmitEra(true)
	w.ctx, w.cancel = context.WithCancel(context.Background())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.storeURL = listener.Addr().String()
	w.server = &http.Server{Handler: w.store}
	go func() { _ = w.server.Serve(listener) }()
	return w, nil
}

// close ends all processes that the case has started.
func (w *world) close() {
	w.cancel()
	for _, r := range w.runners {
		r.process.kill()
	}
	for _, g := range w.gateways {
		g.kill()
	}
	_ = w.server.Close()
	_ = os.RemoveAll(w.dir)
	_ = w.record.file.Close()
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// start starts a process and passes each line of its output to onLine.
func (w *world) start(name, ip string, env []string, onLine func(string), program string, args ...string) (*process, error) {
	cmd := exec.Command(program, args...)
	cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}, env...)
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{name: name, ip: ip, cmd: cmd, done: make(chan struct{})}
	go func() {
		lines := bufio.NewScanner(out)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			onLine(lines.Text())
		}
		_ = cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

// freeIP returns a loopback address on which the ports of a gateway are free.
func freeIP() (string, error) {
	for range 100 {
		ip := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), rand.IntN(250), 2+rand.IntN(250))
		if portsFree(ip) {
			return ip, nil
		}
	}
	return "", errors.New("no loopback address with free ports")
}

func portsFree(ip string) bool {
	for _, port := range []int{frontPort, readyPort, directoryPort, peerPort, metricsPort} {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(port)))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

var zones = map[string]string{"gent-a": "be-flanders", "gent-b": "be-flanders"}

// startGateway starts a gateway with settings as the platform writes them.
func (w *world) startGateway(name, zone string) error {
	ip, err := freeIP()
	if err != nil {
		return err
	}
	addr := func(port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }
	settings, err := json.Marshal(map[string]any{
		"node": name, "role": "gateway", "machineClass": "front", "serves": []string{"front", "directory"},
		"ip": ip, "zone": zone, "region": zones[zone], "zones": zones,
		"listen":        map[string]string{"front": addr(frontPort), "ready": addr(readyPort), "directory": addr(directoryPort)},
		"internalPorts": []int{peerPort, peerPort + 15}, "seeds": []string{}, "bootstrap": true, "toleranceMember": false,
		"limits":  map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": memoryMb, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
		"dataDir": nil, "discovery": "platform", "entry": "directory", "heartbeatMs": heartbeat.Milliseconds(),
		"bounds": map[string]any{
			"seedLagS": 3, "addrReuseS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": drain.Milliseconds(), "graceS": grace.Seconds(),
			"lossSlackMs": 200, "configApplyMs": 2000, "rollbackSlackMs": 250, "maxStretchMs": 5000, "strictRevoke": false, "revokeMs": 5000,
			"retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetSlack": 88, "coldOverrun": 1.5, "coldSlack": 5, "evacuationMs": 5000,
			"recoveryS": 12, "passMs": 120, "retryAfterS": 0, "stall_ms": 1500, "fencingRequired": true, "ttl_max_s": 5,
		},
		"platform": map[string]any{"address": w.storeURL, "form": "kv", "writesPerS": 400, "readsPerS": 2000, "historyS": 20, "valueBytes": 1048576, "ttlMinMs": 1000},
	})
	if err != nil {
		return err
	}
	path := filepath.Join(w.dir, name+".json")
	if err := os.WriteFile(path, settings, 0o600); err != nil {
		return err
	}
	p, err := w.runGateway(name, ip)
	if err != nil {
		return err
	}
	w.gateways = append(w.gateways, p)
	return nil
}

// runGateway starts the process of a gateway whose settings are written.
func (w *world) runGateway(name, ip string) (*process, error) {
	log, err := os.OpenFile(filepath.Join(w.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	settings := "SKYLARKSTEP_CONFIG=" + filepath.Join(w.dir, name+".json")
	return w.start(name, ip, []string{settings}, func(l string) { _, _ = io.WriteString(log, l+"\n") }, daemon, "gateway")
}

// startGateways starts two gateways in two zones and waits until they are ready.
func (w *world) startGateways() error {
	for i, zone := range []string{"gent-a", "gent-b"} {
		if err := w.startGateway(fmt.Sprintf("front-%s-%d", zone, i), zone); err != nil {
			return err
		}
	}
	return w.awaitReady()
}

// front returns the address of a gateway for clients.
func (p *process) front() string { return net.JoinHostPort(p.ip, strconv.Itoa(frontPort)) }

// awaitReady waits until all gateways say that they are ready.
func (w *world) awaitReady() error {
	deadline := time.Now().Add(startTimeout)
	for _, g := range w.gateways {
		for !isReady(g) {
			if time.Now().After(deadline) {
				return fmt.Errorf("gateway %s is not ready", g.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(2 * time.Second) // the gateways find each other
	w.record.line("%d gateways are ready", len(w.gateways))
	return nil
}

func isReady(g *process) bool {
	resp, err := http.Get("http://" + net.JoinHostPort(g.ip, strconv.Itoa(readyPort)) + "/api/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Names on the wire of the deployment.
const (
	host        = "ficu95.example"
	streamPath  = "/lohu930/"
	unsafePath  = "/puxa403/"
	safePath    = "/rapu33/"
	modelName   = "huvo11a"
	bookingName = "xano55b"
	tenantName  = "hule930"
	apiKey      = "n2ctnfzs989anu6wsjnb"
)

// putConfig writes a configuration like that of a small site.
func (w *world) putConfig() error {
	route := func(name, prefix, kind, service string, timeoutMs, latencyMs int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "prefix": prefix, "kind": kind, "timeoutMs": timeoutMs, "targetLatencyMs": latencyMs,
			"priority": 1, "service": service, "maxAttempts": 2, "public": false,
		}
	}
	stream := route("r-2yhvz3p", streamPath, "streaming", modelName, 8000, 400)
	stream["sticky"], stream["streamResume"], stream["targetGapMs"] = true, true, 120
	return w.store.Put(w.ctx, "op/config", map[string]any{
		"version": 7,
		"routes": []any{
			stream, route("r-k3b0u4d", unsafePath, "unsafe", bookingName, 3000, 300), route("r-u8c2m1t", safePath, "safe", bookingName, 3000, 300),
		},
		"services": []any{
			map[string]any{"name": modelName, "healthPath": "/health", "maxConnections": 408, "coldStartS": 3.0, "coldPerS": 36.0},
			map[string]any{"name": bookingName, "healthPath": "/health", "maxConnections": 96},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000, "idleTimeoutMs": 30000},
		"tenants": []any{map[string]any{"name": tenantName, "apiKeys": []string{apiKey}}},
	})
}

// runner is a runner of the deployment with its entry in the store.
type runner struct {
	id, service, addr, name, zone string
	args                          []string
	mu                            sync.Mutex
	process                       *process
	sequence                      int
	born                          int64 // Unix milliseconds
	// amidLarge is set while the runner writes the rest of a large response.
	amidLarge bool
}

// startRunner starts a runner and keeps its entry in the store.
func (w *world) startRunner(name, service, zone string, args ...string) (*runner, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &runner{id: "i-" + randomHex(8), service: service, addr: l.Addr().String(), name: name, zone: zone, args: args}
	_ = l.Close()
	w.runners = append(w.runners, r)
	return r, w.startIncarnation(r)
}

// startIncarnation starts the process of a runner, for the first time or again under the
// same id.
func (w *world) startIncarnation(r *runner) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	args := append([]string{"runner", "--addr", r.addr, "--id", r.id}, r.args...)
	p, err := w.start(r.name, "", nil, r.onLine(w.record), self, args...)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.process, r.sequence, r.born = p, 0, time.Now().UnixMilli()
	r.mu.Unlock()
	if err := awaitListening(r.addr); err != nil {
		return err
	}
	if err := w.putEntry(r); err != nil {
		return err
	}
	go w.heartbeats(r, p)
	return nil
}

// onLine returns the function that records what the runner writes.
func (r *runner) onLine(record *recorder) func(string) {
	return func(l string) {
		record.line("runner %s (%s): %s", r.name, r.id, l)
		if strings.HasPrefix(l, "has written ") {
			r.mu.Lock()
			r.amidLarge = true
			r.mu.Unlock()
		}
	}
}

// isAmidLarge reports whether the runner has written half of a large response since it
// was last asked.
func (r *runner) isAmidLarge() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	amid := r.amidLarge
	r.amidLarge = false
	return amid
}

func awaitListening(addr string) error {
	deadline := time.Now().Add(startTimeout)
	for {
		c, err := net.Dial("tcp", addr)
		if err == nil {
			return c.Close()
		}
		if time.Now().After(deadline) {
			return err
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// putEntry writes the entry of a runner as it is now.
func (w *world) putEntry(r *runner) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sequence++
	return w.store.Put(w.ctx, "servers/"+r.id, map[string]any{
		"service": r.service, "address": r.addr, "zone": r.zone, "version": "1", "slots": 12, "state": "ready", "coldRemainingMs": 0,
		"sequence": r.sequence, "born": r.born,
	})
}

// heartbeats writes the entry of a runner until its process has ended. A runner that
// crashes sends nothing; its entry is removed after three intervals of silence.
func (w *world) heartbeats(r *runner, p *process) {
	for {
		select {
		case <-time.After(heartbeat):
			_ = w.putEntry(r)
		case <-p.done:
			time.Sleep(3 * heartbeat)
			r.mu.Lock()
			gone := r.process == p
			r.mu.Unlock()
			if gone && w.ctx.Err() == nil {
				_ = w.store.Remove(w.ctx, "servers/"+r.id)
			}
			return
		case <-w.ctx.Done():
			return
		}
	}
}

func randomHex(digits int) string {
	return fmt.Sprintf("%0*x", digits, rand.Uint64()>>(64-4*digits))
}
