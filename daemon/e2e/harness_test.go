package e2e

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/config"
	enginestandin "github.com/skylarkstep/skylarkstep/engine/standin"
	"github.com/skylarkstep/skylarkstep/infra/standin"
)

const (
	operatorToken = "test-operator"
	customerKey   = "test-customer"
	waitTimeout   = 20 * time.Second
)

var buildDaemon = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "skylarkd")
	if err != nil {
		return "", err
	}
	bin := filepath.Join(dir, "skylarkd")
	out, err := exec.Command("go", "build", "-o", bin, "../cmd/skylarkd").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build skylarkd: %w: %s", err, out)
	}
	return bin, nil
})

// cluster is a small deployment: entries and target processes run as separate
// processes, stand-ins in the test process.
type cluster struct {
	wrapModel func(target string, engine http.Handler) http.Handler
	// wrapService replaces the handler of each plain service; it may be nil.
	wrapService func(http.Handler) http.Handler
	t           *testing.T
	config      *config.Config
	kv          *standin.KV
	kvURL       string
	models      map[string]*enginestandin.Model
	services    map[string]*enginestandin.Service
	engineURLs  map[string]string
	processes   map[string]*daemonProcess
	// listenAddrs replaces the address on which a target process listens, for
	// targets that are reached through a relay.
	listenAddrs map[string]string
}

// option modifies a cluster before it starts.
type option func(*cluster)

type daemonProcess struct {
	cmd  *exec.Cmd
	done chan struct{}
	log  *bytes.Buffer
}

// Ports of the processes of a test are below the ephemeral range, which starts at
// 32768. An outgoing connection may use a port of that range between the check
// that it is free and the moment when the process binds it.
const (
	firstPort = 20000
	lastPort  = 32000
)

// nextPort starts at a value that depends on the process id, so that concurrent
// test processes rarely try the same ports.
var nextPort = firstPort + os.Getpid()*101%(lastPort-firstPort)

func freeAddr(t *testing.T) string {
	for range lastPort - firstPort {
		addr := fmt.Sprintf("127.0.0.1:%d", nextPort)
		if nextPort++; nextPort == lastPort {
			nextPort = firstPort
		}
		ln, err := net.Listen("tcp", addr)
		if err == nil {
			require.NoError(t, ln.Close())
			return addr
		}
	}
	require.Fail(t, "no free port")
	return ""
}

func sha256Hex(s string) string {
	sum := sha256.Sum256([]byte(s))
	return hex.EncodeToString(sum[:])
}

// twoByTwoConfig returns a configuration with two data centres, each with one
// entry and one target of each back end.
func twoByTwoConfig(t *testing.T) *config.Config {
	c := &config.Config{}
	c.Inventory.Regions = []config.Region{{Name: "ebro"}}
	c.Inventory.Backends = []config.Backend{
		{Name: "pintor-lm", Kind: config.KindModel, Model: "pintor"},
		{Name: "cabina-app", Kind: config.KindService},
	}
	c.Inventory.Customers = []config.Customer{{Name: "taller", KeySHA256: []string{sha256Hex(customerKey)}}}
	c.Rules.Idempotent = []config.IdempotentRule{{Backend: "cabina-app", Operations: []string{"slot-board"}}}
	c.Rules.AddressTTLMs = 500
	for _, dc := range []string{"burgos", "vitoria"} {
		c.Inventory.DataCentres = append(c.Inventory.DataCentres, config.DataCentre{Name: dc, Region: "ebro"})
		c.Inventory.Entries = append(c.Inventory.Entries, config.Entry{
			Name: "entry-" + dc, DataCentre: dc, HTTPAddr: freeAddr(t), PeerAddr: freeAddr(t),
		})
		for _, b := range c.Inventory.Backends {
			c.Inventory.Targets = append(c.Inventory.Targets, config.Target{
				Name: b.Name + "-" + dc, Backend: b.Name, DataCentre: dc, PeerAddr: freeAddr(t),
			})
		}
	}
	return c
}

func startCluster(t *testing.T, c *config.Config, options ...option) *cluster {
	k := &cluster{
		t: t, config: c, kv: standin.NewKV(),
		models: map[string]*enginestandin.Model{}, services: map[string]*enginestandin.Service{},
		engineURLs: map[string]string{}, processes: map[string]*daemonProcess{}, listenAddrs: map[string]string{},
	}
	for _, o := range options {
		o(k)
	}
	k.kvURL = k.serve(k.kv)
	for _, tg := range c.Inventory.Targets {
		if b, _ := c.Backend(tg.Backend); b.Kind == config.KindModel {
			k.models[tg.Name] = enginestandin.NewModel(enginestandin.ModelOptions{
				TokenInterval: 2 * time.Millisecond, ResponseTokens: 32768,
			})
			k.engineURLs[tg.Name] = k.serve(k.wrapEngine(tg.Name, k.models[tg.Name]))
		} else {
			k.services[tg.Name] = enginestandin.NewService(enginestandin.ServiceOptions{})
			k.engineURLs[tg.Name] = k.serve(k.wrapPlain(k.services[tg.Name]))
		}
		k.startTarget(tg)
	}
	for _, e := range c.Inventory.Entries {
		k.startEntry(e)
	}
	k.applyConfig(0, c)
	k.waitActive(1)
	return k
}

