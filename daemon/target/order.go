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

// orderTimeout bounds one order at the engine. Loading a model takes long, so
// engines answer when they have begun.
const orderTimeout = 10 * time.Second

// orders keeps the highest fencing number per scope, on behalf of engines that
// ignore it.
type orders struct {
	mu     sync.Mutex
	scopes map[string]*orderScope
}

// orderScope serialises the orders of one scope. Without that, an order that
// passed the check could reach the engine after one with a higher number.
type orderScope struct {
	mu      sync.Mutex
	highest uint64
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

// serveOrder gives an order of the coordinator to the engine.
func (t *Target) serveOrder(st *wire.Stream, o *wirepb.Order) {
	t.node.Clock.Observe(timeline.Timestamp(o.GetHlc()))
	err := t.order(o)
	result := &wirepb.OrderResult{Accepted: err == nil, HighestFencing: t.orders.scope(o.GetScope()).number()}
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

func (s *orderScope) number() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.highest
}

func (t *Target) order(o *wirepb.Order) error {
	if t.model == nil {
		return errkind.New(errkind.InvalidRequest, "a plain service takes no orders")
	}
	if o.GetFencing() == 0 {
		return errkind.New(errkind.InvalidRequest, "order without a fencing number")
	}
	var arguments engine.Order
	if len(o.GetArguments()) > 0 {
		if err := json.Unmarshal(o.GetArguments(), &arguments); err != nil {
			return errkind.Wrap(err, errkind.InvalidRequest, "arguments of the order")
		}
	}
	arguments.Fencing, arguments.Kind = o.GetFencing(), engine.OrderKind(o.GetKind())
	s := t.orders.scope(o.GetScope())
	s.mu.Lock()
	defer s.mu.Unlock()
	if o.GetFencing() < s.highest {
		return errkind.New(errkind.Fenced, "fencing number %d is lower than %d", o.GetFencing(), s.highest)
	}
	s.highest = o.GetFencing()
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	return t.model.Order(ctx, arguments)
}
