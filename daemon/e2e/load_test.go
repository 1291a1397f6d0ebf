package e2e

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/config"
	_ "github.com/skylarkstep/skylarkstep/daemon/role" // a change to the daemons makes cached results stale
)

const loadCallers = 6

// load is callers that keep address answers for their time and send requests
// until it is stopped. Every answer that is not complete is a failure.
type load struct {
	k         *cluster
	completed atomic.Int64
	stop      chan struct{}
	wg        sync.WaitGroup
	mu        sync.Mutex
	failures  []string
}

func startLoad(k *cluster) *load {
	l := &load{k: k, stop: make(chan struct{})}
	for i := range loadCallers {
		l.wg.Go(func() { l.caller(i) })
	}
	return l
}

func (l *load) caller(n int) {
	var urls []string
	var expires time.Time
	for i := n; ; i++ {
		select {
		case <-l.stop:
			return
		default:
		}
		if time.Now().After(expires) {
			urls, expires = l.addresses(urls)
		}
		if i%2 == 0 {
			l.send(urls[0]+"/v1/completions", `{"model":"pintor","prompt":"cure times","max_tokens":20}`, "event: done")
		} else {
			// A booking: the operation is not listed as idempotent.
			l.send(urls[0]+"/v1/services/cabina-app/book", fmt.Sprintf(`{"id":"c%d-%d"}`, n, i), "")
		}
	}
}

// addresses asks the known entries, and all of the inventory at the start.
func (l *load) addresses(known []string) ([]string, time.Time) {
	for i := range l.k.config.Inventory.Entries {
		known = append(known, l.k.entryURL(i))
	}
	asked := time.Now()
	for _, u := range known {
		res, err := l.k.request(http.MethodGet, u+"/v1/addresses", customerKey, nil, nil)
		var list struct {
			Addresses []struct{ URL string }
			TTLMs     int `json:"ttl_ms"`
		}
		if err != nil || res.status != http.StatusOK || json.Unmarshal(res.body, &list) != nil || len(list.Addresses) == 0 {
			continue
		}
		var urls []string
		for _, a := range list.Addresses {
			urls = append(urls, a.URL)
		}
		return urls, asked.Add(time.Duration(list.TTLMs) * time.Millisecond)
	}
	l.fail("no entry answers with addresses")
	return known, asked
}

func (l *load) send(url, body, want string) {
	res, err := l.k.request(http.MethodPost, url, customerKey, nil, []byte(body))
	switch {
	case err != nil:
		l.fail(fmt.Sprintf("%s: %v", url, err))
	case res.status != http.StatusOK || !bytes.Contains(res.body, []byte(want)):
		l.fail(fmt.Sprintf("%s: %d %s", url, res.status, res.body))
	default:
		l.completed.Add(1)
	}
}

func (l *load) fail(what string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failures = append(l.failures, what)
}

// waitMore waits until n more requests are complete.
func (l *load) waitMore(n int64) {
	want := l.completed.Load() + n
	require.Eventually(l.k.t, func() bool { return l.completed.Load() >= want }, waitBound, 5*time.Millisecond)
}

func (l *load) finish() {
	close(l.stop)
	l.wg.Wait()
	assert.Empty(l.k.t, l.failures, "requests cut or refused")
}

func (k *cluster) terminate(name string) {
	require.NoError(k.t, k.procs[name].cmd.Process.Signal(syscall.SIGTERM))
	select {
	case <-k.procs[name].done:
	case <-time.After(waitBound):
		k.t.Fatalf("%s did not end within its stop bound", name)
	}
	assert.Equal(k.t, 0, k.procs[name].cmd.ProcessState.ExitCode())
}

func (k *cluster) listed(entry int) string {
	res, err := k.request(http.MethodGet, k.entryURL(entry)+"/v1/addresses", customerKey, nil, nil)
	if err != nil || res.status != http.StatusOK {
		return "no answer"
	}
	return string(res.body)
}

// waitPeers waits until the entries know each other.
func (k *cluster) waitPeers() {
	for i := range k.config.Inventory.Entries {
		require.Eventually(k.t, func() bool {
			res, err := k.request(http.MethodGet, k.entryURL(i)+"/v1/config/status", operatorToken, nil, nil)
			return err == nil && res.status == http.StatusOK && !bytes.Contains(res.body, []byte(`"state":"gone"`))
		}, waitBound, 10*time.Millisecond)
	}
}

// Guards against a planned stop of an entry that cuts a request, and against
// address answers of other entries that still name it.
func TestPlannedStopOfEntryCutsNoRequest(t *testing.T) {
	k := startCluster(t, twoByTwo(t))
	k.waitPeers()
	l := startLoad(k)
	l.waitMore(50)
	stopped := k.config.Inventory.Entries[1]
	go func() { _ = k.procs[stopped.Name].cmd.Process.Signal(syscall.SIGTERM) }()
	require.Eventually(t, func() bool {
		s := k.listed(0)
		return s != "no answer" && !bytes.Contains([]byte(s), []byte(stopped.HTTPAddr))
	}, time.Second, 5*time.Millisecond, "the other entry still names the stopping one")
	select {
	case <-k.procs[stopped.Name].done:
	case <-time.After(waitBound):
		t.Fatal("the entry did not end within its stop bound")
	}
	assert.Equal(t, 0, k.procs[stopped.Name].cmd.ProcessState.ExitCode())
	assert.NotContains(t, k.listed(0), stopped.HTTPAddr)
	l.waitMore(50)
	l.finish()
}

// Guards against a planned stop of a target process that loses a dispatch or
// the end of an answer when its sessions close.
func TestPlannedStopOfTargetCutsNoRequest(t *testing.T) {
	k := startCluster(t, twoByTwo(t))
	l := startLoad(k)
	l.waitMore(50)
	k.terminate("pintor-lm-burgos")
	k.terminate("cabina-app-vitoria")
	l.waitMore(50)
	l.finish()
}

// outBound is the goal of G3; the bound is 3 s.
const outBound = time.Second

// Guards against new work in a data centre that operators took out, against
// cut requests there, and against address answers that name its entries.
func TestZoneOutAndInUnderLoad(t *testing.T) {
	k := startCluster(t, twoByTwo(t))
	k.waitPeers()
	l := startLoad(k)
	l.waitMore(50)

	out := k.current()
	out.Rules.DataCentresOut = []string{"burgos"}
	k.apply(1, out)
	accepted := time.Now()
	k.waitInForce(2)
	assert.Less(t, time.Since(accepted), outBound)
	before := k.started("burgos")
	l.waitMore(100)
	assert.Equal(t, before, k.started("burgos"), "work started in a data centre that is out")
	for i, e := range k.config.Inventory.Entries {
		assert.NotContains(t, k.listed(i), k.config.Inventory.Entries[0].HTTPAddr, "answer of %s", e.Name)
	}

	out.Rules.DataCentresOut = nil
	k.apply(2, out)
	k.waitInForce(3)
	require.Eventually(t, func() bool { return k.started("burgos") > before }, waitBound, 5*time.Millisecond)
	l.finish()
}

// current returns a copy of the configuration that the cluster started with.
func (k *cluster) current() *config.Config {
	c := *k.config
	return &c
}

// started returns the work that engines and services of the data centre began.
func (k *cluster) started(dataCentre string) int {
	n := 0
	for _, tg := range k.config.Inventory.Targets {
		if tg.DataCentre != dataCentre {
			continue
		}
		if m := k.models[tg.Name]; m != nil {
			n += m.Counts().Started
		} else {
			n += k.services[tg.Name].Executions()
		}
	}
	return n
}
