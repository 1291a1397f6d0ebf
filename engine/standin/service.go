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

// ServiceOptions sets the behaviour of a Service.
type ServiceOptions struct {
	Latency time.Duration
	// ResponseBody makes the body of an answer. The default echoes the request.
	ResponseBody func(engine.Call) []byte
}

// ServiceFaults are the faults of a Service. The zero value has none. Stalls
// ignore that the caller went away, so a call may execute after its caller
// gave up.
type ServiceFaults struct {
	Latency     time.Duration
	StallBefore time.Duration
	StallAfter  time.Duration
	// Refuse answers 503 without execution.
	Refuse bool
	// Unreachable is seen only through Direct; over HTTP, a test closes the
	// listener.
	Unreachable bool
	// DropResponse executes the call and breaks the connection.
	DropResponse bool
	// Status replaces 200 after execution.
	Status int
}

// Service is a plain service that counts executions.
type Service struct {
	opts ServiceOptions

	mu      sync.Mutex
	faults  ServiceFaults
	running int
	byOp    map[string]int
	byBody  map[string]int
	total   int
}

// NewService returns a service.
func NewService(opts ServiceOptions) *Service {
	if opts.ResponseBody == nil {
		opts.ResponseBody = func(c engine.Call) []byte { return c.Body }
	}
	return &Service{opts: opts, byOp: map[string]int{}, byBody: map[string]int{}}
}

// SetFaults replaces the faults for calls that start later.
func (s *Service) SetFaults(f ServiceFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Executions returns how often calls were executed in all.
func (s *Service) Executions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total
}

// ByOperationID returns the executions of each operation id.
func (s *Service) ByOperationID() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.byOp)
}

// ByBodyID returns the executions of each value of the body field "id".
func (s *Service) ByBodyID() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.byBody)
}

func (s *Service) begin() ServiceFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running++
	return s.faults
}

func (s *Service) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

func (s *Service) execute(c engine.Call) {
	var body struct {
		ID string `json:"id"`
	}
	hasID := json.Unmarshal(c.Body, &body) == nil && body.ID != ""
	s.mu.Lock()
	defer s.mu.Unlock()
	s.total++
	if c.OperationID != "" {
		s.byOp[c.OperationID]++
	}
	if hasID {
		s.byBody[body.ID]++
	}
}

func (s *Service) run(c engine.Call) (engine.Response, error) {
	f := s.begin()
	defer s.end()
	time.Sleep(s.opts.Latency + f.Latency)
	if f.Refuse {
		return engine.Response{Status: http.StatusServiceUnavailable, Header: http.Header{}}, nil
	}
	time.Sleep(f.StallBefore)
	s.execute(c)
	time.Sleep(f.StallAfter)
	if f.DropResponse {
		return engine.Response{}, errkind.New(errkind.BackendFailed, "reply dropped")
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
	reply, err := s.run(engine.Call{
		Method: r.Method, Operation: op, Query: r.URL.RawQuery, Header: r.Header, Body: body,
		OperationID: r.Header.Get(operationIDHeader),
	})
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(reply.Status)
	_, _ = w.Write(reply.Body)
}

// Direct returns the service without HTTP.
func (s *Service) Direct() engine.Service { return directService{s} }

type directService struct{ s *Service }

// Call implements engine.Service. The call goes on when ctx ends.
func (d directService) Call(ctx context.Context, c engine.Call) (engine.Response, error) {
	if ctx.Err() != nil {
		return engine.Response{}, errkind.From(ctx.Err()).WithDidRun(errkind.NotRun)
	}
	if d.unreachable() {
		return engine.Response{}, errkind.New(errkind.BackendUnreachable, "service is unreachable")
	}
	type outcome struct {
		reply engine.Response
		err   error
	}
	done := make(chan outcome, 1)
	go func() {
		r, err := d.s.run(c)
		done <- outcome{r, err}
	}()
	select {
	case o := <-done:
		return o.reply, o.err
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
