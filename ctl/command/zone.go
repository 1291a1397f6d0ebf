package command

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"slices"

	"github.com/spf13/cobra"

	"github.com/skylarkstep/skylarkstep/config"
	"github.com/skylarkstep/skylarkstep/ctl/client"
	"github.com/skylarkstep/skylarkstep/errkind"
)

// maxConflicts bounds how often a zone command starts again because another
// edit was accepted first. The command changes one rule only, so that starting
// again on the newer revision does not undo the other edit.
const maxConflicts = 5

func zoneCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "zone", Short: "Take a data centre out or bring it back"}
	cmd.AddCommand(zoneChange("out", true), zoneChange("in", false))
	return cmd
}

func zoneChange(name string, out bool) *cobra.Command {
	conn := &operatorFlags{}
	z := zoneEdit{out: out}
	cmd := &cobra.Command{
		Use:     name + " ZONE",
		Short:   map[bool]string{true: "Take a data centre out", false: "Bring a data centre back"}[out],
		Example: "  skylarkctl zone " + name + " burgos --entry http://10.0.0.1:8080",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			c, err := conn.client()
			if err != nil {
				return err
			}
			z.zone = args[0]
			a, err := z.run(cmd.Context(), c)
			if err != nil {
				return err
			}
			return conn.print(cmd.OutOrStdout(), a, func(w io.Writer) {
				_, _ = fmt.Fprintf(w, "data centre %s is %s as of revision %d\n", z.zone, name, a.Revision)
			})
		},
	}
	conn.register(cmd)
	cmd.Flags().BoolVar(&z.allow, "allow-no-service", false, "accept even if a customer is left with no data centre")
	return cmd
}

// zoneEdit takes one data centre out or brings it back.
type zoneEdit struct {
	zone  string
	out   bool
	allow bool
}

func (z *zoneEdit) run(ctx context.Context, c *client.Client) (*client.Accepted, error) {
	for try := 1; ; try++ {
		doc, err := c.Config(ctx)
		if err != nil {
			return nil, err
		}
		if !slices.ContainsFunc(doc.Document.Inventory.DataCentres, func(d config.DataCentre) bool { return d.Name == z.zone }) {
			return nil, errkind.New(errkind.InvalidRequest, "data centre %q does not exist in revision %d", z.zone, doc.Revision)
		}
		rules := &doc.Document.Rules
		if doc.Document.IsOut(z.zone) == z.out {
			return &client.Accepted{Revision: doc.Revision, Already: true}, nil
		}
		if z.out {
			rules.Out = append(rules.Out, z.zone)
		} else {
			rules.Out = slices.DeleteFunc(rules.Out, func(d string) bool { return d == z.zone })
		}
		a, err := c.Apply(ctx, client.Edit{
			Base: doc.Revision, ID: rand.Text(), Document: doc.Document, AllowNoService: z.allow,
		})
		if errkind.KindOf(err) != errkind.RevisionConflict || try == maxConflicts {
			return a, err
		}
	}
}
