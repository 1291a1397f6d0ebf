package target

import (
	"sync"
	"time"

	"github.com/skylarkstep/skylarkstep/atmostonce"
	"github.com/skylarkstep/skylarkstep/errkind"
	"github.com/skylarkstep/skylarkstep/wire/wirepb"
)

// execution is one running operation. err is set before done is closed.
type execution struct {
	done chan struct{}
	err  *errkind.Error
}

// operations guards the operation table and lets repeats wait for the first
// answer.
type operations struct {
	now func() time.Time

	mu      sync.Mutex
	table   *atmostonce.Table
	running map[atmostonce.ID]*execution
}

func newOperations(table *atmostonce.Table, now func() time.Time) *operations {
	return &operations{now: now, table: table, running: map[atmostonce.ID]*execution{}}
}

// look returns what is known, with the execution if the operation is running.
func (o *operations) look(id atmostonce.ID, r atmostonce.Request) (atmostonce.Outcome, *execution, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	known, err := o.table.Lookup(id, r, o.now())
	return known, o.running[id], err
}

// begin starts an absent operation and reports true, or returns false when the
// operation is no longer absent.
func (o *operations) begin(id atmostonce.ID, r atmostonce.Request) (*execution, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	started, _, err := o.table.Begin(id, r, o.now())
	if err != nil || !started {
		return nil, false
	}
	x := &execution{done: make(chan struct{})}
	o.running[id] = x
	return x, true
}

// end settles a running operation. An error that says not_run closes it, since
// the back end has seen nothing of it; any other error leaves it unknown.
func (o *operations) end(id atmostonce.ID, x *execution, a *atmostonce.Response, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	x.err = errkind.From(err)
	switch {
	case err == nil:
		o.table.Finish(id, a, o.now())
	case x.err.DidRun == errkind.NotRun:
		o.table.Abort(id, o.now())
	default:
		o.table.Fail(id, o.now())
	}
	delete(o.running, id)
	close(x.done)
}

// close closes an absent operation and returns the state after that.
func (o *operations) close(id atmostonce.ID) atmostonce.State {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.table.Close(id, o.now()).State
}

// outcome returns what the asker may know of an operation. An entry that asks
// on behalf of a call names its digest, since the id may be in use for another
// request of the customer.
func (o *operations) outcome(id atmostonce.ID, q *wirepb.Outcome) atmostonce.Outcome {
	o.mu.Lock()
	defer o.mu.Unlock()
	known := o.table.Outcome(id, q.GetCustomer(), o.now())
	if known.State == atmostonce.Finished && len(q.GetDigest()) > 0 {
		r := atmostonce.Request{Customer: q.GetCustomer()}
		copy(r.Digest[:], q.GetDigest())
		if _, err := o.table.Lookup(id, r, o.now()); err != nil {
			return atmostonce.Outcome{State: atmostonce.Unknown}
		}
	}
	if known.State == atmostonce.Absent && q.GetCloseIfAbsent() {
		known = o.table.Close(id, o.now())
	}
	return known
}

func (o *operations) export() []atmostonce.StoredOperation {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.table.Export(o.now())
}

func (o *operations) take(s atmostonce.StoredOperation) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.table.Import(s, o.now())
}
