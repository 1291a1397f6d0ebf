package command

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"github.com/skylarkstep/skylarkstep/ctl/client"
	"github.com/skylarkstep/skylarkstep/errkind"
)

// groupState is the state of one rank group as an entry reports it.
type groupState struct {
	Name          string  `json:"name"`
	DataCentre    string  `json:"data_centre"`
	Reported      bool    `json:"reported"`
	MapVersion    uint64  `json:"map_version"`
	Step          uint64  `json:"step"`
	LastStepAgeMs uint64  `json:"last_step_age_ms"`
	Skew          float64 `json:"skew"`
	Rebalancing   bool    `json:"rebalancing"`
	Stalled       bool    `json:"stalled"`
	Frozen        bool    `json:"frozen"`
}

func groupsCommand() *cobra.Command {
	f := &operatorFlags{}
	cmd := &cobra.Command{
		Use:     "groups",
		Short:   "Show the expert map, progress and skew of each rank group",
		Example: "  skylarkctl groups --entry http://10.0.0.1:8080",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			c, err := f.client()
			if err != nil {
				return err
			}
			states, err := groupStates(cmd.Context(), c)
			if err != nil {
				return err
			}
			return f.print(cmd.OutOrStdout(), states, func(w io.Writer) { printGroups(w, states) })
		},
	}
	f.register(cmd)
	cmd.AddCommand(freezeCommand(f, "freeze", true), freezeCommand(f, "unfreeze", false))
	return cmd
}

// freezeCommand returns the command that stops the rebalancing of a rank group
// (frozen is true) or allows it again.
func freezeCommand(f *operatorFlags, name string, frozen bool) *cobra.Command {
	return &cobra.Command{
		Use:     name + " GROUP",
		Short:   map[bool]string{true: "Stop rebalancing a group", false: "Allow rebalancing of a group again"}[frozen],
		Example: "  skylarkctl groups " + name + " pintor-burgos-1",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			c, err := f.client()
			if err != nil {
				return err
			}
			a, err := c.SetGroupFrozen(cmd.Context(), args[0], frozen)
			if err != nil {
				return err
			}
			return f.print(cmd.OutOrStdout(), a, func(w io.Writer) {
				_, _ = fmt.Fprintf(w, "group %s: %s as of revision %d\n", args[0], name, a.Revision)
			})
		},
	}
}

// groupStates queries every given entry and returns for each group the report
// with the latest step. One entry is not enough, since each receives the reports
// of only some targets.
func groupStates(ctx context.Context, c *client.Client) ([]groupState, error) {
	byName := map[string]groupState{}
	responding := 0
	for _, e := range c.Entries {
		var list []groupState
		err := c.Do(ctx, e, client.Request{Method: http.MethodGet, Path: "/v1/groups"}, &list)
		if errkind.KindOf(err) == errkind.TargetUnreachable {
			continue
		}
		if err != nil {
			return nil, err
		}
		responding++
		for _, g := range list {
			if old, ok := byName[g.Name]; !ok || g.Reported && (!old.Reported || g.Step > old.Step) {
				byName[g.Name] = g
			}
		}
	}
	if responding == 0 {
		return nil, errkind.New(errkind.TargetUnreachable, "no entry responds")
	}
	states := make([]groupState, 0, len(byName))
	for _, g := range byName {
		states = append(states, g)
	}
	slices.SortFunc(states, func(a, b groupState) int { return strings.Compare(a.Name, b.Name) })
	return states, nil
}

func printGroups(out io.Writer, states []groupState) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "GROUP\tDATA CENTRE\tSTATE\tMAP\tSTEP\tSKEW")
	for _, g := range states {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%.3f\n", g.Name, g.DataCentre, g.state(), g.MapVersion, g.Step, g.Skew)
	}
	_ = w.Flush()
}

// state returns the text for the STATE column.
func (g *groupState) state() string {
	state := "running"
	switch {
	case !g.Reported:
		state = "not reported"
	case g.Stalled:
		state = fmt.Sprintf("stalled for %d ms", g.LastStepAgeMs)
	case g.Rebalancing:
		state = "rebalancing"
	}
	if g.Frozen {
		state += ", frozen"
	}
	return state
}
