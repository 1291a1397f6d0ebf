package atmostonce

import (
	"container/list"
	"crypto/sha256"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Default limits of a table.
const (
	DefaultRetention = 10 * time.Minute
	DefaultMaxBytes  = 64 << 20
)

const (
	// operationOverhead is the estimated memory of one operation without its
	// response.
	operationOverhead = 512
	// maxIssueLead limits how far an issue time may be in the future. If an id from
	// further ahead were accepted, its eviction would raise the eviction horizon
	// above the issue times of new ids.
	maxIssueLead = time.Minute
)

// ErrRequestMismatch is returned for an id that is in use for another request.
var ErrRequestMismatch = errors.New("the operation id belongs to another request")

// State is the state of an operation in a table.
type State uint8

// States of an operation. Closed, Finished and Unknown are final.
const (
	Absent   State = iota // not in the table; may run unless the id is closed first
	Closed                // has not run and never will
	Running               // sent to the back end, no response yet
	Finished              // ran; the response is stored
	Unknown               // may have run; no response is stored
)

// String returns the name used in API responses.
func (s State) String() string {
	return [...]string{"absent", "closed", "running", "finished", "unknown"}[s]
}

// Request identifies the request of an operation. A retry with another request
// is rejected, so that no caller gets the response of another request.
type Request struct {
	Customer string
	Digest   [sha256.Size]byte
}

// Response is the complete response of an operation.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

func (r *Response) size() int {
	n := len(r.Body)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v)
		}
	}
	return n
}

// Outcome is the state of an operation, with the response if it is Finished.
type Outcome struct {
	State    State
	Response *Response
}

// Limits are the limits of a table: how long settled operations are kept, and
// the estimated memory.
type Limits struct {
	Retention time.Duration
	MaxBytes  int
}

// operation is an operation in a table. It is settled when its state is final.
type operation struct {
	id        ID
	request   Request
	state     State
	response  *Response
	settledAt time.Time
	bytes     int // estimated memory
}

// Table is the operation table of one target incarnation. It is not safe for
// concurrent use. An evicted operation never becomes runnable again: its
// eviction raises the eviction horizon to its issue time, and an id that is not
// in the table and was issued at or before the horizon is Unknown.
type Table struct {
	backend         string
	target          string
	incarnation     uint64
	limits          Limits
	settledByID     map[ID]*list.Element
	running         map[ID]*operation
	settled         *list.List // of *operation, oldest first
	evictionHorizon time.Time
	bytes           int // estimated memory in use
}

// NewTable returns the empty table of a target incarnation.
func NewTable(backend, target string, incarnation uint64, l Limits) *Table {
	return &Table{
		backend: backend, target: target, incarnation: incarnation, limits: l,
		settledByID: map[ID]*list.Element{}, running: map[ID]*operation{}, settled: list.New(),
	}
}

// Owns reports whether the id names this incarnation.
func (t *Table) Owns(id ID) bool {
	return id.Backend == t.backend && id.Target == t.target && id.Incarnation == t.incarnation
}

// Lookup returns the outcome of an operation for a request that may be a retry.
// It fails with ErrRequestMismatch if the id is in use for another request.
func (t *Table) Lookup(id ID, r Request, now time.Time) (Outcome, error) {
	t.evict(now)
	o := t.find(id)
	switch {
	case o != nil && o.state != Closed && o.request != r:
		return Outcome{State: o.state}, ErrRequestMismatch
	case o != nil:
		return Outcome{o.state, o.response}, nil
	case t.maybeEvicted(id, now):
		return Outcome{State: Unknown}, nil
	default:
		return Outcome{State: Absent}, nil
	}
}

// Begin marks an absent operation as running and returns true. The caller must
// then run it and call Finish, Fail or Abort. Otherwise it returns the result
// of Lookup.
func (t *Table) Begin(id ID, r Request, now time.Time) (bool, Outcome, error) {
	if known, err := t.Lookup(id, r, now); err != nil || known.State != Absent {
		return false, known, err
	}
	t.running[id] = &operation{id: id, request: r, state: Running, bytes: operationOverhead}
	t.bytes += operationOverhead
	return true, Outcome{State: Running}, nil
}

// Finish stores the response of a running operation.
func (t *Table) Finish(id ID, r *Response, now time.Time) { t.settle(id, Finished, r, now) }

// Fail records that the response of a running operation was lost.
func (t *Table) Fail(id ID, now time.Time) { t.settle(id, Unknown, nil, now) }

