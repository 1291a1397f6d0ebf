package e2e

import (
	"bytes"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/config"
)

const (
	hangup    = syscall.SIGHUP
	terminate = syscall.SIGTERM
	interrupt = syscall.SIGINT
)

// signalPause separates the signals of a series, so that each is handled before
// the next.
const signalPause = 30 * time.Millisecond

// Guards against a reload signal that ends a gateway during a planned stop and
// cuts its requests, whatever the order and number of the signals.
func TestSignalsDuringStopCutNoStream(t *testing.T) {
	for name, series := range map[string][]syscall.Signal{
		"reload after stop":             {terminate, hangup},
		"reload before stop":            {hangup, terminate},
		"reload before and after":       {hangup, terminate, hangup},
		"two reloads after stop":        {terminate, hangup, hangup},
		"second stop":                   {terminate, terminate},
		"reload between two stops":      {terminate, hangup, terminate},
		"interrupt, reload, stop":       {interrupt, hangup, terminate},
		"stops and reloads in turn":     {terminate, hangup, terminate, hangup, terminate, hangup},
		"reload without a planned stop": {hangup, hangup},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const events = 40
			p := newPlatformDeployment(t).start("gateway")
			p.waitReady()
			s := p.openStream(t.Context(), events)
			for _, sig := range series {
				p.signal(sig)
				time.Sleep(signalPause)
			}
			s.requireComplete(t, events)
			p.signal(terminate)
			p.waitForExit()
		})
	}
}

// Guards against a reload signal that ends a process that is stopping without a
// request in progress, such as a rank's agent that releases its lease.
func TestReloadSignalDuringStopEndsNoProcess(t *testing.T) {
	for _, role := range []string{"gateway", "rank"} {
		t.Run(role, func(t *testing.T) {
			t.Parallel()
			d := newPlatformDeployment(t)
			p := d.start(role)
			if role == "rank" {
				p.waitForLog("rank joined")
			} else {
				p.waitReady()
			}
			time.Sleep(100 * time.Millisecond)         // the process acquires its lease
			d.store.SetLatency(200 * time.Millisecond) // the release takes as long
			for _, sig := range []syscall.Signal{terminate, hangup, hangup, terminate} {
				p.signal(sig)
				time.Sleep(signalPause)
			}
			p.waitForExit()
		})
	}
}

// Guards against a signal that ends a process that is starting, before a handler
// is registered. The process blocks when it reads its settings.
func TestSignalsDuringStart(t *testing.T) {
	for _, role := range []string{"gateway", "rank"} {
		for name, series := range map[string][]syscall.Signal{
			"reload":          {hangup, hangup},
			"stop":            {terminate},
			"reload and stop": {hangup, terminate, hangup},
		} {
			t.Run(role+" "+name, func(t *testing.T) {
				t.Parallel()
				d := newPlatformDeployment(t)
				p := d.prepare(role)
				settings, err := os.ReadFile(p.settings)
				require.NoError(t, err)
				require.NoError(t, os.Remove(p.settings))
				require.NoError(t, syscall.Mkfifo(p.settings, 0o600))
				p.run()
				pipe, err := os.OpenFile(p.settings, os.O_WRONLY, 0) // blocks until the process reads
				require.NoError(t, err)
				for _, sig := range series {
					p.signal(sig)
					time.Sleep(signalPause)
				}
				require.NoError(t, os.Rename(p.settings, p.settings+".pipe"))
				require.NoError(t, os.WriteFile(p.settings, settings, 0o600))
				_, err = pipe.Write(settings)
				require.NoError(t, err)
				require.NoError(t, pipe.Close())
				p.waitForLog("started")
				p.signal(terminate)
				p.waitForExit()
			})
		}
	}
}

