package entry

import (
	"context"
	"encoding/json"
	"strconv"
	"sync"
	"time"

	gentimeline "github.com/skylarkstep/skylarkstep/api/gen/timeline"
	"github.com/skylarkstep/skylarkstep/errkind"
	"github.com/skylarkstep/skylarkstep/timeline"
	"github.com/skylarkstep/skylarkstep/wire"
	"github.com/skylarkstep/skylarkstep/wire/wirepb"
)

// eventQueryTimeout is the timeout of the query to one target process.
const eventQueryTimeout = 2 * time.Second

// timelineService implements the goa service for the timeline.
type timelineService struct{ *operatorService }

// Query returns the events of this entry and, with scope "targets", of its
// target processes.
func (s *timelineService) Query(ctx context.Context, p *gentimeline.QueryPayload) ([]*gentimeline.Batch, error) {
	var f timeline.Filter
	if p.Filter != nil {
		if err := json.Unmarshal([]byte(*p.Filter), &f); err != nil {
			return nil, errkind.Wrap(err, errkind.InvalidRequest, "filter")
		}
	}
	batches := []timeline.Batch{s.entry.node.Events.Query(&f, p.Since, p.Limit)}
	if p.Scope == "targets" {
		batches = append(batches, s.entry.queryTargets(ctx, &f, p.Since, p.Limit)...)
	}
	result := make([]*gentimeline.Batch, 0, len(batches))
	for i := range batches {
		result = append(result, toAPI(&batches[i]))
	}
	return result, nil
}

func toAPI(b *timeline.Batch) *gentimeline.Batch {
	g := &gentimeline.Batch{
		Process:     b.Process,
		Incarnation: strconv.FormatUint(b.Incarnation, 10),
		Events:      b.Events,
		Overwritten: b.Overwritten,
		Next:        b.Next,
	}
	if b.Unreachable != "" {
		g.Unreachable = &b.Unreachable
	}
	return g
}

// queryTargets queries all target processes concurrently.
func (e *Entry) queryTargets(ctx context.Context, f *timeline.Filter, since uint64, limit int) []timeline.Batch {
	sessions := e.targetSessions(ctx)
	filter, err := json.Marshal(f)
	if err != nil {
		return nil
	}
	q := &wirepb.EventQuery{Filter: filter, Since: since, Limit: uint32(limit)}
	batches := make([]timeline.Batch, len(sessions))
	var wg sync.WaitGroup
	for i, t := range sessions {
		wg.Go(func() { batches[i] = queryTarget(t, q) })
	}
	wg.Wait()
	return batches
}

// targetSession is a target with its session, which is nil if there is none.
type targetSession struct {
	name    string
	session *wire.Session
}

// targetSessions returns the targets that this entry has links to, including
// those that get no new work.
func (e *Entry) targetSessions(ctx context.Context) []targetSession {
	result := make(chan []targetSession, 1)
	e.post(ctx, func(c *control) {
		var list []targetSession
		for name := range c.links {
			t := targetSession{name: name}
			if ct := c.connectedTargets[name]; ct != nil {
				t.session = ct.session
			}
			list = append(list, t)
		}
		result <- list
	})
	select {
	case list := <-result:
		return list
	case <-ctx.Done():
		return nil
	}
}

func queryTarget(t targetSession, q *wirepb.EventQuery) timeline.Batch {
	b, err := queryEvents(t.session, q)
	if err != nil {
		return timeline.Batch{Process: t.name, Unreachable: err.Error(), Events: []timeline.Event{}}
	}
	return *b
}

func queryEvents(s *wire.Session, q *wirepb.EventQuery) (*timeline.Batch, error) {
	if s == nil {
		return nil, errkind.New(errkind.TargetUnreachable, "no session")
	}
	st, err := s.Open(&wirepb.Open{Body: &wirepb.Open_EventQuery{EventQuery: q}})
	if err != nil {
		return nil, err
	}
	defer func() { _ = st.Close() }()
	_ = st.SetReadDeadline(time.Now().Add(eventQueryTimeout))
	var reply wirepb.EventReply
	if err := st.Recv(&reply); err != nil {
		return nil, errkind.Wrap(err, errkind.TargetLost, "no reply")
	}
	var b timeline.Batch
	if err := json.Unmarshal(reply.GetBatch(), &b); err != nil {
		return nil, errkind.Wrap(err, errkind.Internal, "decode events")
	}
	return &b, nil
}
