package entry

import (
	"hash/fnv"
	"time"

	"github.com/skylarkstep/skylarkstep/balancer"
	"github.com/skylarkstep/skylarkstep/config"
	"github.com/skylarkstep/skylarkstep/wire/wirepb"
)

// prefixBytes is the length of the start of a prompt that decides on its
// target, about 64 tokens. A shorter prefix would route all prompts that begin
// with the same system prompt to one target.
const prefixBytes = 256

// prefixHash returns a hash of the start of the prompt. It is the same in every
// entry, so that all entries route a prefix to the same target.
func prefixHash(prompt string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(prompt[:min(len(prompt), prefixBytes)]))
	return h.Sum64()
}

// outstandingWork is the work that this entry has in progress at a target.
type outstandingWork struct {
	requests, tokens int64
}

// outstandingAtReport returns the work that this entry had in progress at the
// target when the target made the report that has just arrived.
func (l *link) outstandingAtReport(now time.Time, load *wirepb.LoadReport) outstandingWork {
	if load.GetAgeMs() == 0 {
		return outstandingWork{l.outstanding.Requests.Load(), l.outstanding.Tokens.Load()}
	}
	requests, tokens := l.outstandingHistory.At(now.Add(-time.Duration(load.GetAgeMs()) * time.Millisecond))
	return outstandingWork{requests, tokens}
}

// balancerTarget returns the state of a target for the routing policy.
func balancerTarget(t config.Target, ct *connectedTarget, l *link, now time.Time) balancer.Target {
	l.outstandingHistory.Record(now, l.outstanding)
	v := balancer.Target{Name: t.Name, DataCentre: t.DataCentre, Group: t.Group, Own: l.outstanding}
	if load := ct.lastHeartbeat.GetLoad(); load != nil {
		v.HasReport = true
		v.Running, v.Queued = int(load.GetRunning()), int(load.GetQueued())
		v.RunningTokens, v.QueuedTokens = int(load.GetRunningTokens()), int(load.GetQueuedTokens())
		v.Limit = int(load.GetLimit())
		v.UnitTime = time.Duration(load.GetServiceTimeUs()) * time.Microsecond
		v.ReportAge = now.Sub(ct.lastHeartbeatAt) + time.Duration(load.GetAgeMs())*time.Millisecond
		v.OwnRequestsAtReport, v.OwnTokensAtReport = ct.outstandingAtReport.requests, ct.outstandingAtReport.tokens
	}
	return v
}