// Guards against a signal that ends a process of the product's own deployment
// while it reads its settings.
func TestSignalsDuringStartOfOwnProcess(t *testing.T) {
	bin, err := buildDaemon()
	require.NoError(t, err)
	settings, err := json.Marshal(&config.Settings{
		Role: config.RoleEntry, Name: "entry", DataCentre: "burgos", HTTPAddr: freeAddr(t), PeerAddr: freeAddr(t),
		ClusterKey: "test-cluster-key-0123", Platform: config.Platform{KVURL: "http://" + freeAddr(t)}, StopTimeoutMs: 2000,
	})
	require.NoError(t, err)
	path := filepath.Join(t.TempDir(), "entry.json")
	require.NoError(t, syscall.Mkfifo(path, 0o600))
	p := &platformProcess{t: t, cmd: exec.Command(bin, "run", path), out: &lockedBuffer{}, done: make(chan struct{})}
	p.cmd.Stderr = p.out
	p.run()
	pipe, err := os.OpenFile(path, os.O_WRONLY, 0) // blocks until the process reads
	require.NoError(t, err)
	for _, sig := range []syscall.Signal{hangup, terminate, hangup, terminate} {
		p.signal(sig)
		time.Sleep(signalPause)
	}
	_, err = pipe.Write(settings)
	require.NoError(t, err)
	require.NoError(t, pipe.Close())
	p.waitForExit()
}

// Guards against a reload during a stop that cuts requests: the file may have
// changed, be invalid or be missing.
func TestReloadDuringStopCutsNoStream(t *testing.T) {
	for name, change := range map[string]func(t *testing.T, path string){
		"changed": func(t *testing.T, path string) {
			data, err := os.ReadFile(path)
			require.NoError(t, err)
			require.NoError(t, os.WriteFile(path, bytes.Replace(data, []byte(`"budgetSlack":90`), []byte(`"budgetSlack":10`), 1), 0o600))
		},
		"invalid": func(t *testing.T, path string) { require.NoError(t, os.WriteFile(path, []byte("{"), 0o600)) },
		"missing": func(t *testing.T, path string) { require.NoError(t, os.Remove(path)) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const events = 40
			p := newPlatformDeployment(t).start("gateway")
			p.waitReady()
			s := p.openStream(t.Context(), events)
			p.signal(terminate)
			p.waitForLog("stopping")
			change(t, p.settings)
			p.signal(hangup)
			want := "settings not taken"
			if name == "changed" {
				want = "settings reloaded"
			}
			p.waitForLog(want)
			s.requireComplete(t, events)
			p.waitForExit()
		})
	}
}

// Guards against the end of a process when the reader of its log goes away.
func TestClosedLogCutsNoStream(t *testing.T) {
	const events = 40
	p := newPlatformDeployment(t).prepare("gateway")
	reader, writer, err := os.Pipe()
	require.NoError(t, err)
	p.cmd.Stdout, p.cmd.Stderr = writer, writer
	p.run()
	require.NoError(t, writer.Close())
	p.waitReady()
	s := p.openStream(t.Context(), events)
	require.NoError(t, reader.Close())
	p.signal(terminate)
	s.requireComplete(t, events)
	p.waitForExit()
}

// Guards against a reload signal that ends a process of the product's own
// deployment, which has no reload, while it serves or stops.
func TestReloadSignalCutsNoRequestOfOwnDeployment(t *testing.T) {
	k := startCluster(t, twoByTwoConfig(t))
	k.waitPeers()
	l := startLoad(k)
	l.waitCompleted(50)
	for _, p := range k.processes {
		require.NoError(t, p.cmd.Process.Signal(hangup))
	}
	l.waitCompleted(50)
	for _, name := range []string{"pintor-lm-burgos", "cabina-app-vitoria", k.config.Inventory.Entries[1].Name} {
		require.NoError(t, k.processes[name].cmd.Process.Signal(terminate))
		time.Sleep(signalPause)
		_ = k.processes[name].cmd.Process.Signal(hangup) // it may have exited
		k.terminate(name)
	}
	l.waitCompleted(50)
	l.finish()
}
