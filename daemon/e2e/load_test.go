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

// loadGenerator runs callers that cache address lists until they expire and send
// requests until the generator is stopped. Every response that is not complete
// counts as a failure.
type loadGenerator struct {
	k         *cluster
	completed atomic.Int64
	stop      chan struct{}
	wg        sync.WaitGroup
	mu        sync.Mutex
	failures  []string
}

func startLoad(k *cluster) *loadGenerator {
	l := &loadGenerator{k: k, stop: make(chan struct{})}
	for i := range loadCallers {
		l.wg.Go(func() { l.runCaller(i) })
	}
	return l
}

func (l *loadGenerator) runCaller(n int) {
	var urls []string
	var expires time.Time
	for i := n; ; i++ {
		select {
		case <-l.stop:
			return
		default:
		}
		if time.Now().After(expires) {
			urls, expires = l.fetchAddresses(urls)
		}
		if i%2 == 0 {
			l.send(urls[0]+"/v1/completions", `{"model":"pintor","prompt":"cure times","max_tokens":20}`, "event: done")
		} else {
			// The configuration does not list the operation book as idempotent.
			l.send(urls[0]+"/v1/services/cabina-app/book", fmt.Sprintf(`{"id":"c%d-%d"}`, n, i), "")
		}
	}
}

// fetchAddresses requests the address list from the known entries and then from
// those of the inventory, until one responds. It returns the addresses and when
// they expire.
func (l *loadGenerator) fetchAddresses(known []string) ([]string, time.Time) {
	for i := range l.k.config.Inventory.Entries {
		known = append(known, l.k.entryURL(i))
	}
	requested := time.Now()
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
		return urls, requested.Add(time.Duration(list.TTLMs) * time.Millisecond)
	}
	l.recordFailure("no entry responds with addresses")
	return known, requested
}

func (l *loadGenerator) send(url, body, want string) {
	res, err := l.k.request(http.MethodPost, url, customerKey, nil, []byte(body))
	switch {
	case err != nil:
		l.recordFailure(fmt.Sprintf("%s: %v", url, err))
	case res.status != http.StatusOK || !bytes.Contains(res.body, []byte(want)):
		l.recordFailure(fmt.Sprintf("%s: %d %s", url, res.status, res.body))
	default:
		l.completed.Add(1)
	}
}

func (l *loadGenerator) recordFailure(failure string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failures = append(l.failures, failure)
}

// waitCompleted waits until n more requests have completed.
func (l *loadGenerator) waitCompleted(n int64) {
	want := l.completed.Load() + n
	require.Eventually(l.k.t, func() bool { return l.completed.Load() >= want }, waitTimeout, 5*time.Millisecond)
}

func (l *loadGenerator) finish() {
	close(l.stop)
	l.wg.Wait()
	assert.Empty(l.k.t, l.failures, "requests interrupted or refused")
}

func (k *cluster) terminate(name string) {
	require.NoError(k.t, k.processes[name].cmd.Process.Signal(syscall.SIGTERM))
	select {
	case <-k.processes[name].done:
	case <-time.After(waitTimeout):
		k.t.Fatalf("%s did not exit within its stop timeout", name)
	}
	assert.Equal(k.t, 0, k.processes[name].cmd.ProcessState.ExitCode())
}

func (k *cluster) addressList(entry int) string {
	res, err := k.request(http.MethodGet, k.entryURL(entry)+"/v1/addresses", customerKey, nil, nil)
	if err != nil || res.status != http.StatusOK {
		return "no response"
	}
	return string(res.body)
}

// waitPeers waits until no entry reports another process as unreachable.
func (k *cluster) waitPeers() {
	for i := range k.config.Inventory.Entries {
		require.Eventually(k.t, func() bool {
			res, err := k.request(http.MethodGet, k.entryURL(i)+"/v1/config/status", operatorToken, nil, nil)
			return err == nil && res.status == http.StatusOK && !bytes.Contains(res.body, []byte(`"state":"gone"`))
		}, waitTimeout, 10*time.Millisecond)
	}
}

// Guards against a planned stop of an entry that interrupts a request, and
// against address lists of other entries that still contain the stopping one.
func TestPlannedStopOfEntryCutsNoRequest(t *testing.T) {
	k := startCluster(t, twoByTwoConfig(t))
	k.waitPeers()
	l := startLoad(k)
	l.waitCompleted(50)
	stopped := k.config.Inventory.Entries[1]
	go func() { _ = k.processes[stopped.Name].cmd.Process.Signal(syscall.SIGTERM) }()
	require.Eventually(t, func() bool {
		s := k.addressList(0)
		return s != "no response" && !bytes.Contains([]byte(s), []byte(stopped.HTTPAddr))
	}, time.Second, 5*time.Millisecond, "the other entry still lists the stopping one")
	select {
	case <-k.processes[stopped.Name].done:
	case <-time.After(waitTimeout):
		t.Fatal("the entry did not exit within its stop timeout")
	}
	assert.Equal(t, 0, k.processes[stopped.Name].cmd.ProcessState.ExitCode())
	assert.NotContains(t, k.addressList(0), stopped.HTTPAddr)
	l.waitCompleted(50)
	l.finish()
}

// Guards against a planned stop of a target process that loses a dispatch or the
// end of a response when its sessions close.
func TestPlannedStopOfTargetCutsNoRequest(t *testing.T) {
	k := startCluster(t, twoByTwoConfig(t))
	l := startLoad(k)
	l.waitCompleted(50)
	k.terminate("pintor-lm-burgos")
	k.terminate("cabina-app-vitoria")
	l.waitCompleted(50)
	l.finish()
}

// outGoal is the goal for the time from accepting the change until a data centre
// is out of service. Requirement G3 limits that time to 3 s.
const outGoal = time.Second

// Guards against new work in a data centre that operators took out of service,
// against interrupted requests there, and against address lists that contain its
// entries.
func TestZoneOutAndInUnderLoad(t *testing.T) {
	k := startCluster(t, twoByTwoConfig(t))
	k.waitPeers()
	l := startLoad(k)
	l.waitCompleted(50)

	changed := k.copyConfig()
	changed.Rules.DataCentresOut = []string{"burgos"}
	k.applyConfig(1, changed)
	accepted := time.Now()
	k.waitActive(2)
	assert.Less(t, time.Since(accepted), outGoal)
	before := k.startedWork("burgos")
	l.waitCompleted(100)
	assert.Equal(t, before, k.startedWork("burgos"), "work started in a data centre that is out of service")
	for i, e := range k.config.Inventory.Entries {
		assert.NotContains(t, k.addressList(i), k.config.Inventory.Entries[0].HTTPAddr, "address list of %s", e.Name)
	}

	changed.Rules.DataCentresOut = nil
	k.applyConfig(2, changed)
	k.waitActive(3)
	require.Eventually(t, func() bool { return k.startedWork("burgos") > before }, waitTimeout, 5*time.Millisecond)
	l.finish()
}

// copyConfig returns a copy of the configuration with which the cluster started.
func (k *cluster) copyConfig() *config.Config {
	c := *k.config
	return &c
}

// startedWork returns the number of generations and calls that the engines and
// services of the data centre have started.
func (k *cluster) startedWork(dataCentre string) int {
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
