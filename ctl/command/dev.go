package command

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/skylarkstep/skylarkstep/config"
	"github.com/skylarkstep/skylarkstep/ctl/dev"
)

const (
	// readyTimeout limits the wait for a dev deployment to become ready.
	readyTimeout = 20 * time.Second
	// devStopTimeout limits the planned stop of a dev deployment.
	devStopTimeout = 5 * time.Second
)

func devCommand() *cobra.Command {
	var file, logFile string
	var once, anyPorts bool
	cmd := &cobra.Command{
		Use:   "dev --config FILE",
		Short: "Run a complete small deployment in this process, with stand-ins, on loopback",
		Long: "Runs every entry and every target of the configuration in this process, together with stand-ins for the\n" +
			"key-value store, the model engines and the plain services. Sends one model request and one call to a\n" +
			"plain service, prints the responses, and runs until interrupted.",
		Example: "  skylarkctl dev --config examples/cabina-norte.json\n" +
			"  skylarkctl dev --config examples/taartplateau.json --once",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runDev(cmd.Context(), cmd.OutOrStdout(), file, logFile, once, anyPorts)
		},
	}
	cmd.Flags().StringVar(&file, "config", "", "configuration file (required)")
	cmd.Flags().StringVar(&logFile, "log", "", "file for the logs of all processes (default: discard)")
	cmd.Flags().BoolVar(&once, "once", false, "exit after the sample requests")
	cmd.Flags().BoolVar(&anyPorts, "any-ports", false, "use free ports instead of those in the configuration")
	_ = cmd.MarkFlagRequired("config")
	return cmd
}

// runDev starts a dev deployment, sends the sample requests and, unless once is
// set, runs until ctx ends.
func runDev(ctx context.Context, out io.Writer, file, logFile string, once, anyPorts bool) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return errors.Wrap(err, "read configuration")
	}
	c, err := config.ParseConfig(data)
	if err != nil {
		return errors.Wrap(err, file)
	}
	logs := io.Discard
	if logFile != "" {
		f, err := os.Create(logFile)
		if err != nil {
			return errors.Wrap(err, "log file")
		}
		defer func() { _ = f.Close() }()
		logs = f
	}
	d, err := dev.Start(ctx, dev.Options{Config: c, LogOutput: logs, AnyPorts: anyPorts})
	if err != nil {
		return err
	}
	defer d.Close()
	readyCtx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := d.WaitReady(readyCtx); err != nil {
		return err
	}
	if err := d.Sample(ctx, out); err != nil || once {
		return err
	}
	_, _ = fmt.Fprintf(out, "running; entry %s, customer key %q, operator token %q; interrupt to stop\n",
		d.EntryURL(), d.CustomerKey(c.Inventory.Customers[0].Name), dev.OperatorToken)
	<-ctx.Done()
	_, _ = fmt.Fprintf(out, "stopping; requests in progress have %v to complete\n", devStopTimeout)
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), devStopTimeout)
	defer cancel()
	d.Shutdown(stopCtx)
	return nil
}
