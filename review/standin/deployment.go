package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/skylarkstep/skylarkstep/platform/storetest"
)

// deployment is the store of the platform, the runners and the processes under test.
type deployment struct {
	dir       string // temporary folder for the settings and the logs
	record    *record
	store     *storetest.Store
	storeAddr string
	host      string
	gateways  []*process
	agents    []*process
	closers   []func()
	mu        sync.Mutex
	// renewedAt holds when each lease was last renewed, by its number.
	renewedAt map[string]time.Time
}

// process is one process under test.
type process struct {
	d        *deployment
	name     string
	zone     string
	ip       string
	role     string
	settings string
	mu       sync.Mutex
	cmd      *exec.Cmd
	exited   chan struct{}
	starts   int
}

var zones = []string{"burgos", "vitoria", "logrono"}

func newDeployment(rec *record) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	d := &deployment{dir: dir, record: rec, store: storetest.New(), host: "ficu95.example", renewedAt: map[string]time.Time{}}
	addr, stop, err := serve("127.0.0.1:0", d.observed())
	if err != nil {
		return nil, err
	}
	d.storeAddr = addr
	d.closers = append(d.closers, stop)
	return d, nil
}

// serve starts an HTTP server and returns its address and a function that ends it.
func serve(addr string, h http.Handler) (string, func(), error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return "", nil, err
	}
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }()
	return l.Addr().String(), func() { _ = s.Close() }, nil
}

// observed is the store; the times of the renewals are noted.
func (d *deployment) observed() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if id, ok := strings.CutPrefix(r.URL.Path, "/api/kv-keep/"); ok {
			d.mu.Lock()
			d.renewedAt[id] = time.Now()
			d.mu.Unlock()
		}
		d.store.ServeHTTP(w, r)
	})
}

// coordinator returns the gateway that holds the lease of the group's coordinator, and
// when the lease was last renewed.
func (d *deployment) coordinator(group string) (*process, time.Time) {
	it, _, err := d.store.Direct().Get(context.Background(), "skylarkstep/coordinators/"+group)
	if err != nil {
		return nil, time.Time{}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, g := range d.gateways {
		if strings.HasPrefix(string(it.Value), g.name+"/") {
			return g, d.renewedAt[fmt.Sprint(it.Lease.Number)]
		}
	}
	return nil, time.Time{}
}

// loopbackIP returns an address of the loopback range that no other process uses.
func loopbackIP() string {
	return fmt.Sprintf("127.%d.%d.%d", 10+rand.IntN(230), 1+rand.IntN(250), 1+rand.IntN(250))
}

// bounds are those of the site file cabina-norte.
var bounds = map[string]any{
	"seedLagS": 3, "addrReuseS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 8,
	"lossSlackMs": 200, "configApplyMs": 2000, "rollbackSlackMs": 250, "maxStretchMs": 5000, "strictRevoke": false, "revokeMs": 5000,
	"retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetSlack": 90, "coldOverrun": 1.5, "coldSlack": 5, "evacuationMs": 5000,
	"recoveryS": 12, "passMs": 120, "retryAfterS": 0, "stall_ms": 1500, "fencingRequired": true, "ttl_max_s": 5,
}

// addGateway prepares a gateway; start starts its process.
func (d *deployment) addGateway(i int) (*process, error) {
	zone := zones[i%len(zones)]
	g := &process{d: d, role: "gateway", name: fmt.Sprintf("front-%s-%d", zone, 1+i/len(zones)), zone: zone, ip: loopbackIP()}
	settings := map[string]any{
		"node": g.name, "role": "gateway", "machineClass": "front", "serves": []string{"front", "directory"},
		"ip": g.ip, "zone": zone, "region": "ebro", "zones": map[string]string{"burgos": "ebro", "vitoria": "ebro", "logrono": "ebro"},
		"listen":        map[string]string{"front": g.ip + ":8227", "ready": g.ip + ":8220", "directory": g.ip + ":8224"},
		"internalPorts": []int{7340, 7355}, "seeds": []string{}, "bootstrap": true,
		"limits":    map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000, "diskMb": 0},
		"discovery": "platform", "entry": "directory", "heartbeatMs": 1200, "bounds": bounds,
		"platform": map[string]any{"address": d.storeAddr, "form": "kv", "writesPerS": 400, "readsPerS": 2000, "historyS": 20, "valueBytes": 1048576, "ttlMinMs": 1000},
	}
	data, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	g.settings = filepath.Join(d.dir, g.name+".json")
	if err := os.WriteFile(g.settings, data, 0o600); err != nil {
		return nil, err
	}
	d.gateways = append(d.gateways, g)
	return g, nil
}

