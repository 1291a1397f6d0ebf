package ranks

import (
	"context"
	"encoding/json"
	"log/slog"
	"strings"
	"sync"
	"time"

	"github.com/skylarkstep/skylarkstep/infra"
	"github.com/skylarkstep/skylarkstep/infra/ctxtime"
	"github.com/skylarkstep/skylarkstep/lease"
	"github.com/skylarkstep/skylarkstep/routing"
	"github.com/skylarkstep/skylarkstep/wire/wirepb"
)

const (
	// groupsPause is the pause between looks for groups.
	groupsPause      = 500 * time.Millisecond
	coordinatePrefix = "skylarkstep/coordinators/"
)

// coordinatorTimes are short, since a group whose coordinator has gone keeps
// its map until the next one comes. Ranks check fencing numbers, so no wait is
// needed.
var coordinatorTimes = lease.Times{TTL: 2500 * time.Millisecond, RenewInterval: 800 * time.Millisecond, Margin: 400 * time.Millisecond}

// CoordinatorOptions describe a process that may coordinate groups.
type CoordinatorOptions struct {
	Instance string
	// HolderID is unique to this process: the instance, a slash and a number.
	HolderID string
	KV       infra.KV
	Items    ItemLister
	Records  Records
	Engine   Engine
	// HolderDown reports whether the process with a holder's name has ended: its instance
	// has not been heard for a while, or runs another process.
	HolderDown func(holder string) bool
	// OnSlowRanks is told the slow ranks of a group that this process coordinates, by the
	// addresses at which they take requests; nil is allowed.
	OnSlowRanks func(group string, byAddr map[string]float64)
	// HandOver passes a term on to another instance; nil is allowed.
	HandOver func(Term)
	Log      *slog.Logger
}

// Term is one coordinator's time with a group.
type Term struct {
	Group   string
	Fencing uint64
	// Maps is the number of maps planned so far. Their versions must not be used
	// for others.
	Maps uint64
}

// Coordinators compete for the leases of all groups, and coordinate those that
// they hold.
type Coordinators struct {
	o CoordinatorOptions

	mu      sync.Mutex
	adopted map[string]Term
}

// NewCoordinators returns coordinators that do not run yet.
func NewCoordinators(o CoordinatorOptions) *Coordinators {
	return &Coordinators{o: o, adopted: map[string]Term{}}
}

// TakeOver goes on with the term of a coordinator that has stopped while the
// service gives no new leases.
func (c *Coordinators) TakeOver(t Term) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.adopted[t.Group] = t
	c.o.Log.Info("term adopted", "group", t.Group, "fencing", t.Fencing, "maps", t.Maps)
}

// term returns the adopted term of a group.
func (c *Coordinators) term(group string) (Term, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t, ok := c.adopted[group]
	return t, ok
}

func (c *Coordinators) drop(group string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.adopted, group)
}

// Run coordinates until ctx ends.
func (c *Coordinators) Run(ctx context.Context) {
	var wait sync.WaitGroup
	defer wait.Wait()
	known := map[string]bool{}
	for ctx.Err() == nil {
		for _, group := range groups(ctx, c.o) {
			if !known[group] {
				known[group] = true
				wait.Go(func() { c.coordinateGroup(ctx, group) })
			}
		}
		ctxtime.Sleep(ctx, groupsPause)
	}
}

// groups returns the names of the groups whose agents have records.
func groups(ctx context.Context, o CoordinatorOptions) []string {
	items, err := o.Items(ctx, agentsPrefix)
	if err != nil {
		return nil // the copy is not there yet
	}
	var names []string
	for _, it := range items {
		var r agentRecord
		if json.Unmarshal(it.Value, &r) == nil && r.Rank == 0 {
			names = append(names, r.Group)
		}
	}
	return names
}

