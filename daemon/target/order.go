package target

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/skylarkstep/skylarkstep/engine"
	"github.com/skylarkstep/skylarkstep/errkind"
	"github.com/skylarkstep/skylarkstep/timeline"
	"github.com/skylarkstep/skylarkstep/wire"
	"github.com/skylarkstep/skylarkstep/wire/wirepb"
)

// orderTimeout limits the wait for the engine's reply to one order. Loading a
// model takes longer, so engines reply when they have begun to load it.
const orderTimeout = 10 * time.Second

// orders keeps the highest fencing number seen per scope, for engines that do
// not check it themselves.
type orders struct {
	mu     sync.Mutex
	scopes map[string]*orderScope
}

// orderScope serialises the orders of one scope. Otherwise an order that passed
// the check could reach the engine after one with a higher number.
type orderScope struct {
	mu          sync.Mutex
	highestSeen uint64
}

func (o *orders) scope(name string) *orderScope {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.scopes == nil {
		o.scopes = map[string]*orderScope{}
	}
	if o.scopes[name] == nil {
		o.scopes[name] = &orderScope{}
	}
	return o.scopes[name]
}

// serveOrder passes an order of the coordinator to the engine and replies with
// the result.
func (t *Target) serveOrder(st *wire.Stream, o *wirepb.Order) {
	t.node.Clock.Observe(timeline.Timestamp(o.GetHlc()))
	err := t.applyOrder(o)
	result := &wirepb.OrderResult{Accepted: err == nil, HighestFencing: t.orders.scope(o.GetScope()).highestFencing()}
	kind := timeline.OrderAccepted
	if err != nil {
		kind, result.Reason = timeline.OrderRefused, err.Error()
	}
	ev := timeline.Event{
		Kind: kind, Target: t.node.Name, Group: o.GetScope(), Detail: fmt.Sprintf("%s, fencing number %d", o.GetKind(), o.GetFencing()),
	}
	if err != nil {
		ev.Error = errkind.KindOf(err).String()
	}
	t.node.Events.Record(ev)
	_ = st.Send(result)
}

func (s *orderScope) highestFencing() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.highestSeen
}

func (t *Target) applyOrder(o *wirepb.Order) error {
	if t.model == nil {
		return errkind.New(errkind.InvalidRequest, "a plain service takes no orders")
	}
	if o.GetFencing() == 0 {
		return errkind.New(errkind.InvalidRequest, "order without a fencing number")
	}
	var arguments engine.Order
	if len(o.GetArguments()) > 0 {
		if err := json.Unmarshal(o.GetArguments(), &arguments); err != nil {
			return errkind.Wrap(err, errkind.InvalidRequest, "decode the arguments of the order")
		}
	}
	arguments.Fencing, arguments.Kind = o.GetFencing(), engine.OrderKind(o.GetKind())
	s := t.orders.scope(o.GetScope())
	s.mu.Lock()
	defer s.mu.Unlock()
	if o.GetFencing() < s.highestSeen {
		return errkind.New(errkind.Fenced, "fencing number %d is lower than %d, the highest seen", o.GetFencing(), s.highestSeen)
	}
	s.highestSeen = o.GetFencing()
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	return t.model.Order(ctx, arguments)
}
