package e2e

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/config"
)

// relay forwards connections to a target process and can hold back everything,
// as a partitioned network does. What it held back arrives late.
type relay struct {
	ln net.Listener
	to string

	mu   sync.Mutex
	open chan struct{} // closed while traffic passes
}

func newRelay(t *testing.T, addr, to string) *relay {
	ln, err := net.Listen("tcp", addr)
	require.NoError(t, err)
	r := &relay{ln: ln, to: to, open: make(chan struct{})}
	close(r.open)
	t.Cleanup(func() {
		_ = ln.Close()
		r.heal()
	})
	go r.accept()
	return r
}

func (r *relay) accept() {
	for {
		in, err := r.ln.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", r.to)
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
		open := r.open
		r.mu.Unlock()
		<-open
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

func (r *relay) cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.open = make(chan struct{})
}

func (r *relay) heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.open:
	default:
		close(r.open)
	}
}

// withRelays puts a relay in front of every target process of the models.
func withRelays(relays map[string]*relay) option {
	return func(k *cluster) {
		for _, tg := range k.config.Inventory.Targets {
			if b, _ := k.config.Backend(tg.Backend); b.Kind != config.KindModel {
				continue
			}
			k.listenAt[tg.Name] = freeAddr(k.t)
			relays[tg.Name] = newRelay(k.t, tg.PeerAddr, k.listenAt[tg.Name])
		}
	}
}

func (k *cluster) signal(name string, s syscall.Signal) {
	require.NoError(k.t, k.procs[name].cmd.Process.Signal(s))
}

// stream starts a generation and returns its answer as it comes.
func (k *cluster) stream(body []byte) *http.Response {
	req, err := http.NewRequestWithContext(k.t.Context(), http.MethodPost, k.entryURL(0)+"/v1/completions", bytes.NewReader(body))
	require.NoError(k.t, err)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+customerKey)
	res, err := http.DefaultClient.Do(req)
	require.NoError(k.t, err)
	return res
}

// Guards against a stream that waits for a target process that was paused or
// cut off, against a token that is lost or repeated when it moves, and against
// late frames of the process when it comes back.
func TestStreamSurvivesSilentTargetProcess(t *testing.T) {
	relays := map[string]*relay{}
	k := startCluster(t, twoByTwo(t), withRelays(relays))
	body := []byte(`{"model":"pintor","prompt":"summarise the cure times","max_tokens":200}`)
	want, err := k.request(http.MethodPost, k.entryURL(0)+"/v1/completions", customerKey, nil, body)
	require.NoError(t, err)
	require.Equal(t, 200, bytes.Count(want.body, []byte(`"offset":`)))
	for _, fault := range []struct {
		name         string
		silence, end func(target string)
	}{
		{"paused", func(n string) { k.signal(n, syscall.SIGSTOP) }, func(n string) { k.signal(n, syscall.SIGCONT) }},
		{"cut off", func(n string) { relays[n].cut() }, func(n string) { relays[n].heal() }},
	} {
		t.Run(fault.name, func(t *testing.T) {
			res := k.stream(body)
			defer func() { _ = res.Body.Close() }()
			// After the first token the limit between two tokens holds.
			head := make([]byte, 100)
			_, err := io.ReadFull(res.Body, head)
			require.NoError(t, err)
			name := k.servingModel()
			require.NotEmpty(t, name)
			start := time.Now()
			fault.silence(name)
			rest, err := io.ReadAll(res.Body)
			fault.end(name)
			require.NoError(t, err)
			// The session itself is found dead only after 10 to 15 s.
			assert.Less(t, time.Since(start), 9*time.Second, "the stall was not found by the lack of progress")
			assert.Equal(t, string(want.body), string(head)+string(rest))
			require.Eventually(t, func() bool { return k.servingModel() == "" }, waitBound, 10*time.Millisecond,
				"the abandoned attempt goes on at the engine")
			k.waitInForce(1)
		})
	}
}

// Guards against work that goes on at the engine, two processes away, after the
// caller has gone.
func TestCallerDisconnectReachesEngine(t *testing.T) {
	k := startCluster(t, twoByTwo(t))
	res := k.stream([]byte(`{"model":"pintor","prompt":"long","max_tokens":32768}`))
	_, err := io.ReadFull(res.Body, make([]byte, 100))
	require.NoError(t, err)
	name := k.servingModel()
	require.NotEmpty(t, name)
	require.NoError(t, res.Body.Close())
	require.Eventually(t, func() bool { return k.models[name].Counts().Cancelled == 1 }, waitBound, time.Millisecond)
}
