package main

import (
	"bufio"
	"context"
	"os"
	"os/exec"
	"os/signal"
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
	// Commands inherit an ignored SIGHUP, for example from nohup.
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
	os.Exit(m.Run())
}

const (
	// signalPause separates the signals of a series, so that each is handled
	// before the next.
	signalPause = 50 * time.Millisecond
	// commandTimeout ends a command that does not stop.
	commandTimeout = 30 * time.Second
)

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
			ctx, cancel := context.WithTimeout(t.Context(), commandTimeout)
			defer cancel()
			cmd := exec.CommandContext(ctx, os.Args[0], "dev", "--config", "../../../examples/cabina-norte.json", "--any-ports")
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
				time.Sleep(signalPause)
			}
			for lines.Scan() {
			}
			require.NoError(t, cmd.Wait())
		})
	}
}

// Guards against a deployment that ends at its first line of output after the reader
// of its output has gone away.
func TestClosedOutputDoesNotEndDeployment(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), commandTimeout)
	defer cancel()
	cmd := exec.CommandContext(ctx, os.Args[0], "dev", "--config", "../../../examples/cabina-norte.json", "--any-ports")
	cmd.Env = append(os.Environ(), runAsCommand+"=1")
	out, err := cmd.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, cmd.Start())
	lines := bufio.NewScanner(out)
	for lines.Scan() && !strings.HasPrefix(lines.Text(), "running") {
	}
	require.NoError(t, out.Close())
	require.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
	require.NoError(t, cmd.Wait())
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
