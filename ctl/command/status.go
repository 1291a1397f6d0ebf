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

// Overview summarizes the state of a deployment. Problems come first.
type Overview struct {
	Problems       []string `json:"problems"`
	Revision       uint64   `json:"revision"`
	DataCentresOut []string `json:"data_centres_out"`
	Ready          int      `json:"processes_ready"`
	Total          int      `json:"processes"`
}

// problemsError reports that status found problems. Its exit code is
// ExitNotActive.
type problemsError struct{ count int }

// Error implements error.
func (e *problemsError) Error() string { return fmt.Sprintf("%d problems", e.count) }

// overviewCommand returns the top-level command status.
func overviewCommand() *cobra.Command {
	f := &operatorFlags{}
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Show the state of the deployment, problems first",
		Long: "Queries every given entry and shows, in this order: problems, the active revision and how many processes\n" +
			"are ready with it, and the data centres that are out. Exits with 5 while there is a problem.",
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

// overview queries all entries of the client. An entry that does not respond or is
// not ready is listed as a problem; the call fails if that is true of all entries.
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
		return nil, errkind.New(errkind.TargetUnreachable, "no entry responds")
	}
	o.addProcesses(processes)
	o.DataCentresOut = dataCentresOut(ctx, c)
	return o, nil
}

// addStatus merges the status that one entry reports into the overview and into
// processes. When several entries report the same process, the report with the
// most recent heartbeat is kept. A report with the state "gone" is replaced by that
// of any entry queried later.
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

// addProcesses counts the processes that are ready with the latest revision and
// lists the others as problems.
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

// addProblem appends a formatted problem.
func (o *Overview) addProblem(format string, args ...any) {
	o.Problems = append(o.Problems, fmt.Sprintf(format, args...))
}

// dataCentresOut returns the data centres that the active configuration takes
// out. The list is empty if the configuration can't be read.
func dataCentresOut(ctx context.Context, c *client.Client) []string {
	var doc struct {
		Document config.Config `json:"document"`
	}
	if c.DoAny(ctx, client.Request{Method: http.MethodGet, Path: "/v1/config"}, &doc) != nil || doc.Document.Rules.DataCentresOut == nil {
		return []string{}
	}
	return doc.Document.Rules.DataCentresOut
}

// writeText prints the overview for people.
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
