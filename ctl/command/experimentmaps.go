package command

import (
	"github.com/pkg/errors"
	"github.com/spf13/cobra"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/skylarkstep/skylarkstep/errkind"
	"github.com/skylarkstep/skylarkstep/expertmap/experiment"
)

func experimentMapsCommand() *cobra.Command {
	var seed uint64
	var file, trace string
	cmd := &cobra.Command{
		Use:     "maps",
		Short:   "Compare the expert map planners by skew and cost of rebalancing",
		Example: "  skylarkctl experiment maps --plot skew.png",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			rows := experiment.RunAll(seed)
			if file != "" {
				if err := plotSkew(rows, trace, file); err != nil {
					return err
				}
			}
			return experiment.Print(cmd.OutOrStdout(), rows)
		},
	}
	cmd.Flags().Uint64Var(&seed, "seed", 1, "seed of the traces")
	cmd.Flags().StringVar(&file, "plot", "", "write skew over time per policy to this PNG file")
	cmd.Flags().StringVar(&trace, "trace", "smooth daily drift", "trace that --plot shows")
	return cmd
}

// plotSkew plots the skew over time, one line for each policy, for one trace.
// The rows hold one skew per minute.
func plotSkew(rows []experiment.Row, trace, file string) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = trace, "hours", "skew"
	var lines []any
	for _, r := range rows {
		if r.Trace != trace {
			continue
		}
		points := make(plotter.XYs, len(r.Skews))
		for i, s := range r.Skews {
			points[i] = plotter.XY{X: float64(i) / 60, Y: s}
		}
		lines = append(lines, r.Policy, points)
	}
	if len(lines) == 0 {
		return errkind.New(errkind.InvalidRequest, "trace %q does not exist", trace)
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return errors.Wrap(err, "plot")
	}
	return errors.Wrap(p.Save(20*vg.Centimeter, 12*vg.Centimeter, file), "plot")
}
