// Package logs explains what happened to a request from the log lines of the
// processes. The lines may come from several instances, in any order.
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

// Line is one log line. Fields holds all its fields, including those above.
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
	// contextBefore and contextAfter limit the time range of the context lines
	// around a request. The range starts early because an instance may have acted
	// on a change that it logged a while before.
	contextBefore = 10 * time.Second
	contextAfter  = time.Second
	// maxLineBytes limits the length of a line.
	maxLineBytes = 1 << 20
)

// Read reads JSON log lines. It skips any text before the first brace of a line,
// such as a timestamp that the platform adds, and lines that are not JSON logs.
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
			continue // not a log line of skylarkstep
		}
		lines = append(lines, l)
	}
	return lines, errors.Wrap(s.Err(), "read log")
}

// decodeFields decodes all fields, keeping numbers as they were written.
func (l *Line) decodeFields(text []byte) error {
	d := json.NewDecoder(bytes.NewReader(text))
	d.UseNumber()
	return errors.WithStack(d.Decode(&l.Fields))
}

// isGroupLine reports whether the line is about the expert maps of a rank group.
// Such lines do not help to explain a single request.
func (l *Line) isGroupLine() bool { return l.Fields["fencing"] != nil || l.Fields["epoch"] != nil }

// Explanation holds the log lines that explain one request.
type Explanation struct {
	RequestID string `json:"request_id"`
	// RequestLines are the lines that name the request. Context holds lines of the
	// same instances around that time that name no request. They are about the targets
	// and back ends that served the request, or about no target or back end.
	RequestLines []Line `json:"own"`
	Context      []Line `json:"context"`
}

// Explain selects the lines that explain a request. It fails if no line names the
// request.
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

// otherFields formats the fields that Write does not print itself, sorted by
// name.
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
