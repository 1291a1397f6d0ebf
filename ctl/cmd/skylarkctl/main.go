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
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	err := command.Root().ExecuteContext(ctx)
	if err != nil {
		fmt.Fprintln(os.Stderr, "skylarkctl:", err)
	}
	return command.ExitCode(err)
}
