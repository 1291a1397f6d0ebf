package ranks

import (
	"context"

	"github.com/pkg/errors"

	"github.com/skylarkstep/skylarkstep/infra"
)

// Term is the period in which one coordinator coordinates a group.
type Term struct {
	Group   string
	Fencing uint64
	// Maps is the number of maps planned so far. Their versions must not be
	// used for other maps.
	Maps uint64
}

// TakeOver continues the term of a coordinator that has stopped while the
// key-value store grants no leases. It returns false if this process is stopping
// too, so that the term must go to another one. A term with a lower number than
// one that was taken over before is ignored, since the ranks may refuse it.
func (c *Coordinators) TakeOver(t Term) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopping != nil && c.stopping.Err() != nil {
		return false
	}
	last, ok := c.takenOver[t.Group]
	switch {
	case ok && last.Fencing > t.Fencing:
		return true
	case ok && last.Fencing == t.Fencing:
		t.Maps = max(t.Maps, last.Maps)
	}
	c.takenOver[t.Group] = t
	c.o.Log.Info("term adopted", "group", t.Group, "fencing", t.Fencing, "maps", t.Maps)
	return true
}

// takenOverTerm returns the term of a group that was taken over, if any.
func (c *Coordinators) takenOverTerm(group string) (Term, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t, ok := c.takenOver[group]
	return t, ok
}

func (c *Coordinators) dropTerm(group string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.takenOver, group)
}

// takenOverToken is the token of a term that was taken over.
type takenOverToken Term

// Token implements lease.Token.
func (t takenOverToken) Token() (uint64, bool) { return t.Fencing, true }

// endTerm hands over the term of a group when this process stops, unless the
// lease can be released so that another process acquires it with a higher
// number. A term that was taken over is handed over even if no round has been run
// in it. TakeOver refuses terms from the begin of the stop on, so none is missed.
func (c *Coordinators) endTerm(ctx context.Context, group string, coord *coordinator, renewalsFailing bool) {
	t, ok := c.takenOverTerm(group)
	if !ok && coord == nil || coord != nil && coord.isSuperseded() {
		return
	}
	c.dropTerm(group)
	if coord != nil && !ok {
		t = Term{Group: group, Fencing: coord.fencing}
	}
	planned, current := c.mapCounter(group).planned(t.Fencing)
	if !current {
		return // the ranks refuse the number, and its count is not known any more
	}
	t.Maps = max(t.Maps, planned)
	if ok || renewalsFailing || !c.storeAnswers(ctx, group) {
		c.handOver(t)
	}
}

// storeAnswers reports whether the lease of a group can be released. A store that
// has just become unavailable has not failed a renewal yet.
func (c *Coordinators) storeAnswers(ctx context.Context, group string) bool {
	ctx, cancel := context.WithTimeout(ctx, storeCheckTimeout)
	defer cancel()
	_, _, err := c.o.KV.Get(ctx, coordinatorKeyPrefix+group)
	return err == nil || errors.Is(err, infra.ErrNotFound)
}

func (c *Coordinators) handOver(t Term) {
	if c.o.HandOver != nil && t.Fencing != 0 {
		c.o.HandOver(t)
	}
}

// handOverRemaining hands over terms of groups that this process did not know
// before its stop.
func (c *Coordinators) handOverRemaining() {
	c.mu.Lock()
	remaining := c.takenOver
	c.takenOver = map[string]Term{}
	c.mu.Unlock()
	for _, t := range remaining {
		c.handOver(t)
	}
}
