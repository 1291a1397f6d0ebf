package command

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"github.com/skylarkstep/skylarkstep/config"
	"github.com/skylarkstep/skylarkstep/ctl/client"
	"github.com/skylarkstep/skylarkstep/errkind"
)

// Overview is one screen over a deployment. Problems come first.
type Overview struct {
	Problems       []string `json:"problems"`
	Revision       uint64   `json:"revision"`
	DataCentresOut []string `json:"data_centres_out"`
	Ready          int      `json:"processes_ready"`
	Total          int      `json:"processes"`
}

// problemsError makes the command exit with ExitNotInForce.
type problemsError struct{ count int }

// Error implements error.
func (e *problemsError) Error() string { return fmt.Sprintf("%d problems", e.count) }

func overviewCommand() *cobra.Command {
	f := &operatorFlags{}
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Show the state of the deployment, what is wrong first",
		Long: "Asks every given entry and shows, in this order: what is wrong, the revision in force, the data centres\n" +
			"that are out, and how many processes are ready. Exits with 5 while something is wrong.",
		Example: "  skylarkctl status --entry http://10.0.0.1:8080,http://10.0.1.1:8080",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			c, err := f.client()
			if err != nil {
				return err
			}
			o, err := overview(cmd.Context(), c)
			if err != nil {
				return err
			}
			if err := f.print(cmd.OutOrStdout(), o, o.writeText); err != nil {
				return err
			}
			if len(o.Problems) > 0 {
				return &problemsError{count: len(o.Problems)}
			}
			return nil
		},
	}
	f.register(cmd)
	return cmd
}

func overview(ctx context.Context, c *client.Client) (*Overview, error) {
	o := &Overview{Problems: []string{}, DataCentresOut: []string{}}
	processes := map[string]client.ProcessRevision{}
	responding := 0
	for _, e := range c.Entries {
		var st client.Status
		err := c.Do(ctx, e, client.Request{Method: http.MethodGet, Path: "/v1/config/status"}, &st)
		switch errkind.KindOf(err) {
		case errkind.Unspecified:
		case errkind.TargetUnreachable, errkind.NotReady:
			o.addProblem("entry %s: %v", e, err)
			continue
		default:
			return nil, err
		}
		responding++
		o.addStatus(e, &st, processes)
	}
	if responding == 0 {
		return nil, errkind.New(errkind.TargetUnreachable, "no entry answers")
	}
	o.addProcesses(processes)
	o.DataCentresOut = dataCentresOut(ctx, c)
	return o, nil
}

// addStatus takes in what one entry says. Of several views of one process, the one
// heard last counts.
func (o *Overview) addStatus(entry string, st *client.Status, processes map[string]client.ProcessRevision) {
	o.Revision = max(o.Revision, st.Revision)
	if !st.StoreReachable {
		o.addProblem("entry %s does not reach the key-value service", entry)
	}
	if st.Freshness == "isolated" {
		o.addProblem("entry %s is isolated and refuses new work; configuration confirmed %s ago",
			entry, time.Duration(st.FreshnessMs)*time.Millisecond)
	}
	for _, p := range st.Processes {
		old, ok := processes[p.Name]
		if !ok || p.HeartbeatAgeMs < old.HeartbeatAgeMs || old.State == "gone" {
			processes[p.Name] = p
		}
	}
}

func (o *Overview) addProcesses(processes map[string]client.ProcessRevision) {
	names := make([]string, 0, len(processes))
	for n := range processes {
		names = append(names, n)
	}
	slices.Sort(names)
	o.Total = len(names)
	for _, n := range names {
		p := processes[n]
		switch {
		case p.State != "ready" && p.State != "warming":
			o.addProblem("%s %s in %s is %s", p.Role, n, p.DataCentre, p.State)
		case p.Revision < o.Revision:
			o.addProblem("%s %s in %s has revision %d, not %d", p.Role, n, p.DataCentre, p.Revision, o.Revision)
		default:
			o.Ready++
		}
	}
}

func (o *Overview) addProblem(format string, args ...any) {
	o.Problems = append(o.Problems, fmt.Sprintf(format, args...))
}

func dataCentresOut(ctx context.Context, c *client.Client) []string {
	var doc struct {
		Document config.Config `json:"document"`
	}
	if c.DoAny(ctx, client.Request{Method: http.MethodGet, Path: "/v1/config"}, &doc) != nil || doc.Document.Rules.Out == nil {
		return []string{}
	}
	return doc.Document.Rules.Out
}

func (o *Overview) writeText(out io.Writer) {
	if len(o.Problems) == 0 {
		_, _ = fmt.Fprintln(out, "nothing is wrong")
	}
	for _, p := range o.Problems {
		_, _ = fmt.Fprintln(out, "WRONG:", p)
	}
	_, _ = fmt.Fprintf(out, "revision %d in force at %d of %d processes\n", o.Revision, o.Ready, o.Total)
	if len(o.DataCentresOut) > 0 {
		_, _ = fmt.Fprintf(out, "data centres out: %v\n", o.DataCentresOut)
	}
}
