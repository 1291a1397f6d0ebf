package command

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"
)

func zoneCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "zone", Short: "Take a data centre out of service or bring it back"}
	cmd.AddCommand(zoneChangeCommand("out", true), zoneChangeCommand("in", false))
	return cmd
}

// zoneChangeCommand returns the command that takes a data centre out (out is
// true) or brings it back.
func zoneChangeCommand(name string, out bool) *cobra.Command {
	flags := &operatorFlags{}
	var allowNoService bool
	cmd := &cobra.Command{
		Use:     name + " ZONE",
		Short:   map[bool]string{true: "Take a data centre out of service", false: "Bring a data centre back into service"}[out],
		Example: "  skylarkctl zone " + name + " burgos --entry http://10.0.0.1:8080",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			c, err := flags.client()
			if err != nil {
				return err
			}
			a, err := c.SetZone(cmd.Context(), args[0], out, allowNoService)
			if err != nil {
				return err
			}
			return flags.print(cmd.OutOrStdout(), a, func(w io.Writer) {
				_, _ = fmt.Fprintf(w, "data centre %s is %s as of revision %d\n", args[0], name, a.Revision)
			})
		},
	}
	flags.register(cmd)
	cmd.Flags().BoolVar(&allowNoService, "allow-no-service", false, "accept even if a customer is left with no data centre")
	return cmd
}
