package command

import (
	"fmt"
	"os"
	"os/exec"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/skylarkstep/skylarkstep/ctl/bench"
)

func benchCommand() *cobra.Command {
	o := bench.Options{Duration: 5 * time.Second, Concurrency: 32, Tokens: 64}
	cmd := &cobra.Command{
		Use:   "bench",
		Short: "Compare the request path with a bare reverse proxy on loopback",
		Long: "Sends the same load to the same stand-ins directly, through a bare reverse proxy, and through an entry\n" +
			"and a target. The proxy, and the entry with the target, each run in a process of their own, whose CPU\n" +
			"time and allocations are measured. Latency is measured with one caller, throughput with several.",
		Example: "  skylarkctl bench\n  skylarkctl bench --request stream --profile path.pprof",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			self, err := os.Executable()
			if err != nil {
				return errors.WithStack(err)
			}
			o.Command = func(s bench.ServeOptions) *exec.Cmd {
				return exec.Command(self, "bench-serve", "--kind", string(s.Route), "--model-url", s.ModelURL, "--service-url", s.ServiceURL)
			}
			results, err := bench.Run(cmd.Context(), o)
			if err != nil {
				return err
			}
			w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', tabwriter.AlignRight)
			_, _ = fmt.Fprintln(w, "request\tthrough\treq/CPU s\tof proxy\treq/s\tallocs/req\tp50\tp99\tadded p50\tadded p99\t")
			for _, r := range results {
				_, _ = fmt.Fprintf(w, "%s\t%s\t%.0f\t%.0f%%\t%.0f\t%.0f\t%s\t%s\t%s\t%s\t\n", r.Request, r.Route, r.PerCPUSecond,
					100*r.ShareOfProxy, r.PerSecond, r.Allocations, formatMicroseconds(r.P50), formatMicroseconds(r.P99), formatMicroseconds(r.AddedP50), formatMicroseconds(r.AddedP99))
			}
			return errors.WithStack(w.Flush())
		},
	}
	cmd.Flags().DurationVar(&o.Duration, "duration", o.Duration, "duration of each load")
	cmd.Flags().IntVar(&o.Concurrency, "concurrency", o.Concurrency, "number of callers of the throughput load")
	cmd.Flags().IntVar(&o.Tokens, "tokens", o.Tokens, "tokens of a streamed response")
	cmd.Flags().StringVar(&o.Request, "request", "", "only this kind of request: small or stream")
	cmd.Flags().StringVar(&o.Profile, "profile", "", "file for a CPU profile of the request path")
	return cmd
}

func formatMicroseconds(d time.Duration) string { return d.Round(time.Microsecond).String() }

// benchServeCommand returns the hidden command that the bench command runs as
// the measured process.
func benchServeCommand() *cobra.Command {
	var o bench.ServeOptions
	var kind string
	cmd := &cobra.Command{
		Use:     "bench-serve",
		Short:   "Run the measured process of bench until standard input is closed",
		Example: "  skylarkctl bench-serve --kind proxy --model-url http://127.0.0.1:9000 --service-url http://127.0.0.1:9001",
		Hidden:  true,
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			o.Route = bench.Route(kind)
			return bench.Serve(cmd.Context(), o, cmd.InOrStdin(), cmd.OutOrStdout())
		},
	}
	cmd.Flags().StringVar(&kind, "kind", string(bench.Path), "proxy or path")
	cmd.Flags().StringVar(&o.ModelURL, "model-url", "", "base URL of the model engine")
	cmd.Flags().StringVar(&o.ServiceURL, "service-url", "", "base URL of the plain service")
	return cmd
}
