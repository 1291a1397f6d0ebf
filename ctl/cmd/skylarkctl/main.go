// Command skylarkctl is the command-line tool for operators of skylarkstep.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/skylarkstep/skylarkstep/ctl/command"
)

// stopTimeout is how long a command may take to end after a signal. It is longer
// than the planned stop of the dev command.
const stopTimeout = 8 * time.Second

func main() { os.Exit(run()) }

func run() int {
	// The registration stays until the exit, so that a second signal does not
	// end a deployment of the dev command in the middle of its stop.
	ctx, _ := signal.NotifyContext(context.Background(), stopSignals()...)
	err := runUntilStopped(ctx, stopTimeout, command.Root().ExecuteContext)
	if err != nil {
		fmt.Fprintln(os.Stderr, "skylarkctl:", err)
	}
	return command.ExitCode(err)
}

// runUntilStopped runs a command. When ctx ends, it waits no longer than the
// timeout, since a command that computes or reads its input does not notice.
func runUntilStopped(ctx context.Context, timeout time.Duration, run func(context.Context) error) error {
	done := make(chan error, 1)
	go func() { done <- run(ctx) }()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
	}
	select {
	case err := <-done:
		return err
	case <-time.After(timeout):
		return errors.Errorf("the command has not ended within %v of the signal", timeout)
	}
}

// stopSignals returns the signals that end a command. A closed terminal sends
// SIGHUP, which nohup has the command ignore.
func stopSignals() []os.Signal {
	s := []os.Signal{syscall.SIGTERM, os.Interrupt}
	if !signal.Ignored(syscall.SIGHUP) {
		s = append(s, syscall.SIGHUP)
	}
	return s
}
