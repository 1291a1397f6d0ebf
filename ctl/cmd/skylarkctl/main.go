// Command skylarkctl is the tool of the operators.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/skylarkstep/skylarkstep/ctl/command"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := command.Root().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "skylarkctl:", err)
		os.Exit(command.ExitCode(err))
	}
}
