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
	// answer.
	operationOverhead = 512
	// maxIssueLead bounds how far an issue time may lie in the future. An id from
	// further ahead would raise the eviction horizon above ids that are fresh.
	maxIssueLead = time.Minute
)

// ErrRequestMismatch says that an id is in use for another request.
var ErrRequestMismatch = errors.New("the operation id belongs to another request")

// State is what a table knows of an operation.
type State uint8

// The states of an operation. Closed, Finished and Unknown are final.
const (
	Absent   State = iota // not seen; may run if the id is closed by nobody
	Closed                // has not run and never will
	Running               // handed to the back end, no answer yet
	Finished              // ran; the answer is kept
	Unknown               // may have run; no answer is kept
)

// String returns the name used in answers.
func (s State) String() string {
	return [...]string{"absent", "closed", "running", "finished", "unknown"}[s]
}

// Request tells requests apart. A repeat with another one is refused, so that
// no caller gets the answer of another request.
type Request struct {
	Customer string
	Digest   [sha256.Size]byte
}

// Response is the complete answer of an operation.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

func (a *Response) size() int {
	n := len(a.Body)
	for name, values := range a.Header {
		for _, v := range values {
			n += len(name) + len(v)
		}
	}
	return n
}

// Outcome is the state of an operation, with the answer if it is Finished.
type Outcome struct {
	State    State
	Response *Response
}

// Limits bound a table.
type Limits struct {
	Retention time.Duration
	MaxBytes  int
}

type operation struct {
	id        ID
	request   Request
	state     State
	answer    *Response
	settledAt time.Time
	bytes     int
}

// Table is the operation table of one target incarnation. It is not safe for
// concurrent use. An operation that was evicted never becomes runnable again:
// eviction raises the horizon to its issue time, and an id that is not in the
// table and was issued at or before the horizon is Unknown.
type Table struct {
	backend         string
	target          string
	incarnation     uint64
	limits          Limits
	settledByID     map[ID]*list.Element
	running         map[ID]*operation
	settled         *list.List // of *operation, oldest first
	evictionHorizon time.Time
	bytes           int
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

// Lookup returns what is known of an operation to a caller that may repeat it.
func (t *Table) Lookup(id ID, r Request, now time.Time) (Outcome, error) {
	t.evict(now)
	o := t.find(id)
	switch {
	case o != nil && o.state != Closed && o.request != r:
		return Outcome{State: o.state}, ErrRequestMismatch
	case o != nil:
		return Outcome{o.state, o.answer}, nil
	case t.maybeEvicted(id, now):
		return Outcome{State: Unknown}, nil
	default:
		return Outcome{State: Absent}, nil
	}
}

// Begin marks an absent operation as running and reports true; the caller must
// run it and call Finish, Fail or Abort. Otherwise it returns what is known.
func (t *Table) Begin(id ID, r Request, now time.Time) (bool, Outcome, error) {
	if known, err := t.Lookup(id, r, now); err != nil || known.State != Absent {
		return false, known, err
	}
	t.running[id] = &operation{id: id, request: r, state: Running, bytes: operationOverhead}
	t.bytes += operationOverhead
	return true, Outcome{State: Running}, nil
}

// Finish keeps the answer of a running operation.
func (t *Table) Finish(id ID, a *Response, now time.Time) { t.settle(id, Finished, a, now) }

// Fail says that the answer of a running operation was lost.
func (t *Table) Fail(id ID, now time.Time) { t.settle(id, Unknown, nil, now) }

// Abort closes a running operation that was not handed to the back end.
func (t *Table) Abort(id ID, now time.Time) { t.settle(id, Closed, nil, now) }

// Close closes an absent operation, so that it can never run, and returns the
// state after that.
func (t *Table) Close(id ID, now time.Time) Outcome {
	t.evict(now)
	if o := t.find(id); o != nil {
		return Outcome{o.state, o.answer}
	}
	if t.maybeEvicted(id, now) {
		return Outcome{State: Unknown}
	}
	t.addSettled(&operation{id: id, state: Closed, settledAt: now, bytes: operationOverhead})
	t.evict(now)
	return Outcome{State: Closed}
}

// Outcome returns what is known of an operation. Answers are shown only to the
// customer that they belong to.
func (t *Table) Outcome(id ID, customer string, now time.Time) Outcome {
	t.evict(now)
	o := t.find(id)
	switch {
	case o != nil && o.state != Closed && o.request.Customer != customer:
		return Outcome{State: Unknown}
	case o != nil:
		return Outcome{o.state, o.answer}
	case t.maybeEvicted(id, now):
		return Outcome{State: Unknown}
	default:
		return Outcome{State: Absent}
	}
}

// StoredOperation is one settled operation that moves to a successor.
type StoredOperation struct {
	ID      ID
	Request Request
	Outcome Outcome
}

// Export returns the operations whose outcome a successor can answer.
func (t *Table) Export(now time.Time) []StoredOperation {
	t.evict(now)
	var all []StoredOperation
	for e := t.settled.Front(); e != nil; e = e.Next() {
		if o := e.Value.(*operation); o.state == Finished || o.state == Closed {
			all = append(all, StoredOperation{o.id, o.request, Outcome{o.state, o.answer}})
		}
	}
	return all
}

// Import keeps an operation of another incarnation. It reports whether it was
// kept. Ids of this incarnation are refused, since only Begin may decide them.
func (t *Table) Import(s StoredOperation, now time.Time) bool {
	settled := s.Outcome.State == Finished && s.Outcome.Response != nil || s.Outcome.State == Closed
	if t.Owns(s.ID) || !settled || t.find(s.ID) != nil {
		return false
	}
	o := &operation{id: s.ID, request: s.Request, state: s.Outcome.State, answer: s.Outcome.Response, settledAt: now, bytes: operationOverhead}
	if o.answer != nil {
		o.bytes += o.answer.size()
	}
	t.addSettled(o)
	t.evict(now)
	return true
}

// Bytes returns the estimated memory in use.
func (t *Table) Bytes() int { return t.bytes }

// Len returns the number of operations.
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

// maybeEvicted reports whether an id that is not in the table may have been in it.
func (t *Table) maybeEvicted(id ID, now time.Time) bool {
	return !t.Owns(id) || !id.Issued.After(t.evictionHorizon) || id.Issued.After(now.Add(maxIssueLead))
}

func (t *Table) settle(id ID, s State, a *Response, now time.Time) {
	o := t.running[id]
	if o == nil {
		return
	}
	delete(t.running, id)
	t.bytes -= o.bytes
	o.state, o.answer, o.settledAt = s, a, now
	if a != nil {
		o.bytes += a.size()
	}
	t.addSettled(o)
	t.evict(now)
}

func (t *Table) addSettled(o *operation) {
	t.bytes += o.bytes
	t.settledByID[o.id] = t.settled.PushBack(o)
}

// evict drops settled operations, oldest first, that are too old or exceed the
// size. Running operations stay; admission bounds their number.
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
