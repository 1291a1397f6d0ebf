package main

import (
	"bufio"
	"context"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// runAsCommand makes the test binary behave as skylarkctl.
const runAsCommand = "SKYLARKCTL_TEST_COMMAND"

func TestMain(m *testing.M) {
	if os.Getenv(runAsCommand) != "" {
		os.Exit(run())
	}
	os.Exit(m.Run())
}

// Guards against a deployment that is killed in the middle of its requests when
// the terminal of its command is closed or the command is told to stop twice.
func TestSignalsStopDeployment(t *testing.T) {
	for name, series := range map[string][]syscall.Signal{
		"hangup":                {syscall.SIGHUP},
		"hangup after stop":     {syscall.SIGTERM, syscall.SIGHUP},
		"interrupt, then again": {syscall.SIGINT, syscall.SIGINT},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cmd := exec.Command(os.Args[0], "dev", "--config", "../../../examples/cabina-norte.json", "--any-ports")
			cmd.Env = append(os.Environ(), runAsCommand+"=1")
			out, err := cmd.StdoutPipe()
			require.NoError(t, err)
			require.NoError(t, cmd.Start())
			t.Cleanup(func() { _ = cmd.Process.Kill() })
			lines := bufio.NewScanner(out)
			for lines.Scan() && !strings.HasPrefix(lines.Text(), "running") {
			}
			require.True(t, strings.HasPrefix(lines.Text(), "running"), "the deployment did not start")
			for _, sig := range series {
				require.NoError(t, cmd.Process.Signal(sig))
			}
			for lines.Scan() {
			}
			require.NoError(t, cmd.Wait())
		})
	}
}

// Guards against a command that cannot be ended because it does not watch its
// context.
func TestCommandThatIgnoresSignalsEnds(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	blocked := make(chan struct{})
	defer close(blocked)
	err := runUntilStopped(ctx, 10*time.Millisecond, func(context.Context) error { <-blocked; return nil })
	require.ErrorContains(t, err, "has not ended")
}
