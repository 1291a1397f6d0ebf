// Package logs explains a request from the log lines of the processes, which
// may come from files of several instances in any order.
package logs

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Line is one log line.
type Line struct {
	Time     time.Time      `json:"time"`
	Message  string         `json:"msg"`
	Instance string         `json:"instance"`
	Request  string         `json:"request,omitempty"`
	Target   string         `json:"target,omitempty"`
	Backend  string         `json:"back_end,omitempty"`
	Fields   map[string]any `json:"fields"`
}

const (
	// contextBefore and after bound the beliefs that are shown around a request: an
	// instance may have acted on something that it learned a while ago.
	contextBefore = 10 * time.Second
	contextAfter  = time.Second
	// maxLineBytes bounds a line in bytes.
	maxLineBytes = 1 << 20
)

// Read reads JSON lines. What stands before the first brace of a line, such as
// a stamp of the platform, is skipped, and so are lines without JSON.
func Read(r io.Reader) ([]Line, error) {
	var lines []Line
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		i := bytes.IndexByte(s.Bytes(), '{')
		if i < 0 {
			continue
		}
		var l Line
		text := s.Bytes()[i:]
		if json.Unmarshal(text, &l) != nil || l.decodeFields(text) != nil || l.Message == "" {
			continue // not a line of ours
		}
		lines = append(lines, l)
	}
	return lines, errors.Wrap(s.Err(), "read log")
}

// decodeFields keeps numbers as they were written.
func (l *Line) decodeFields(text []byte) error {
	d := json.NewDecoder(bytes.NewReader(text))
	d.UseNumber()
	return errors.WithStack(d.Decode(&l.Fields))
}

// isGroupLine reports whether the line is about the maps of a rank group, which
// no single request depends on.
func (l *Line) isGroupLine() bool { return l.Fields["fencing"] != nil || l.Fields["epoch"] != nil }

// Explanation is what the logs say about one request.
type Explanation struct {
	RequestID string `json:"request_id"`
	// RequestLines are the lines of the request, and Context the beliefs that the same
	// instances took up around it about the targets and back ends that it met.
	RequestLines []Line `json:"own"`
	Context      []Line `json:"context"`
}

// Explain selects the lines that tell what happened to a request.
func Explain(id string, lines []Line) (Explanation, error) {
	x := Explanation{RequestID: id}
	instances, targets, backends := map[string]bool{}, map[string]bool{}, map[string]bool{}
	for _, l := range lines {
		if l.Request != id {
			continue
		}
		x.RequestLines = append(x.RequestLines, l)
		instances[l.Instance], targets[l.Target], backends[l.Backend] = true, true, true
	}
	if len(x.RequestLines) == 0 {
		return x, fmt.Errorf("request %q is in none of the %d log lines", id, len(lines))
	}
	byTime := func(a, b Line) int { return a.Time.Compare(b.Time) }
	slices.SortStableFunc(x.RequestLines, byTime)
	from, to := x.RequestLines[0].Time.Add(-contextBefore), x.RequestLines[len(x.RequestLines)-1].Time.Add(contextAfter)
	for _, l := range lines {
		if l.Request != "" || l.isGroupLine() || l.Time.Before(from) || l.Time.After(to) {
			continue
		}
		related := l.Target == "" && l.Backend == "" || l.Target != "" && targets[l.Target] || l.Target == "" && backends[l.Backend]
		if instances[l.Instance] && related {
			x.Context = append(x.Context, l)
		}
	}
	slices.SortStableFunc(x.Context, byTime)
	return x, nil
}

// Write prints the lines with their times relative to the end of the request.
func (x Explanation) Write(w io.Writer) {
	end := x.RequestLines[len(x.RequestLines)-1].Time
	all := slices.Concat(x.Context, x.RequestLines)
	slices.SortStableFunc(all, func(a, b Line) int { return a.Time.Compare(b.Time) })
	for _, l := range all {
		mark := " "
		if l.Request != "" {
			mark = ">"
		}
		_, _ = fmt.Fprintf(w, "%s %8.3f s  %s  %s%s\n", mark, l.Time.Sub(end).Seconds(), l.Instance, l.Message, l.otherFields())
	}
}

// otherFields lists the other fields in the order of their names.
func (l Line) otherFields() string {
	var parts []string
	for name, v := range l.Fields {
		switch name {
		case "time", "level", "msg", "instance", "role", "request":
		default:
			parts = append(parts, fmt.Sprintf("%s=%v", name, v))
		}
	}
	slices.Sort(parts)
	if len(parts) == 0 {
		return ""
	}
	return "  " + strings.Join(parts, " ")
}
