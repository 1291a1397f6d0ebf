package target

import (
	"sync"
	"time"

	"github.com/skylarkstep/skylarkstep/atmostonce"
	"github.com/skylarkstep/skylarkstep/errkind"
	"github.com/skylarkstep/skylarkstep/wire/wirepb"
)

// execution is a running operation. err is set before done is closed.
type execution struct {
	done chan struct{}
	err  *errkind.Error
}

// operations makes the operation table safe for concurrent use and lets retries
// wait for the first response.
type operations struct {
	now func() time.Time

	mu      sync.Mutex
	table   *atmostonce.Table
	running map[atmostonce.ID]*execution
}

func newOperations(table *atmostonce.Table, now func() time.Time) *operations {
	return &operations{now: now, table: table, running: map[atmostonce.ID]*execution{}}
}

// lookUp returns the outcome of an operation, and its execution while it runs.
func (o *operations) lookUp(id atmostonce.ID, r atmostonce.Request) (atmostonce.Outcome, *execution, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	outcome, err := o.table.Lookup(id, r, o.now())
	return outcome, o.running[id], err
}

// begin marks an absent operation as running. It returns false if the operation
// is no longer absent.
func (o *operations) begin(id atmostonce.ID, r atmostonce.Request) (*execution, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	started, _, err := o.table.Begin(id, r, o.now())
	if err != nil || !started {
		return nil, false
	}
	exec := &execution{done: make(chan struct{})}
	o.running[id] = exec
	return exec, true
}

// finish records the result of a running operation. An error with not_run closes
// it, since the back end has received nothing of it. Any other error makes the
// outcome unknown.
func (o *operations) finish(id atmostonce.ID, exec *execution, response *atmostonce.Response, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	exec.err = errkind.From(err)
	switch {
	case err == nil:
		o.table.Finish(id, response, o.now())
	case exec.err.DidRun == errkind.NotRun:
		o.table.Abort(id, o.now())
	default:
		o.table.Fail(id, o.now())
	}
	delete(o.running, id)
	close(exec.done)
}

// closeIfAbsent closes an absent operation and returns the resulting state.
func (o *operations) closeIfAbsent(id atmostonce.ID) atmostonce.State {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.table.Close(id, o.now()).State
}

// outcomeFor returns the outcome of an operation as far as the querying entry
// may see it. An entry that queries on behalf of a call sends its digest, since
// the customer may have used the id for another request.
func (o *operations) outcomeFor(id atmostonce.ID, q *wirepb.Outcome) atmostonce.Outcome {
	o.mu.Lock()
	defer o.mu.Unlock()
	outcome := o.table.Outcome(id, q.GetCustomer(), o.now())
	if outcome.State == atmostonce.Finished && len(q.GetDigest()) > 0 {
		r := atmostonce.Request{Customer: q.GetCustomer()}
		copy(r.Digest[:], q.GetDigest())
		if _, err := o.table.Lookup(id, r, o.now()); err != nil {
			return atmostonce.Outcome{State: atmostonce.Unknown}
		}
	}
	if outcome.State == atmostonce.Absent && q.GetCloseIfAbsent() {
		outcome = o.table.Close(id, o.now())
	}
	return outcome
}

func (o *operations) exportStored() []atmostonce.StoredOperation {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.table.Export(o.now())
}

func (o *operations) importStored(s atmostonce.StoredOperation) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.table.Import(s, o.now())
}
