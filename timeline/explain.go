package timeline

import (
	"fmt"
	"time"
)

// Explanation tells in plain words what happened to one request.
type Explanation struct {
	RequestID string   `json:"request_id"`
	Lines     []string `json:"lines"`
	// DidRun is not_run, ran or unknown.
	DidRun string `json:"did_run"`
}

// The values of Explanation.DidRun.
const (
	didNotRun  = "not_run"
	didRun     = "ran"
	didUnknown = "unknown"
)

// Explain tells what happened to a request. Events that were overwritten or not
// reached can only make the verdict unknown, never wrong: "ran" needs an event
// of the back end, "not_run" an event that says so.
func Explain(requestID string, t *Timeline) Explanation {
	x := Explanation{RequestID: requestID, DidRun: didUnknown}
	v := verdict{open: map[uint32]bool{}}
	var start Timestamp
	for i := range t.Events {
		e := &t.Events[i]
		if e.RequestID != requestID {
			continue
		}
		if start == 0 {
			start = e.At
		}
		v.see(e)
		x.Lines = append(x.Lines, fmt.Sprintf("+%s %s", Duration(start, e.At).Round(time.Millisecond), sentence(e)))
	}
	if len(x.Lines) == 0 {
		x.Lines = append(x.Lines, "no process that was reached holds an event of this request")
		return x
	}
	x.DidRun = v.didRun()
	x.Lines = append(x.Lines, conclusion(x.DidRun))
	return x
}

// verdict collects what the events prove.
type verdict struct {
	started  bool            // a back end was given the call
	finished bool            // a back end answered
	open     map[uint32]bool // attempts whose end is not known
	final    string
}

func (v *verdict) see(e *Event) {
	switch e.Kind {
	case AttemptStarted:
		v.open[e.Attempt] = true
	case AttemptEnded:
		if e.Error == "" || e.DidRun == didNotRun {
			delete(v.open, e.Attempt)
		}
	case BackendStarted:
		v.started = true
	case BackendFinished:
		v.finished = v.finished || e.Error == "" || e.DidRun == didRun
	case RequestFinished:
		v.final = e.DidRun
		if e.Error == "" {
			v.finished = true
		}
	}
}

func (v *verdict) didRun() string {
	switch {
	case v.finished:
		return didRun
	case v.final == didNotRun && !v.started && len(v.open) == 0:
		return didNotRun
	default:
		return didUnknown
	}
}

func conclusion(didRunValue string) string {
	switch didRunValue {
	case didRun:
		return "It ran."
	case didNotRun:
		return "It did not run and never will under this id."
	default:
		return "Whether it ran is not known; it is not run again under this id."
	}
}

func sentence(e *Event) string {
	s := ""
	switch e.Kind {
	case RequestReceived:
		s = fmt.Sprintf("%s received the request of %s for %s", e.Process, e.Customer, e.Backend)
	case AttemptStarted:
		s = fmt.Sprintf("%s sent attempt %d to %s in %s", e.Process, e.Attempt, e.Target, e.DataCentre)
	case AttemptEnded:
		s = fmt.Sprintf("attempt %d at %s ended", e.Attempt, e.Target)
	case Refused:
		s = fmt.Sprintf("%s refused the request", e.Process)
	case BackendStarted:
		s = fmt.Sprintf("%s handed attempt %d to its back end", e.Process, e.Attempt)
	case BackendFinished:
		s = fmt.Sprintf("the back end of %s finished", e.Process)
	case RequestFinished:
		s = fmt.Sprintf("%s gave the caller its final answer", e.Process)
	default:
		s = fmt.Sprintf("%s: %s", e.Process, e.Kind)
	}
	if e.Error != "" {
		s += fmt.Sprintf(": %s (%s)", e.Error, e.DidRun)
	}
	if e.Detail != "" {
		s += ": " + e.Detail
	}
	return s
}
