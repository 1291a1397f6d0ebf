package e2e

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/config"
	"github.com/skylarkstep/skylarkstep/daemon/role"
	enginestandin "github.com/skylarkstep/skylarkstep/engine/standin"
	"github.com/skylarkstep/skylarkstep/infra/kvhttp"
	"github.com/skylarkstep/skylarkstep/infra/standin"
)

// The measurements behind docs/CAPACITY.md run only on demand:
//
//	go test ./daemon/e2e -run TestMeasure -measure -v
var measure = flag.Bool("measure", false, "run the measurements behind docs/CAPACITY.md")

const (
	measureDelay    = 3 * time.Second
	measureDuration = 10 * time.Second
	// clockTicks is the unit of CPU time in /proc on Linux.
	clockTicks = 100
)

// countingListener counts the bytes of all its connections.
type countingListener struct {
	net.Listener
	in, out *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{c, l.in, l.out}, nil
}

type countingConn struct {
	net.Conn
	in, out *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.in.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.out.Add(int64(n))
	return n, err
}

// usage is the CPU time and resident memory of a process.
type usage struct {
	cpu time.Duration
	rss int64
}

func processUsage(t *testing.T, pid int) usage {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	require.NoError(t, err)
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+2:]))
	user, err := strconv.ParseInt(fields[11], 10, 64)
	require.NoError(t, err)
	system, err := strconv.ParseInt(fields[12], 10, 64)
	require.NoError(t, err)
	pages, err := strconv.ParseInt(fields[21], 10, 64)
	require.NoError(t, err)
	return usage{
		cpu: time.Duration(user+system) * time.Second / clockTicks,
		rss: pages * int64(os.Getpagesize()),
	}
}

// measureConfig returns a configuration with the given numbers of targets of one
// model, customers and entries in one data centre. It has no groups, since they
// add nothing to sessions.
func measureConfig(t *testing.T, targets, customers, entries int) *config.Config {
	c := twoByTwoConfig(t)
	c.Inventory.Targets, c.Inventory.Entries = nil, c.Inventory.Entries[:0]
	for i := range entries {
		c.Inventory.Entries = append(c.Inventory.Entries, config.Entry{
			Name: fmt.Sprintf("entry-%d", i), DataCentre: "burgos", HTTPAddr: freeAddr(t), PeerAddr: freeAddr(t),
		})
	}
	for i := range targets {
		c.Inventory.Targets = append(c.Inventory.Targets, config.Target{
			Name: fmt.Sprintf("runner-%d", i), Backend: "pintor-lm", DataCentre: "burgos", PeerAddr: freeAddr(t),
		})
	}
	for i := range customers {
		name := fmt.Sprintf("customer-%d", i)
		c.Inventory.Customers = append(c.Inventory.Customers, config.Customer{Name: name, KeySHA256: []string{sha256Hex(name)}})
	}
	return c
}

// runInProcess runs a role in the test process and counts the bytes received and
// sent on its peer listener.
func (k *cluster) runInProcess(s *config.Settings, in, out *atomic.Int64) {
	s.ClusterKey = "test-cluster-key-0123"
	s.Platform = config.Platform{KVURL: k.kvURL}
	peerListener, err := net.Listen("tcp", s.PeerAddr)
	require.NoError(k.t, err)
	httpListener, err := net.Listen("tcp", s.HTTPAddr)
	require.NoError(k.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	k.t.Cleanup(cancel)
	o := role.Options{
		Settings: s, LogOutput: io.Discard, KV: kvhttp.New(k.kvURL), HTTPListener: httpListener,
		PeerListener: countingListener{peerListener, in, out},
	}
	if s.Role == config.RoleTarget {
		o.Model = enginestandin.NewModel(enginestandin.ModelOptions{}).Direct()
	}
	go func() { _ = role.Run(ctx, o) }()
}

func emptyCluster(t *testing.T, c *config.Config) *cluster {
	k := &cluster{t: t, config: c, kv: standin.NewKV(), processes: map[string]*daemonProcess{}}
	k.kvURL = k.serve(k.kv)
	return k
}

// Measures an idle entry for different numbers of targets with which it has
// sessions.
func TestMeasureEntry(t *testing.T) {
	if !*measure {
		t.Skip("a measurement, run with -measure")
	}
	t.Logf("targets  customers  cpu %%   rss MB  in B/s  out B/s")
	for _, tc := range []struct{ targets, customers int }{{1, 10}, {16, 10}, {64, 10}, {64, 570}, {128, 570}, {256, 570}} {
		t.Run(fmt.Sprintf("%d-%d", tc.targets, tc.customers), func(t *testing.T) {
			k := emptyCluster(t, measureConfig(t, tc.targets, tc.customers, 1))
			var in, out atomic.Int64
			for _, tg := range k.config.Inventory.Targets {
				k.runInProcess(&config.Settings{
					Role: config.RoleTarget, Name: tg.Name, DataCentre: tg.DataCentre, HTTPAddr: "127.0.0.1:0", PeerAddr: tg.PeerAddr,
					Target: config.TargetSettings{Backend: tg.Backend, Kind: config.KindModel},
				}, &in, &out)
			}
			k.startEntry(k.config.Inventory.Entries[0])
			k.applyConfig(0, k.config)
			k.waitActive(1)
			pid := k.processes["entry-0"].cmd.Process.Pid
			// The targets count the bytes, so in and out are swapped for the entry.
			measureProcess(t, fmt.Sprintf("%7d  %9d", tc.targets, tc.customers), pid, &out, &in)
		})
	}
}

// Measures an idle target process for different numbers of entries that have a
// session with it.
func TestMeasureTarget(t *testing.T) {
	if !*measure {
		t.Skip("a measurement, run with -measure")
	}
	t.Logf("entries  cpu %%   rss MB")
	for _, entries := range []int{1, 4, 16, 32} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			k := emptyCluster(t, measureConfig(t, 1, 570, entries))
			var in, out atomic.Int64
			for _, e := range k.config.Inventory.Entries {
				k.runInProcess(&config.Settings{
					Role: config.RoleEntry, Name: e.Name, DataCentre: e.DataCentre, HTTPAddr: e.HTTPAddr, PeerAddr: e.PeerAddr,
					Operators: []config.Operator{{Name: "test", TokenSHA256: sha256Hex(operatorToken)}},
				}, &in, &out)
			}
			tg := k.config.Inventory.Targets[0]
			k.engineURLs = map[string]string{tg.Name: k.serve(enginestandin.NewModel(enginestandin.ModelOptions{}))}
			k.startTarget(tg)
			k.applyConfig(0, k.config)
			k.waitActive(1)
			var uncounted atomic.Int64
			measureProcess(t, fmt.Sprintf("%7d", entries), k.processes[tg.Name].cmd.Process.Pid, &uncounted, &uncounted)
		})
	}
}

func measureProcess(t *testing.T, label string, pid int, in, out *atomic.Int64) {
	time.Sleep(measureDelay)
	before, in0, out0 := processUsage(t, pid), in.Load(), out.Load()
	time.Sleep(measureDuration)
	after := processUsage(t, pid)
	seconds := measureDuration.Seconds()
	t.Logf("%s  %5.2f  %6.1f  %6.0f  %7.0f", label,
		100*(after.cpu-before.cpu).Seconds()/seconds, float64(after.rss)/1e6,
		float64(in.Load()-in0)/seconds, float64(out.Load()-out0)/seconds)
}
