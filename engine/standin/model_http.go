package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/skylarkstep/skylarkstep/engine"
	"github.com/skylarkstep/skylarkstep/errkind"
)

const maxCacheBytes = 32 << 20

func (m *Model) routes() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", m.serveCompletion)
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, r *http.Request) {
		load, err := m.load(r.Context())
		reply(w, load, err)
	})
	mux.HandleFunc("GET /cache/events", func(w http.ResponseWriter, r *http.Request) {
		after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
		if err != nil {
			writeError(w, errkind.Wrap(err, errkind.InvalidRequest, "parsing query parameter after"))
			return
		}
		events, err := m.cacheEvents(r.Context(), after)
		reply(w, map[string]any{"events": events}, err)
	})
	mux.HandleFunc("GET /cache/{id}", func(w http.ResponseWriter, r *http.Request) {
		cache, err := m.exportCache(r.Context(), r.PathValue("id"))
		reply(w, json.RawMessage(cache), err)
	})
	mux.HandleFunc("PUT /cache/{id}", func(w http.ResponseWriter, r *http.Request) {
		cache, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxCacheBytes))
		if err == nil {
			err = m.importCache(r.Context(), r.PathValue("id"), cache)
		}
		reply(w, nil, err)
	})
	mux.HandleFunc("POST /orders", func(w http.ResponseWriter, r *http.Request) {
		var o engine.Order
		err := decode(w, r, &o)
		if err == nil {
			err = m.order(r.Context(), o)
		}
		reply(w, nil, err)
	})
	return mux
}

// ServeHTTP implements http.Handler.
func (m *Model) ServeHTTP(w http.ResponseWriter, r *http.Request) { m.mux.ServeHTTP(w, r) }

type completionRequest struct {
	Model      string `json:"model"`
	Prompt     string `json:"prompt"`
	MaxTokens  int    `json:"max_tokens"`
	Stream     bool   `json:"stream"`
	Priority   int    `json:"priority"`
	DeadlineMS int64  `json:"deadline_ms"`
	RequestID  string `json:"request_id"`
	Resume     struct {
		Offset int    `json:"offset"`
		Text   string `json:"text"`
	} `json:"resume"`
}

// generation converts the request. Its max_tokens counts from the resume offset,
// while MaxTokens counts from the start of the response.
func (c completionRequest) generation() engine.Generation {
	g := engine.Generation{
		RequestID: c.RequestID, Model: c.Model, Prompt: c.Prompt, Priority: c.Priority,
		Deadline:     time.Duration(c.DeadlineMS) * time.Millisecond,
		ResumeOffset: c.Resume.Offset, ResumeText: c.Resume.Text,
	}
	if c.MaxTokens > 0 {
		g.MaxTokens = c.Resume.Offset + c.MaxTokens
	}
	return g
}

// serveCompletion streams a response as server-sent events.
func (m *Model) serveCompletion(w http.ResponseWriter, r *http.Request) {
	var c completionRequest
	if err := decode(w, r, &c); err != nil {
		writeError(w, err)
		return
	}
	if !c.Stream || c.Resume.Offset < 0 {
		writeError(w, errkind.New(errkind.InvalidRequest, "only streams from a non-negative offset are supported"))
		return
	}
	g := c.generation()
	out := http.NewResponseController(w)
	started := false
	finish, err := m.generate(r.Context(), g, func(t engine.Token) error {
		if !started {
			w.Header().Set("Content-Type", "text/event-stream")
			started = true
		}
		text, err := json.Marshal(t.Text)
		if err != nil {
			return err
		}
		const format = `data: {"choices":[{"text":%s,"index":0,"finish_reason":null}],"skylark":{"offset":%d}}` + "\n\n"
		if _, err := fmt.Fprintf(w, format, text, t.Offset); err != nil {
			return err
		}
		return out.Flush()
	})
	switch {
	case err == nil:
		const format = `data: {"choices":[{"text":"","index":0,"finish_reason":%q}],"usage":{"completion_tokens":%d}}` +
			"\n\ndata: [DONE]\n\n"
		_, _ = fmt.Fprintf(w, format, finish.Reason, finish.Tokens-g.ResumeOffset)
	case !started:
		writeError(w, err)
	case !m.breaksCleanly():
		panic(http.ErrAbortHandler)
	}
}

func (m *Model) breaksCleanly() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.faults.BreakCleanly
}

func decode(w http.ResponseWriter, r *http.Request, v any) error {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(v); err != nil {
		return errkind.Wrap(err, errkind.InvalidRequest, "decoding the request")
	}
	return nil
}

// reply writes the error, if any, or else v as JSON, or status 204 if v is nil.
func reply(w http.ResponseWriter, v any, err error) {
	switch {
	case err != nil:
		writeError(w, err)
	case v == nil:
		w.WriteHeader(http.StatusNoContent)
	default:
		writeJSON(w, v)
	}
}

// writeError writes an error in the format of the completions API.
func writeError(w http.ResponseWriter, err error) {
	e := errkind.From(err)
	code := e.Kind.String()
	if e.Kind == errkind.Cold {
		code = "overwhelmed"
	}
	if e.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int((e.RetryAfter+time.Second-1)/time.Second)))
		w.Header().Set("Retry-After-Ms", strconv.FormatInt(e.RetryAfter.Milliseconds(), 10))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(e.Kind.Response().Status)
	_ = json.NewEncoder(w).Encode(map[string]any{"error": map[string]string{"message": e.Message, "code": code}})
}