// addAgent prepares the process beside a rank.
func (d *deployment) addAgent(r *rank) (*process, error) {
	g := &process{d: d, role: "rank", name: fmt.Sprintf("side-%s-%d", r.zone, 1+r.index), zone: r.zone, ip: loopbackIP()}
	settings := map[string]any{
		"node": g.name, "role": "rank", "machineClass": "side", "serves": []string{"side"},
		"ip": g.ip, "zone": r.zone, "region": "ebro", "zones": map[string]string{"burgos": "ebro", "vitoria": "ebro", "logrono": "ebro"},
		"listen": map[string]string{}, "internalPorts": []int{7340, 7355}, "seeds": []string{}, "bootstrap": true, "app": r.own, "service": "pintor-lm",
		"limits":    map[string]any{"cpuShare": 0.24, "cores": 1, "memoryMb": 152, "maxFds": 2048, "linkMbps": 20, "diskMb": 0},
		"discovery": "platform", "entry": "directory", "heartbeatMs": 1200, "bounds": bounds,
		"platform": map[string]any{"address": d.storeAddr, "form": "kv", "writesPerS": 400, "readsPerS": 2000, "historyS": 20, "valueBytes": 1048576, "ttlMinMs": 1000},
	}
	data, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	g.settings = filepath.Join(d.dir, g.name+".json")
	if err := os.WriteFile(g.settings, data, 0o600); err != nil {
		return nil, err
	}
	d.agents = append(d.agents, g)
	return g, nil
}

// start starts the process with the command of the deploy file.
func (g *process) start() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(g.d.dir, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	g.cmd = exec.Command("target/skylarkd", g.role)
	g.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SKYLARKSTEP_CONFIG=" + g.settings}
	g.cmd.Stdout, g.cmd.Stderr = log, log
	if err := g.cmd.Start(); err != nil {
		return err
	}
	g.starts++
	cmd, exited := g.cmd, make(chan struct{})
	g.exited = exited
	go func() { _ = cmd.Wait(); close(exited) }()
	return nil
}

// startGateways starts gateways and waits until they are ready.
func (d *deployment) startGateways(n int) error {
	for i := range n {
		g, err := d.addGateway(i)
		if err != nil {
			return err
		}
		if err := g.start(); err != nil {
			return err
		}
	}
	for _, g := range d.gateways {
		if err := g.waitReady(15 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

func (g *process) signal(s syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cmd != nil && g.cmd.Process != nil {
		_ = g.cmd.Process.Signal(s)
	}
}

// running reports whether the process has not ended.
func (g *process) running() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.exited == nil {
		return false
	}
	select {
	case <-g.exited:
		return false
	default:
		return true
	}
}

func (g *process) kill() {
	g.signal(syscall.SIGCONT)
	g.signal(syscall.SIGKILL)
	g.mu.Lock()
	exited := g.exited
	g.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

func (g *process) callers() string { return g.ip + ":8227" }

// waitReady waits until the gateway answers its readiness check with 200.
func (g *process) waitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := http.Get("http://" + g.ip + ":8220/api/readiness")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %s", g.name, limit)
}

// close ends all processes and servers of the deployment.
func (d *deployment) close() {
	for _, g := range append(append([]*process(nil), d.gateways...), d.agents...) {
		if g.running() {
			g.kill()
		}
	}
	for _, c := range d.closers {
		c()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	} else {
		fmt.Println("logs:", d.dir)
	}
}

func (d *deployment) put(key string, value any) error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return d.store.Put(ctx, key, value)
}
