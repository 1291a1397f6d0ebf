package entry

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/skylarkstep/skylarkstep/errkind"
)

// Metric names. Timers are in nanoseconds.
const (
	metricRequests  = "requests.finished"
	metricFailed    = "requests.failed."
	metricDuration  = "requests.duration."
	metricAttempts  = "attempts.started"
	metricRefusals  = "attempts.refused."
	metricNotRun    = "requests.did_run.not_run"
	metricUnknown   = "requests.did_run.unknown"
	metricDCAttempt = "data_centre.attempts."
	metricDCFailed  = "data_centre.attempts_failed."
)

// observeAttempt counts an attempt by the data centre of its target, which
// shows the quality of service while a data centre is taken out of service and
// returned.
func (e *Entry) observeAttempt(to *route, err error) {
	e.counter(metricDCAttempt + to.dataCentre).Inc(1)
	if err == nil {
		return
	}
	e.counter(metricDCFailed + to.dataCentre).Inc(1)
	if x := errkind.From(err); x.DidRun == errkind.NotRun {
		e.counter(metricRefusals + x.Kind.String()).Inc(1)
	}
}

// observeRequest counts a finished request and, if it succeeded, records its
// duration.
func (e *Entry) observeRequest(backend string, took time.Duration, err error) {
	e.counter(metricRequests).Inc(1)
	if err == nil {
		metrics.GetOrRegisterTimer(metricDuration+backend, e.node.Metrics).Update(took)
		return
	}
	x := errkind.From(err)
	e.counter(metricFailed + x.Kind.String()).Inc(1)
	switch x.DidRun {
	case errkind.NotRun:
		e.counter(metricNotRun).Inc(1)
	case errkind.Unknown:
		e.counter(metricUnknown).Inc(1)
	}
}

func (e *Entry) counter(name string) metrics.Counter {
	return metrics.GetOrRegisterCounter(name, e.node.Metrics)
}
