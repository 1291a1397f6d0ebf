package ranks

import (
	"context"
	"time"

	"github.com/skylarkstep/skylarkstep/expertmap/switchover"
	"github.com/skylarkstep/skylarkstep/infra"
	"github.com/skylarkstep/skylarkstep/infra/ctxtime"
)

const (
	// rescueAfter is how long a coordinator may be silent before the agents look
	// whether it has left the group held. It asks every few milliseconds during
	// a switch, and every roundPause otherwise.
	rescueAfter = roundPause + 150*time.Millisecond
	// rescueStagger adds to it for each rank, so that mostly one agent acts, up
	// to maxRescueStagger in large groups.
	rescueStagger    = 60 * time.Millisecond
	maxRescueStagger = 600 * time.Millisecond
	rescuePoll       = 100 * time.Millisecond
)

// fixedToken is the token of a coordinator that has fallen silent. Finishing
// its switch with its number is safe: the orders are those that it would send,
// and a successor's higher number fences them.
type fixedToken uint64

// Token implements lease.Token.
func (t fixedToken) Token() (uint64, bool) { return uint64(t), true }

// rescue finishes the switch of a coordinator that has fallen silent while the
// group is held: nobody is served until then, and the next coordinator comes
// only after the lease.
func rescue(ctx context.Context, o AgentOptions, a *agent, r Report) {
	stagger := min(time.Duration(r.Rank)*rescueStagger, maxRescueStagger)
	l := &links{
		engine: o.Engine, records: o.Records, log: o.Log, hello: a.hello, group: r.Group, backend: o.Backend,
		items: func(ctx context.Context, prefix string) ([]infra.Item, error) {
			items, _, err := o.KV.List(ctx, prefix)
			return items, err
		},
	}
	for ctx.Err() == nil {
		ctxtime.Sleep(ctx, rescuePoll)
		fencing := a.fencing.Load()
		if fencing == 0 || a.quiet() < rescueAfter+stagger {
			continue
		}
		own, err := o.Engine.Report(ctx, o.RankAddr)
		if err == nil && (own.State.Held || own.State.ArmedVersion != 0) {
			finish(ctx, l, fencing)
		}
	}
}

// finish sends the orders that end a switch that was begun.
func finish(ctx context.Context, l *links, fencing uint64) {
	reports := l.askAll(ctx, ReportQuery{})
	states := make([]switchover.State, len(reports))
	for i, r := range reports {
		states[i] = r.State
	}
	phase, orders := switchover.Decide(states, switchover.Plan{})
	for _, res := range l.orderAll(ctx, orders, fencing, lossyCopies, fixedToken(fencing)) {
		l.log.Info("order for a silent coordinator", "operation", string(res.order.Operation), "rank", res.order.Rank,
			"version", res.order.Version, "step", res.order.Step, "fencing", fencing, "phase", string(phase),
			"outcome", outcomeNames[res.outcome], "error", res.err)
	}
}
