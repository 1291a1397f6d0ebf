package command

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/skylarkstep/skylarkstep/ctl/client"
	"github.com/skylarkstep/skylarkstep/errkind"
)

// notActiveError lists the processes in which a revision is not active. Its exit
// code is ExitNotActive.
type notActiveError struct {
	revision uint64
	behind   []client.ProcessRevision
}

// Error implements error.
func (e *notActiveError) Error() string {
	names := make([]string, 0, len(e.behind))
	for _, p := range e.behind {
		names = append(names, fmt.Sprintf("%s (%s, revision %d)", p.Name, p.State, p.Revision))
	}
	return fmt.Sprintf("revision %d is not in force in %s", e.revision, strings.Join(names, ", "))
}

// waitActive waits until the revision is active in every process. After the
// timeout it returns a *notActiveError, or the error of the last status request.
func waitActive(ctx context.Context, cl *client.Client, progress io.Writer, revision uint64, timeout time.Duration) error {
	start := time.Now()
	for {
		st, err := cl.Status(ctx)
		if err == nil && st.Revision >= revision {
			behind := st.Behind(revision)
			if len(behind) == 0 {
				_, _ = fmt.Fprintf(progress, "revision %d is in force in %d processes after %d ms\n",
					revision, len(st.Processes), time.Since(start).Milliseconds())
				return nil
			}
			if time.Since(start) > timeout {
				return &notActiveError{revision, behind}
			}
		}
		if time.Since(start) > timeout {
			if err != nil {
				return err
			}
			return &notActiveError{revision, st.Processes}
		}
		select {
		case <-time.After(statusInterval):
		case <-ctx.Done():
			return errkind.From(ctx.Err())
		}
	}
}

func waitCommand(f *operatorFlags) *cobra.Command {
	var timeout time.Duration
	cmd := &cobra.Command{
		Use:     "wait REVISION",
		Short:   "Wait until a revision is active in every process",
		Example: "  skylarkctl config wait 42 --bound 10s",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			revision, err := strconv.ParseUint(args[0], 10, 64)
			if err != nil {
				return errkind.Wrap(err, errkind.InvalidRequest, "REVISION")
			}
			cl, err := f.client()
			if err != nil {
				return err
			}
			return waitActive(cmd.Context(), cl, cmd.OutOrStdout(), revision, timeout)
		},
	}
	cmd.Flags().DurationVar(&timeout, "bound", defaultWaitTimeout, "longest time to wait")
	return cmd
}

// statusCommand returns the command config status. The top-level command status is
// overviewCommand.
func statusCommand(f *operatorFlags) *cobra.Command {
	return &cobra.Command{
		Use:     "status",
		Short:   "Show in which processes the revision is active",
		Example: "  skylarkctl config status --output json",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			cl, err := f.client()
			if err != nil {
				return err
			}
			st, err := cl.Status(cmd.Context())
			if err != nil {
				return err
			}
			return f.print(cmd.OutOrStdout(), st, func(w io.Writer) { printStatus(w, st) })
		},
	}
}

func printStatus(out io.Writer, st *client.Status) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(w, "revision %d, %s, confirmed %d ms ago, key-value service reachable: %t\n",
		st.Revision, st.Freshness, st.FreshnessMs, st.StoreReachable)
	_, _ = fmt.Fprintln(w, "PROCESS\tROLE\tDATA CENTRE\tSTATE\tREVISION\tHEARD")
	for _, p := range st.Processes {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d ms ago\n", p.Name, p.Role, p.DataCentre, p.State, p.Revision, p.HeartbeatAgeMs)
	}
	_ = w.Flush()
	if behind := st.Behind(st.Revision); len(behind) > 0 {
		_, _ = fmt.Fprintln(out, (&notActiveError{st.Revision, behind}).Error())
	}
}

func historyCommand(f *operatorFlags) *cobra.Command {
	var limit int
	cmd := &cobra.Command{
		Use:     "history",
		Short:   "List the accepted changes, newest first",
		Example: "  skylarkctl config history --limit 5",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			cl, err := f.client()
			if err != nil {
				return err
			}
			list, err := cl.History(cmd.Context(), limit)
			if err != nil {
				return err
			}
			return f.print(cmd.OutOrStdout(), list, func(w io.Writer) {
				for _, h := range list {
					_, _ = fmt.Fprintf(w, "%d  %s  %s  %s  %.200s\n", h.Revision, h.Time, h.Author, h.EditID, h.Patch)
				}
			})
		},
	}
	cmd.Flags().IntVar(&limit, "limit", 20, "number of changes")
	return cmd
}
