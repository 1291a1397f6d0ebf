package standin

import (
	"context"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/skylarkstep/skylarkstep/engine"
	"github.com/skylarkstep/skylarkstep/errkind"
)

const (
	operationIDHeader = "X-Operation-Id"
	maxBodyBytes      = 1 << 20
)

// ServiceOptions configures a Service.
type ServiceOptions struct {
	Latency time.Duration
	// ResponseBody returns the body of the response to a call. The default returns
	// the body of the call.
	ResponseBody func(engine.Call) []byte
}

// ServiceFaults are the injected faults of a Service. The zero value has none.
// Stalls continue if the caller cancels, so a call may execute after its caller has
// timed out.
type ServiceFaults struct {
	Latency time.Duration
	// StallBefore and StallAfter are the times for which a call stalls before and
	// after its execution.
	StallBefore time.Duration
	StallAfter  time.Duration
	// Refuse makes the service respond with 503 without executing the call.
	Refuse bool
	// Unreachable takes effect only through Direct. Over HTTP, a test closes the
	// listener instead.
	Unreachable bool
	// DropResponse makes the service execute the call and close the connection
	// without a response.
	DropResponse bool
	// Status, if not zero, replaces status 200 after execution.
	Status int
}

// Service is a plain service that counts executions.
type Service struct {
	opts ServiceOptions

	mu            sync.Mutex
	faults        ServiceFaults
	running       int
	byOperationID map[string]int
	byBodyID      map[string]int
	executions    int
}

// NewService returns a plain service with the given options.
func NewService(opts ServiceOptions) *Service {
	if opts.ResponseBody == nil {
		opts.ResponseBody = func(c engine.Call) []byte { return c.Body }
	}
	return &Service{opts: opts, byOperationID: map[string]int{}, byBodyID: map[string]int{}}
}

// SetFaults replaces the faults for calls that start later.
func (s *Service) SetFaults(f ServiceFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Executions returns the total number of executed calls.
func (s *Service) Executions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.executions
}

// ByOperationID returns the number of executions by operation ID.
func (s *Service) ByOperationID() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.byOperationID)
}

// ByBodyID returns the number of executions by the value of the body field "id".
func (s *Service) ByBodyID() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.byBodyID)
}

func (s *Service) startCall() ServiceFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running++
	return s.faults
}

func (s *Service) finishCall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// execute counts an execution of the call.
func (s *Service) execute(c engine.Call) {
	var body struct {
		ID string `json:"id"`
	}
	hasID := json.Unmarshal(c.Body, &body) == nil && body.ID != ""
	s.mu.Lock()
	defer s.mu.Unlock()
	s.executions++
	if c.OperationID != "" {
		s.byOperationID[c.OperationID]++
	}
	if hasID {
		s.byBodyID[body.ID]++
	}
}

// run applies the faults, executes the call and returns its response.
func (s *Service) run(c engine.Call) (engine.Response, error) {
	f := s.startCall()
	defer s.finishCall()
	time.Sleep(s.opts.Latency + f.Latency)
	if f.Refuse {
		return engine.Response{Status: http.StatusServiceUnavailable, Header: http.Header{}}, nil
	}
	time.Sleep(f.StallBefore)
	s.execute(c)
	time.Sleep(f.StallAfter)
	if f.DropResponse {
		return engine.Response{}, errkind.New(errkind.BackendFailed, "response dropped")
	}
	r := engine.Response{Status: http.StatusOK, Header: http.Header{}, Body: s.opts.ResponseBody(c)}
	if f.Status != 0 {
		r.Status = f.Status
	}
	return r, nil
}

func (s *Service) load() engine.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return engine.Load{Running: s.running, MadeAt: time.Now()}
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	op := strings.TrimPrefix(r.URL.Path, "/")
	if op == "load" {
		writeJSON(w, s.load())
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	response, err := s.run(engine.Call{
		Method: r.Method, Operation: op, Query: r.URL.RawQuery, Header: r.Header, Body: body,
		OperationID: r.Header.Get(operationIDHeader),
	})
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(response.Status)
	_, _ = w.Write(response.Body)
}

// Direct returns a client of the service that does not use HTTP.
func (s *Service) Direct() engine.Service { return directService{s} }

type directService struct{ s *Service }

// Call implements engine.Service. If ctx ends, Call returns its error, and the
// service continues the call.
func (d directService) Call(ctx context.Context, c engine.Call) (engine.Response, error) {
	if ctx.Err() != nil {
		return engine.Response{}, errkind.From(ctx.Err()).WithDidRun(errkind.NotRun)
	}
	if d.unreachable() {
		return engine.Response{}, errkind.New(errkind.BackendUnreachable, "service is unreachable")
	}
	type outcome struct {
		response engine.Response
		err      error
	}
	done := make(chan outcome, 1)
	go func() {
		r, err := d.s.run(c)
		done <- outcome{r, err}
	}()
	select {
	case o := <-done:
		return o.response, o.err
	case <-ctx.Done():
		return engine.Response{}, errkind.From(ctx.Err())
	}
}

// Load implements engine.Service.
func (d directService) Load(context.Context) (engine.Load, error) {
	if d.unreachable() {
		return engine.Load{}, errkind.New(errkind.BackendUnreachable, "service is unreachable")
	}
	return d.s.load(), nil
}

func (d directService) unreachable() bool {
	d.s.mu.Lock()
	defer d.s.mu.Unlock()
	return d.s.faults.Unreachable
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
