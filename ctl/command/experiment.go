package command

import (
	"github.com/spf13/cobra"

	"github.com/skylarkstep/skylarkstep/balancer/experiment"
)

func experimentCommand() *cobra.Command {
	c := &cobra.Command{Use: "experiment", Short: "Compare policies on generated load and traces"}
	c.AddCommand(routingCommand(), experimentMapsCommand())
	return c
}

func routingCommand() *cobra.Command {
	var targets, entries int
	var seed uint64
	c := &cobra.Command{
		Use:     "routing",
		Short:   "Compare the routing policies on the same recorded arrivals and print a table",
		Example: "  skylarkctl experiment routing --targets 12 --entries 6 --seed 1",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return experiment.WriteRouting(c.OutOrStdout(), targets, entries, seed)
		},
	}
	c.Flags().IntVar(&targets, "targets", 12, "number of targets, in three data centres")
	c.Flags().IntVar(&entries, "entries", 6, "number of entries, in three data centres")
	c.Flags().Uint64Var(&seed, "seed", 1, "seed of the arrivals and routing decisions")
	return c
}
