// Command skylarkctl is the command-line tool for operators of skylarkstep.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/skylarkstep/skylarkstep/ctl/command"
)

func main() { os.Exit(run()) }

func run() int {
	// The registration stays until the exit, so that a second signal does not
	// end a deployment of the dev command in the middle of its stop.
	ctx, _ := signal.NotifyContext(context.Background(), stopSignals()...)
	err := command.Root().ExecuteContext(ctx)
	if err != nil {
		fmt.Fprintln(os.Stderr, "skylarkctl:", err)
	}
	return command.ExitCode(err)
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
