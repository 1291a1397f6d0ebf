package ranks

import (
	"context"
	"time"

	"github.com/skylarkstep/skylarkstep/expertmap/switchover"
	"github.com/skylarkstep/skylarkstep/infra"
	"github.com/skylarkstep/skylarkstep/infra/ctxtime"
)

const (
	// recoveryTimeout is the time without a query after which an agent treats
	// the coordinator as unresponsive and checks whether its rank is held or
	// armed. A coordinator queries the agents every few milliseconds during a
	// switch, and every roundInterval otherwise.
	recoveryTimeout = roundInterval + 150*time.Millisecond
	// recoveryStagger is added to recoveryTimeout once per rank number, up to
	// maxRecoveryStagger in large groups, so that usually only one agent acts.
	recoveryStagger      = 60 * time.Millisecond
	maxRecoveryStagger   = 600 * time.Millisecond
	recoveryPollInterval = 100 * time.Millisecond
)

// fixedToken is the fencing number of an unresponsive coordinator. Finishing
// its switch under that number is safe: the orders are the ones that it would
// send itself (switchover.Finish), and the higher number of a successor fences them.
type fixedToken uint64

// Token implements lease.Token.
func (t fixedToken) Token() (uint64, bool) { return uint64(t), true }

// recoverSwitch finishes a switch on behalf of an unresponsive coordinator that
// has left the group held. A held group serves no requests, and the next
// coordinator can act only after the lease has expired. It needs no answer of the
// store at that moment: the addresses of the other agents are read when a
// coordinator sends its first order.
func recoverSwitch(ctx context.Context, o AgentOptions, a *agent, r Report) {
	stagger := min(time.Duration(r.Rank)*recoveryStagger, maxRecoveryStagger)
	l := &links{
		engine: o.Engine, records: o.Records, log: o.Log, hello: a.hello, group: r.Group, backend: o.Backend,
		listItems: func(ctx context.Context, prefix string) ([]infra.Item, error) {
			items, _, err := o.KV.List(ctx, prefix)
			return items, err
		},
	}
	readFor := uint64(0)
	for ctx.Err() == nil {
		ctxtime.Sleep(ctx, recoveryPollInterval)
		fencing := a.lastFencing.Load()
		if fencing != readFor {
			// The store may not answer when the addresses are needed.
			readFor = fencing
			l.refreshRecords(ctx, time.Now())
		}
		if fencing == 0 || a.sinceLastQuery() < recoveryTimeout+stagger {
			continue
		}
		report, err := o.Engine.Report(ctx, o.RankAddr)
		if err == nil && (report.State.Held || report.State.ArmedVersion != 0) {
			finishSwitch(ctx, l, fencing)
		}
	}
}

// finishSwitch reads all ranks once and sends the orders that the switch in
// progress needs next. It starts no new switch.
func finishSwitch(ctx context.Context, l *links, fencing uint64) {
	reports := l.queryAll(ctx, ReportQuery{})
	states := make([]switchover.State, len(reports))
	for i, r := range reports {
		states[i] = r.State
	}
	phase, orders := switchover.Finish(states)
	for _, res := range l.sendOrders(ctx, orders, fencing, lossyDuplicates, fixedToken(fencing)) {
		l.log.Info("order for a silent coordinator", "operation", string(res.order.Operation), "rank", res.order.Rank,
			"version", res.order.Version, "step", res.order.Step, "fencing", fencing, "phase", string(phase),
			"outcome", outcomeNames[res.outcome], "error", res.err)
	}
}
