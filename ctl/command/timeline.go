package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/skylarkstep/skylarkstep/ctl/client"
	"github.com/skylarkstep/skylarkstep/ctl/logs"
	"github.com/skylarkstep/skylarkstep/errkind"
	"github.com/skylarkstep/skylarkstep/timeline"
)

// followInterval is the pause between two queries of timeline --follow.
const followInterval = time.Second

func timelineCommand() *cobra.Command {
	flags := &operatorFlags{}
	var f timeline.Filter
	var kinds []string
	var since time.Duration
	var follow bool
	cmd := &cobra.Command{
		Use:   "timeline",
		Short: "Show the events of all processes in causal order",
		Long: "Collects the events of all given entries and of the targets they have sessions with, and orders them by\n" +
			"the hybrid logical clock that messages carry. Lists the processes that were unreachable and those whose\n" +
			"older events have been overwritten. With --output json it writes one event per line.",
		Example: "  skylarkctl timeline --entry http://10.0.0.1:8080 --since 10m\n" +
			"  skylarkctl timeline --data-centre burgos --kind stop_step --follow\n" +
			"  skylarkctl timeline --request UUPJXTSAKA2VBB4M --output json",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			c, err := flags.client()
			if err != nil {
				return err
			}
			for _, k := range kinds {
				f.Kinds = append(f.Kinds, timeline.Kind(k))
			}
			if since > 0 {
				f.From = time.Now().Add(-since)
			}
			w := &timelineWriter{client: c, filter: f, json: flags.output == "json", out: cmd.OutOrStdout()}
			if follow {
				return w.follow(cmd.Context())
			}
			return w.writeOnce(cmd.Context())
		},
	}
	flags.register(cmd)
	cmd.Flags().StringVar(&f.RequestID, "request", "", "only this request id")
	cmd.Flags().StringVar(&f.OperationID, "operation", "", "only this operation id")
	cmd.Flags().StringVar(&f.Customer, "customer", "", "only this customer")
	cmd.Flags().StringVar(&f.Target, "target", "", "only this target")
	cmd.Flags().StringVar(&f.DataCentre, "data-centre", "", "only this data centre")
	cmd.Flags().StringSliceVar(&kinds, "kind", nil, "only events of this kind, may be repeated")
	cmd.Flags().DurationVar(&since, "since", 0, "only events of this most recent period (default: all kept events)")
	cmd.Flags().BoolVar(&follow, "follow", false, "keep running and show new events as they happen")
	return cmd
}

// timelineWriter queries the events of the entries and prints them.
type timelineWriter struct {
	client *client.Client
	filter timeline.Filter
	json   bool
	out    io.Writer
}

func (w *timelineWriter) writeOnce(ctx context.Context) error {
	t, err := w.client.Timeline(ctx, w.filter)
	if err != nil {
		return err
	}
	return w.write(t)
}

// follow repeats the query at an interval and shows the events that it has not
// shown yet. That includes events that arrive more than one interval late. It does
// not report events that were overwritten.
func (w *timelineWriter) follow(ctx context.Context) error {
	shown := map[string]uint64{}
	for {
		t, err := w.client.Timeline(ctx, w.filter)
		if err != nil && errkind.KindOf(err) != errkind.TargetUnreachable {
			return err
		}
		if err == nil {
			t.Events = newEvents(t.Events, shown)
			t.Overwritten = nil
			if len(t.Events) > 0 {
				if err := w.write(t); err != nil {
					return err
				}
			}
		}
		select {
		case <-time.After(followInterval):
		case <-ctx.Done():
			return nil
		}
	}
}

// newEvents returns the events that were not shown before and records them in
// shown, which maps a process and its incarnation to the next sequence number.
func newEvents(events []timeline.Event, shown map[string]uint64) []timeline.Event {
	var unseen []timeline.Event
	next := map[string]uint64{}
	for i := range events {
		e := &events[i]
		key := fmt.Sprintf("%s/%x", e.Process, e.Incarnation)
		if e.Sequence >= shown[key] {
			unseen = append(unseen, *e)
		}
		next[key] = max(next[key], e.Sequence+1)
	}
	for key, n := range next {
		shown[key] = max(shown[key], n)
	}
	return unseen
}

// write prints the events, and the processes whose events are incomplete.
func (w *timelineWriter) write(t *timeline.Timeline) error {
	if !w.json {
		return t.WriteTable(w.out)
	}
	enc := json.NewEncoder(w.out)
	for i := range t.Events {
		if err := enc.Encode(&t.Events[i]); err != nil {
			return errors.WithStack(err)
		}
	}
	if len(t.Unreachable)+len(t.Overwritten) == 0 {
		return nil
	}
	return errors.WithStack(enc.Encode(struct {
		Unreachable map[string]string `json:"unreachable"`
		Overwritten map[string]uint64 `json:"overwritten"`
	}{t.Unreachable, t.Overwritten}))
}

func explainCommand() *cobra.Command {
	flags := &operatorFlags{}
	var files []string
	cmd := &cobra.Command{
		Use:   "explain REQUEST-ID",
		Short: "Explain what happened to one request and whether it ran",
		Long: "Explains what happened to one request, from the events of running entries or, with --logs, from the log\n" +
			"lines of gateways.",
		Example: "  skylarkctl explain UUPJXTSAKA2VBB4MXBHYEJYDAF --entry http://10.0.0.1:8080\n" +
			"  skylarkctl explain 2055dc742d0d8fd2 --logs front-1.log --logs front-2.log",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if len(files) > 0 {
				return explainLogs(cmd.OutOrStdout(), args[0], files, flags)
			}
			c, err := flags.client()
			if err != nil {
				return err
			}
			t, err := c.Timeline(cmd.Context(), timeline.Filter{RequestID: args[0]})
			if err != nil {
				return err
			}
			x := timeline.Explain(args[0], t)
			return flags.print(cmd.OutOrStdout(), x, func(out io.Writer) {
				for _, line := range x.Lines {
					_, _ = fmt.Fprintln(out, line)
				}
			})
		},
	}
	flags.register(cmd)
	cmd.Flags().StringSliceVar(&files, "logs", nil, "log file of a gateway, may be repeated")
	return cmd
}

// explainLogs explains a request from log files.
func explainLogs(out io.Writer, id string, files []string, f *operatorFlags) error {
	var all []logs.Line
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return errors.Wrap(err, "open log")
		}
		lines, err := logs.Read(file)
		_ = file.Close()
		if err != nil {
			return errors.Wrap(err, name)
		}
		all = append(all, lines...)
	}
	x, err := logs.Explain(id, all)
	if err != nil {
		return err
	}
	return f.print(out, x, x.Write)
}