func (c *Coordinators) coordinateGroup(ctx context.Context, group string) {
	o, key := c.o, coordinatePrefix+group
	holder := lease.New(lease.Options{
		KV: o.KV, Key: key, HolderID: o.HolderID, Times: coordinatorTimes, KeepDuringOutage: true,
		IsCandidate: func() bool { return vacant(ctx, o, key) },
		HolderDown:  o.dead,
		OnAcquired:  func(n uint64) { o.Log.Info("lease taken", "group", group, "fencing", n) },
		OnLost: func(n uint64, reason string) {
			o.Log.Info("lease lost", "group", group, "fencing", n, "reason", reason)
		},
	})
	reserve := newStandby(o, group, key)
	held, release := context.WithCancel(context.WithoutCancel(ctx))
	var wait sync.WaitGroup
	defer wait.Wait()
	defer release()
	wait.Go(func() { holder.Run(held) })
	wait.Go(func() { reserve.holder.Run(held) })
	l := &links{
		engine: o.Engine, records: o.Records, items: o.Items, log: o.Log, group: group,
		hello: &wirepb.Hello{Instance: o.Instance, Role: "coordinator"},
	}
	var k *coordinator
	for ctx.Err() == nil {
		token := c.token(ctx, group, holder, reserve)
		if token == nil {
			if k != nil && o.OnSlowRanks != nil {
				o.OnSlowRanks(group, nil)
			}
			k = nil
			ctxtime.Sleep(ctx, roundPause)
			continue
		}
		if k == nil {
			l.load(ctx, time.Now())
			shape := readShape(ctx, o, l.backend)
			if shape == nil {
				ctxtime.Sleep(ctx, groupsPause)
				continue
			}
			k = newCoordinator(o.Log, l, shape)
			if o.OnSlowRanks != nil {
				k.slow = func(byAddr map[string]float64) { o.OnSlowRanks(group, byAddr) }
			}
		}
		k.token = token
		ctxtime.Sleep(ctx, k.round(ctx))
		if k.deposed != 0 && k.deposed == k.fencing {
			c.drop(group)
			holder.Resign(k.fencing)
			reserve.holder.Resign(k.fencing)
		}
	}
	_, adopted := c.term(group)
	if k != nil && (adopted || holder.RenewalsFailing() || reserve.holder.RenewalsFailing()) && o.HandOver != nil {
		o.HandOver(Term{Group: group, Fencing: k.fencing, Maps: k.counter})
	}
}

// token returns what allows this process to coordinate a group: its own lease, an
// adopted term, or the number that it holds in reserve.
func (c *Coordinators) token(ctx context.Context, group string, holder *lease.Holder, reserve *standby) lease.Token {
	takesOver := reserve.takesOver(ctx)
	if _, valid := holder.Token(); valid {
		c.drop(group)
		return holder
	}
	if t, ok := c.term(group); ok {
		return adoptedToken(t)
	}
	if takesOver {
		return reserve.holder
	}
	return nil
}

// adoptedToken is the token of an adopted term.
type adoptedToken Term

// Token implements lease.Token.
func (t adoptedToken) Token() (uint64, bool) { return t.Fencing, true }

// vacant reports whether nobody seems to hold the lease. The copy of the service
// is looked at, so that waiting costs no calls.
func vacant(ctx context.Context, o CoordinatorOptions, key string) bool {
	items, err := o.Items(ctx, key)
	return err == nil && (len(items) == 0 || o.dead(string(items[0].Value)))
}

// dead reports whether a holder has ended: an earlier process of this instance,
// or one of an instance that is not heard. Holders are named INSTANCE/NUMBER.
func (o CoordinatorOptions) dead(holder string) bool {
	instance, _, _ := strings.Cut(holder, "/")
	if instance == o.Instance {
		return holder != o.HolderID
	}
	return o.HolderDown != nil && o.HolderDown(holder)
}

// readShape returns the shape of the back end's groups in the configuration.
func readShape(ctx context.Context, o CoordinatorOptions, backend string) *routing.ExpertShape {
	items, err := o.Items(ctx, o.Records.ConfigKey())
	if err != nil || len(items) == 0 {
		return nil
	}
	cfg, err := o.Records.Config(items[0].Value)
	if err != nil {
		o.Log.Warn("configuration not readable", "error", err.Error())
		return nil
	}
	for _, b := range cfg.Backends {
		if b.Name == backend {
			return b.Experts
		}
	}
	return nil
}
