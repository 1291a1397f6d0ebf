package e2e

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/config"
)

// relay forwards connections to a target process. While blocked it delays all
// traffic, like a partitioned network, and delivers it after unblock.
type relay struct {
	ln         net.Listener
	targetAddr string

	mu      sync.Mutex
	passing chan struct{} // closed while the relay forwards traffic
}

func newRelay(t *testing.T, listenAddr, targetAddr string) *relay {
	ln, err := net.Listen("tcp", listenAddr)
	require.NoError(t, err)
	r := &relay{ln: ln, targetAddr: targetAddr, passing: make(chan struct{})}
	close(r.passing)
	t.Cleanup(func() {
		_ = ln.Close()
		r.unblock()
	})
	go r.acceptAll()
	return r
}

func (r *relay) acceptAll() {
	for {
		in, err := r.ln.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", r.targetAddr)
		if err != nil {
			_ = in.Close()
			continue
		}
		go r.copy(out, in)
		go r.copy(in, out)
	}
}

func (r *relay) copy(to, from net.Conn) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
	}()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		r.mu.Lock()
		passing := r.passing
		r.mu.Unlock()
		<-passing
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

func (r *relay) block() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.passing = make(chan struct{})
}

func (r *relay) unblock() {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.passing:
	default:
		close(r.passing)
	}
}

// withRelays puts a relay in front of every target process of a model back end
// and stores it in relays by target name.
func withRelays(relays map[string]*relay) option {
	return func(k *cluster) {
		for _, tg := range k.config.Inventory.Targets {
			if b, _ := k.config.Backend(tg.Backend); b.Kind != config.KindModel {
				continue
			}
			k.listenAddrs[tg.Name] = freeAddr(k.t)
			relays[tg.Name] = newRelay(k.t, tg.PeerAddr, k.listenAddrs[tg.Name])
		}
	}
}

// signal sends a signal to a process. After SIGSTOP it waits until the process has
// stopped: the kernel wakes one thread to stop the others, which run on until then.
func (k *cluster) signal(name string, s syscall.Signal) {
	require.NoError(k.t, k.processes[name].cmd.Process.Signal(s))
	if s == syscall.SIGSTOP {
		require.Eventually(k.t, func() bool { return k.isStopped(name) }, waitTimeout, time.Millisecond, "%s does not stop", name)
	}
}

// isStopped reports whether all threads of a process are stopped.
func (k *cluster) isStopped(name string) bool {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", k.processes[name].cmd.Process.Pid))
	require.NoError(k.t, err)
	for _, file := range files {
		stat, err := os.ReadFile(file)
		if err != nil {
			return false // the thread has ended
		}
		_, state, _ := strings.Cut(string(stat), ") ") // after the name of the program
		if !strings.HasPrefix(state, "T") {
			return false
		}
	}
	return len(files) > 0
}

// startStream starts a generation and returns the response without reading its
// body.
func (k *cluster) startStream(body []byte) *http.Response {
	req, err := http.NewRequestWithContext(k.t.Context(), http.MethodPost, k.entryURL(0)+"/v1/completions", bytes.NewReader(body))
	require.NoError(k.t, err)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+customerKey)
	res, err := http.DefaultClient.Do(req)
	require.NoError(k.t, err)
	return res
}

// Guards against a stream that waits for a paused or unreachable target process,
// against losing or duplicating a token when it resumes on another target, and
// against late frames of the process when it is reachable again.
func TestStreamResumesFromUnresponsiveTargetProcess(t *testing.T) {
	relays := map[string]*relay{}
	k := startCluster(t, twoByTwoConfig(t), withRelays(relays))
	body := []byte(`{"model":"pintor","prompt":"summarise the cure times","max_tokens":200}`)
	want, err := k.request(http.MethodPost, k.entryURL(0)+"/v1/completions", customerKey, nil, body)
	require.NoError(t, err)
	require.Equal(t, 200, bytes.Count(want.body, []byte(`"offset":`)))
	for _, fault := range []struct {
		name       string
		begin, end func(target string)
	}{
		{"paused", func(n string) { k.signal(n, syscall.SIGSTOP) }, func(n string) { k.signal(n, syscall.SIGCONT) }},
		{"unreachable", func(n string) { relays[n].block() }, func(n string) { relays[n].unblock() }},
	} {
		t.Run(fault.name, func(t *testing.T) {
			res := k.startStream(body)
			defer func() { _ = res.Body.Close() }()
			// The limit on the time between two tokens applies after the first token.
			head := make([]byte, 100)
			_, err := io.ReadFull(res.Body, head)
			require.NoError(t, err)
			name := k.servingModel()
			require.NotEmpty(t, name)
			start := time.Now()
			fault.begin(name)
			rest, err := io.ReadAll(res.Body)
			fault.end(name)
			require.NoError(t, err)
			// The session itself is detected as broken only after 10 to 15 s.
			assert.Less(t, time.Since(start), 9*time.Second, "the stall must be detected by the lack of progress")
			assert.Equal(t, string(want.body), string(head)+string(rest))
			require.Eventually(t, func() bool { return k.servingModel() == "" }, waitTimeout, 10*time.Millisecond,
				"the abandoned attempt must end at the engine")
			k.waitActive(1)
		})
	}
}

// Guards against work that continues at the engine, two processes away, after the
// caller has disconnected.
func TestCallerDisconnectReachesEngine(t *testing.T) {
	k := startCluster(t, twoByTwoConfig(t))
	res := k.startStream([]byte(`{"model":"pintor","prompt":"long","max_tokens":32768}`))
	_, err := io.ReadFull(res.Body, make([]byte, 100))
	require.NoError(t, err)
	name := k.servingModel()
	require.NotEmpty(t, name)
	require.NoError(t, res.Body.Close())
	require.Eventually(t, func() bool { return k.models[name].Counts().Cancelled == 1 }, waitTimeout, time.Millisecond)
}
