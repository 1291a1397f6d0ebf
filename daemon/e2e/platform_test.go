package e2e

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/platform"
	"github.com/skylarkstep/skylarkstep/platform/platformtest"
	"github.com/skylarkstep/skylarkstep/platform/storetest"
)

// lockedBuffer collects the output of a process while a test reads it.
type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// eventInterval is the pause between the events of the stand-in target.
const eventInterval = 20 * time.Millisecond

// platformDeployment is the platform's store, one target that is also a rank, and
// the processes of a test, which run as on the users' platform.
type platformDeployment struct {
	t        *testing.T
	store    *storetest.Store
	storeURL string
	target   string
}

// platformProcess is a process under test.
type platformProcess struct {
	t        *testing.T
	ip       string
	settings string
	cmd      *exec.Cmd
	out      *lockedBuffer
	done     chan struct{}
}

func newPlatformDeployment(t *testing.T) *platformDeployment {
	d := &platformDeployment{t: t, store: storetest.New()}
	storeServer := httptest.NewServer(d.store)
	target := httptest.NewServer(http.HandlerFunc(serveTarget))
	t.Cleanup(func() {
		for _, s := range []*httptest.Server{target, storeServer} {
			s.CloseClientConnections()
			s.Close()
		}
	})
	d.storeURL = strings.TrimPrefix(storeServer.URL, "http://")
	d.target = strings.TrimPrefix(target.URL, "http://")
	chat := platformtest.Route{Name: "chat", Timeout: 9 * time.Second, MaxAttempts: 2, Stream: true}
	require.NoError(t, platformtest.PutConfig(t.Context(), d.store, 1, platformtest.Service{Name: "s"}, chat))
	d.putTarget(12)
	return d
}

// putTarget writes the entry of the target.
func (d *platformDeployment) putTarget(slots int) {
	entry := platformtest.Target{ID: "i-1", Service: "s", Addr: d.target, DataCentre: "dc1", Slots: slots}
	require.NoError(d.t, platformtest.PutTarget(d.t.Context(), d.store, entry))
}

// serveTarget sends as many events as the path says, and reports the state of a
// rank that belongs to a group of one.
func serveTarget(w http.ResponseWriter, r *http.Request) {
	if platformtest.ServeRankReport(w, r) {
		return
	}
	var events int
	_, _ = fmt.Sscanf(r.URL.Path, "/chat/%d", &events)
	w.Header().Set("Content-Type", "text/event-stream")
	platformtest.MarkResponse(w, r)
	for i := range events {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: x\n\n", i+1); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		time.Sleep(eventInterval)
	}
}

// start starts a process in the given role, "gateway" or "rank". It does not wait
// until the process is ready.
func (d *platformDeployment) start(role string) *platformProcess {
	p := d.prepare(role)
	p.run()
	return p
}

// prepare writes the settings of a process that is not running yet.
func (d *platformDeployment) prepare(role string) *platformProcess {
	bin, err := buildDaemon()
	require.NoError(d.t, err)
	// The metrics port is the same for all processes, so each has its own address.
	ip := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), rand.IntN(250), 1+rand.IntN(250))
	p := &platformProcess{
		t: d.t, ip: ip, settings: filepath.Join(d.t.TempDir(), "local.json"),
		cmd: exec.Command(bin, role), out: &lockedBuffer{}, done: make(chan struct{}),
	}
	process := platformtest.Process{Name: role + "-" + ip, IP: ip, DataCentre: "dc1", StoreAddr: d.storeURL}
	if role != "gateway" {
		process.RankAddr, process.RankService = d.target, "s"
	}
	data, err := platformtest.Settings(process)
	require.NoError(d.t, err)
	require.NoError(d.t, os.WriteFile(p.settings, data, 0o600))
	p.cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+p.settings)
	p.cmd.Stdout, p.cmd.Stderr = p.out, p.out
	return p
}

// run starts the process.
func (p *platformProcess) run() {
	require.NoError(p.t, p.cmd.Start())
	go func() {
		_ = p.cmd.Wait()
		close(p.done)
	}()
	p.t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.done
		if p.t.Failed() {
			p.t.Logf("%v ended with %v; output:\n%s", p.cmd.Args, p.cmd.ProcessState, p.out)
		}
	})
}

// waitForLog waits until the process has written a log line with the message.
func (p *platformProcess) waitForLog(message string) {
	require.Eventually(p.t, func() bool { return strings.Contains(p.out.String(), `"msg":"`+message+`"`) },
		waitTimeout, time.Millisecond, "no log line %q", message)
}

func (p *platformProcess) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// waitForExit waits for the end of a planned stop and checks that no signal ended
// the process.
func (p *platformProcess) waitForExit() {
	select {
	case <-p.done:
	case <-time.After(waitTimeout):
		require.Fail(p.t, "the process did not exit within its stop timeout")
	}
	require.Equal(p.t, 0, p.cmd.ProcessState.ExitCode(), "the process ended with %v", p.cmd.ProcessState)
}

// callerAddr returns the address for callers of a gateway.
func (p *platformProcess) callerAddr() string { return platformtest.CallerAddr(p.ip) }

// callerStream is a stream of a caller.
type callerStream struct {
	response *http.Response
	reader   *bufio.Reader
}

// openStream requests a stream and waits for its first event.
func (p *platformProcess) openStream(ctx context.Context, events int) *callerStream {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s/chat/%d", p.callerAddr(), events), strings.NewReader("x"))
	require.NoError(p.t, err)
	req.Host = platformtest.Host
	req.Header = platformtest.CallerHeader(fmt.Sprint(rand.Uint64()), 8*time.Second)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(p.t, err)
	require.Equal(p.t, http.StatusOK, resp.StatusCode)
	p.t.Cleanup(func() { _ = resp.Body.Close() })
	s := &callerStream{response: resp, reader: bufio.NewReader(resp.Body)}
	_, err = s.reader.ReadString('\n')
	require.NoError(p.t, err)
	return s
}

// requireComplete reads the stream to its end and checks that it is complete.
func (s *callerStream) requireComplete(t *testing.T, events int) {
	data, err := io.ReadAll(s.reader)
	require.NoError(t, err, "the stream was interrupted")
	require.Contains(t, string(data), fmt.Sprintf("id: %d\n", events))
}

// waitReady waits until the gateway accepts callers.
func (p *platformProcess) waitReady() {
	require.Eventually(p.t, func() bool {
		resp, err := http.Get(platformtest.ReadyURL(p.ip))
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	}, waitTimeout, 5*time.Millisecond)
}
