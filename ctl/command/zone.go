package command

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"

	"github.com/spf13/cobra"

	"github.com/skylarkstep/skylarkstep/config"
	"github.com/skylarkstep/skylarkstep/errkind"
)

// maxConflicts bounds how often a zone command starts again because another
// edit was accepted first. The command changes one rule only, so that starting
// again on the newer revision does not undo the other edit.
const maxConflicts = 5

type accepted struct {
	Revision uint64 `json:"revision"`
	Already  bool   `json:"already"`
}

type configDocument struct {
	Revision uint64         `json:"revision"`
	Document *config.Config `json:"document"`
}

func zoneCommand() *cobra.Command {
	f := &operatorFlags{}
	cmd := &cobra.Command{Use: "zone", Short: "Take a data centre out or bring it back"}
	f.register(cmd)
	cmd.AddCommand(zoneChange(f, "out", true), zoneChange(f, "in", false))
	return cmd
}

func zoneChange(f *operatorFlags, name string, out bool) *cobra.Command {
	var allow bool
	cmd := &cobra.Command{
		Use:     name + " ZONE",
		Short:   map[bool]string{true: "Take a data centre out", false: "Bring a data centre back"}[out],
		Example: "  skylarkctl zone " + name + " burgos --entry http://10.0.0.1:8080",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			a, err := f.setZone(cmd.Context(), args[0], out, allow)
			if err != nil {
				return err
			}
			return f.print(cmd.OutOrStdout(), a, func(w io.Writer) {
				_, _ = fmt.Fprintf(w, "data centre %s is %s as of revision %d\n", args[0], name, a.Revision)
			})
		},
	}
	cmd.Flags().BoolVar(&allow, "allow-no-service", false, "accept even if a customer is left with no data centre")
	return cmd
}

// setZone changes the rule on top of the revision in force. The edit id stays
// the same over all tries on one base revision.
func (f *operatorFlags) setZone(ctx context.Context, zone string, out, allow bool) (*accepted, error) {
	for try := 1; ; try++ {
		var doc configDocument
		if err := f.call(ctx, http.MethodGet, "/v1/config", nil, nil, &doc); err != nil {
			return nil, err
		}
		if !slices.ContainsFunc(doc.Document.Inventory.DataCentres, func(d config.DataCentre) bool { return d.Name == zone }) {
			return nil, errkind.New(errkind.InvalidRequest, "data centre %q does not exist in revision %d", zone, doc.Revision)
		}
		if doc.Document.IsOut(zone) == out {
			return &accepted{Revision: doc.Revision, Already: true}, nil
		}
		rules := &doc.Document.Rules
		if out {
			rules.Out = append(rules.Out, zone)
		} else {
			rules.Out = slices.DeleteFunc(rules.Out, func(d string) bool { return d == zone })
		}
		a, err := f.apply(ctx, doc.Revision, rand.Text(), doc.Document, allow)
		if errkind.KindOf(err) != errkind.RevisionConflict || try == maxConflicts {
			return a, err
		}
	}
}

func (f *operatorFlags) apply(ctx context.Context, base uint64, editID string, c *config.Config, allow bool) (*accepted, error) {
	h := http.Header{"If-Match": {strconv.FormatUint(base, 10)}, "Edit-Id": {editID}}
	a := &accepted{}
	err := f.call(ctx, http.MethodPut, "/v1/config?allow_no_service="+strconv.FormatBool(allow), h, c, a)
	return a, err
}