// Abort closes a running operation that was not sent to the back end.
func (t *Table) Abort(id ID, now time.Time) { t.settle(id, Closed, nil, now) }

// Close closes an absent operation, so that it can never run, and returns the
// resulting outcome.
func (t *Table) Close(id ID, now time.Time) Outcome {
	t.evict(now)
	if o := t.find(id); o != nil {
		return Outcome{o.state, o.response}
	}
	if t.maybeEvicted(id, now) {
		return Outcome{State: Unknown}
	}
	t.addSettled(&operation{id: id, state: Closed, settledAt: now, bytes: operationOverhead})
	t.evict(now)
	return Outcome{State: Closed}
}

// Outcome returns the outcome of an operation. Another customer's operation is
// Unknown, unless it is closed.
func (t *Table) Outcome(id ID, customer string, now time.Time) Outcome {
	t.evict(now)
	o := t.find(id)
	switch {
	case o != nil && o.state != Closed && o.request.Customer != customer:
		return Outcome{State: Unknown}
	case o != nil:
		return Outcome{o.state, o.response}
	case t.maybeEvicted(id, now):
		return Outcome{State: Unknown}
	default:
		return Outcome{State: Absent}
	}
}

// StoredOperation is a settled operation that is transferred to a successor.
type StoredOperation struct {
	ID      ID
	Request Request
	Outcome Outcome
}

// Export returns the operations whose outcome a successor can return: those
// that are finished or closed.
func (t *Table) Export(now time.Time) []StoredOperation {
	t.evict(now)
	var all []StoredOperation
	for e := t.settled.Front(); e != nil; e = e.Next() {
		if o := e.Value.(*operation); o.state == Finished || o.state == Closed {
			all = append(all, StoredOperation{o.id, o.request, Outcome{o.state, o.response}})
		}
	}
	return all
}

// Import stores an operation of another incarnation and reports whether it did.
// Ids of this incarnation are rejected, since only Begin may decide whether
// they run.
func (t *Table) Import(s StoredOperation, now time.Time) bool {
	settled := s.Outcome.State == Finished && s.Outcome.Response != nil || s.Outcome.State == Closed
	if t.Owns(s.ID) || !settled || t.find(s.ID) != nil {
		return false
	}
	o := &operation{id: s.ID, request: s.Request, state: s.Outcome.State, response: s.Outcome.Response, settledAt: now, bytes: operationOverhead}
	if o.response != nil {
		o.bytes += o.response.size()
	}
	t.addSettled(o)
	t.evict(now)
	return true
}

// Bytes returns the estimated memory in use.
func (t *Table) Bytes() int { return t.bytes }

// Len returns the number of operations in the table.
func (t *Table) Len() int { return len(t.settledByID) + len(t.running) }

func (t *Table) find(id ID) *operation {
	if o := t.running[id]; o != nil {
		return o
	}
	if e := t.settledByID[id]; e != nil {
		return e.Value.(*operation)
	}
	return nil
}

// maybeEvicted reports whether an id that is not in the table may have been in
// it. That is so for ids of other incarnations, ids issued at or before the
// eviction horizon, and ids from too far in the future.
func (t *Table) maybeEvicted(id ID, now time.Time) bool {
	return !t.Owns(id) || !id.Issued.After(t.evictionHorizon) || id.Issued.After(now.Add(maxIssueLead))
}

func (t *Table) settle(id ID, s State, r *Response, now time.Time) {
	o := t.running[id]
	if o == nil {
		return
	}
	delete(t.running, id)
	t.bytes -= o.bytes
	o.state, o.response, o.settledAt = s, r, now
	if r != nil {
		o.bytes += r.size()
	}
	t.addSettled(o)
	t.evict(now)
}

func (t *Table) addSettled(o *operation) {
	t.bytes += o.bytes
	t.settledByID[o.id] = t.settled.PushBack(o)
}

// evict removes settled operations, oldest first, while they are too old or the
// table exceeds its memory limit. Running operations stay; their number is
// limited by admission.
func (t *Table) evict(now time.Time) {
	for e := t.settled.Front(); e != nil; e = t.settled.Front() {
		o := e.Value.(*operation)
		if t.bytes <= t.limits.MaxBytes && now.Sub(o.settledAt) < t.limits.Retention {
			return
		}
		t.settled.Remove(e)
		delete(t.settledByID, o.id)
		t.bytes -= o.bytes
		if t.Owns(o.id) && o.id.Issued.After(t.evictionHorizon) {
			t.evictionHorizon = o.id.Issued
		}
	}
}