func (k *cluster) serve(h http.Handler) string {
	srv := httptest.NewServer(h)
	k.t.Cleanup(func() {
		srv.CloseClientConnections()
		srv.Close()
	})
	return srv.URL
}

// wrapEngine returns the engine's handler, wrapped by that of the test if there is
// one.
func (k *cluster) wrapEngine(target string, engine http.Handler) http.Handler {
	if k.wrapModel == nil {
		return engine
	}
	return k.wrapModel(target, engine)
}

// wrapPlain returns the handler of a plain service, wrapped by that of the test if there
// is one.
func (k *cluster) wrapPlain(service http.Handler) http.Handler {
	if k.wrapService == nil {
		return service
	}
	return k.wrapService(service)
}

func (k *cluster) startTarget(tg config.Target) {
	b, _ := k.config.Backend(tg.Backend)
	if addr := k.listenAddrs[tg.Name]; addr != "" {
		tg.PeerAddr = addr
	}
	k.startProcess(&config.Settings{
		Role: config.RoleTarget, Name: tg.Name, DataCentre: tg.DataCentre,
		HTTPAddr: freeAddr(k.t), PeerAddr: tg.PeerAddr,
		Target: config.TargetSettings{Backend: tg.Backend, Kind: b.Kind, EngineURL: k.engineURLs[tg.Name], Group: tg.Group},
	})
}

func (k *cluster) startEntry(e config.Entry) {
	s := &config.Settings{
		Role: config.RoleEntry, Name: e.Name, DataCentre: e.DataCentre, HTTPAddr: e.HTTPAddr, PeerAddr: e.PeerAddr,
		Operators: []config.Operator{{Name: "test", TokenSHA256: sha256Hex(operatorToken)}},
	}
	for _, other := range k.config.Inventory.Entries {
		if other.Name != e.Name {
			s.Peers = append(s.Peers, other.PeerAddr)
		}
	}
	k.startProcess(s)
}

func (k *cluster) startProcess(s *config.Settings) {
	s.ClusterKey = "test-cluster-key-0123"
	s.Platform = config.Platform{KVURL: k.kvURL}
	s.StopTimeoutMs = 10000
	bin, err := buildDaemon()
	require.NoError(k.t, err)
	data, err := json.Marshal(s)
	require.NoError(k.t, err)
	file := filepath.Join(k.t.TempDir(), s.Name+".json")
	require.NoError(k.t, os.WriteFile(file, data, 0o600))
	p := &daemonProcess{cmd: exec.Command(bin, "run", file), done: make(chan struct{}), log: &bytes.Buffer{}}
	p.cmd.Stderr = p.log
	require.NoError(k.t, p.cmd.Start())
	go func() {
		_ = p.cmd.Wait()
		close(p.done)
	}()
	k.processes[s.Name] = p
	k.t.Cleanup(func() {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
		<-p.done
		if k.t.Failed() {
			k.t.Logf("log of %s:\n%s", s.Name, p.log.String())
		}
	})
}

// kill kills a process that the test started and waits for its exit.
func (k *cluster) kill(name string) {
	require.NoError(k.t, k.processes[name].cmd.Process.Kill())
	<-k.processes[name].done
}

func (k *cluster) entryURL(i int) string { return "http://" + k.config.Inventory.Entries[i].HTTPAddr }

type httpResponse struct {
	status int
	header http.Header
	body   []byte
}

func (k *cluster) request(method, url, token string, h http.Header, body []byte) (*httpResponse, error) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+token)
	for name, values := range h {
		req.Header[name] = values
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(res.Body)
	return &httpResponse{res.StatusCode, res.Header, data}, err
}

func (k *cluster) applyConfig(base uint64, c *config.Config) {
	document, err := json.Marshal(c)
	require.NoError(k.t, err)
	h := http.Header{"If-Match": {fmt.Sprint(base)}, "Edit-Id": {fmt.Sprintf("test-edit-%d", base)}}
	require.Eventually(k.t, func() bool {
		res, err := k.request(http.MethodPut, k.entryURL(0)+"/v1/config", operatorToken, h, document)
		return err == nil && res.status == http.StatusOK
	}, waitTimeout, 20*time.Millisecond)
}

// waitActive waits until the revision is active at every process, according to
// the status at each entry.
func (k *cluster) waitActive(revision uint64) {
	for i := range k.config.Inventory.Entries {
		require.Eventually(k.t, func() bool { return k.isActive(i, revision) }, waitTimeout, 20*time.Millisecond,
			"revision %d is not active at entry %d", revision, i)
	}
}

func (k *cluster) isActive(entry int, revision uint64) bool {
	res, err := k.request(http.MethodGet, k.entryURL(entry)+"/v1/config/status", operatorToken, nil, nil)
	if err != nil || res.status != http.StatusOK {
		return false
	}
	var st struct {
		Revision  uint64
		Processes []struct {
			InForce  bool `json:"in_force"`
			Revision uint64
		}
	}
	if json.Unmarshal(res.body, &st) != nil || st.Revision < revision {
		return false
	}
	for _, p := range st.Processes {
		if !p.InForce {
			return false
		}
	}
	return true
}
