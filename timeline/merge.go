package timeline

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// Timeline holds the merged events of several processes. Unreachable maps each
// process that could not be queried to the reason, and Overwritten maps a process
// to the number of its events that are no longer kept.
type Timeline struct {
	Events      []Event           `json:"events"`
	Unreachable map[string]string `json:"unreachable,omitempty"`
	Overwritten map[string]uint64 `json:"overwritten,omitempty"`
}

type eventKey struct {
	process     string
	incarnation uint64
	sequence    uint64
}

// Merge orders the events of all batches by their timestamp, so that an effect
// never precedes its cause. An event that is in several batches appears once.
func Merge(batches []Batch) *Timeline {
	t := &Timeline{Events: []Event{}, Unreachable: map[string]string{}, Overwritten: map[string]uint64{}}
	seen := map[eventKey]bool{}
	reached := map[string]bool{}
	for _, b := range batches {
		if b.Unreachable != "" {
			t.Unreachable[b.Process] = b.Unreachable
			continue
		}
		reached[b.Process] = true
		if b.Overwritten > 0 {
			t.Overwritten[b.Process] = b.Overwritten
		}
		for _, e := range b.Events {
			k := eventKey{e.Process, e.Incarnation, e.Sequence}
			if !seen[k] {
				seen[k] = true
				t.Events = append(t.Events, e)
			}
		}
	}
	// A process that was unreachable for one entry may have replied to another.
	for p := range reached {
		delete(t.Unreachable, p)
	}
	slices.SortFunc(t.Events, compareEvents)
	return t
}

func compareEvents(a, b Event) int {
	return cmp.Or(
		cmp.Compare(a.At, b.At),
		cmp.Compare(a.Process, b.Process),
		cmp.Compare(a.Incarnation, b.Incarnation),
		cmp.Compare(a.Sequence, b.Sequence),
	)
}

// WriteTable writes the events as a table, followed by the processes whose events
// are missing or incomplete.
func (t *Timeline) WriteTable(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(tw, "TIME\tPROCESS\tEVENT\tREQUEST\tTARGET\tDETAILS")
	for i := range t.Events {
		e := &t.Events[i]
		_, _ = fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%s\t%s\n",
			e.At.Time().UTC().Format("15:04:05.000"), e.Process, e.Kind, e.RequestID, e.Target, e.details())
	}
	if err := tw.Flush(); err != nil {
		return err
	}
	for _, p := range sortedKeys(t.Unreachable) {
		_, _ = fmt.Fprintf(w, "not reached: %s: %s\n", p, t.Unreachable[p])
	}
	for _, p := range sortedKeys(t.Overwritten) {
		_, _ = fmt.Fprintf(w, "overwritten: %s: %d older events\n", p, t.Overwritten[p])
	}
	return nil
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

func (e *Event) details() string {
	var parts []string
	add := func(name, value string) {
		if value != "" {
			parts = append(parts, name+"="+value)
		}
	}
	add("customer", e.Customer)
	add("back_end", e.Backend)
	add("data_centre", e.DataCentre)
	add("group", e.Group)
	if e.Attempt > 0 {
		add("attempt", fmt.Sprint(e.Attempt))
	}
	if e.Revision > 0 {
		add("revision", fmt.Sprint(e.Revision))
	}
	add("error", e.Error)
	add("did_run", e.DidRun)
	add("detail", e.Detail)
	return strings.Join(parts, " ")
}

// Duration returns the difference between the wall-clock parts of two timestamps.
func Duration(from, to Timestamp) time.Duration { return to.Time().Sub(from.Time()) }
