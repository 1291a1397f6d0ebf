package timeline

import (
	"fmt"
	"time"
)

// Explanation describes in sentences what happened to a request.
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

// Explain describes what happened to a request, according to the events of t.
// Missing events, because they were overwritten or a process was unreachable, can
// make DidRun unknown but never wrong: ran requires an event that shows it, and
// not_run requires an event that reports it.
func Explain(requestID string, t *Timeline) Explanation {
	x := Explanation{RequestID: requestID, DidRun: didUnknown}
	found := evidence{openAttempts: map[uint32]bool{}}
	var start Timestamp
	for i := range t.Events {
		e := &t.Events[i]
		if e.RequestID != requestID {
			continue
		}
		if start == 0 {
			start = e.At
		}
		found.add(e)
		x.Lines = append(x.Lines, fmt.Sprintf("+%s %s", Duration(start, e.At).Round(time.Millisecond), describeEvent(e)))
	}
	if len(x.Lines) == 0 {
		x.Lines = append(x.Lines, "no process that was reached holds an event of this request")
		return x
	}
	x.DidRun = found.didRun()
	x.Lines = append(x.Lines, describeDidRun(x.DidRun))
	return x
}

// evidence collects what the events show about the execution of a request.
type evidence struct {
	backendStarted  bool            // a back end received the call
	backendFinished bool            // a back end executed the call
	openAttempts    map[uint32]bool // attempts that may still run, or may have run
	reported        string
}

func (v *evidence) add(e *Event) {
	switch e.Kind {
	case AttemptStarted:
		v.openAttempts[e.Attempt] = true
	case AttemptEnded:
		if e.Error == "" || e.DidRun == didNotRun {
			delete(v.openAttempts, e.Attempt)
		}
	case BackendStarted:
		v.backendStarted = true
	case BackendFinished:
		v.backendFinished = v.backendFinished || e.Error == "" || e.DidRun == didRun
	case RequestFinished:
		v.reported = e.DidRun
		if e.Error == "" {
			v.backendFinished = true
		}
	}
}

func (v *evidence) didRun() string {
	switch {
	case v.backendFinished:
		return didRun
	case v.reported == didNotRun && !v.backendStarted && len(v.openAttempts) == 0:
		return didNotRun
	default:
		return didUnknown
	}
}

func describeDidRun(value string) string {
	switch value {
	case didRun:
		return "It ran."
	case didNotRun:
		return "It did not run and never will under this id."
	default:
		return "Whether it ran is not known; it is not run again under this id."
	}
}

func describeEvent(e *Event) string {
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
