package httpapi

import (
	"encoding/json"
	"net/http"

	"github.com/rcrowley/go-metrics"

	"github.com/skylarkstep/skylarkstep/daemon/node"
	"github.com/skylarkstep/skylarkstep/telemetry"
)

// Mux is the part of a multiplexer that MountStatusEndpoints needs.
type Mux interface {
	Handle(method, pattern string, handler http.HandlerFunc)
}

// MountStatusEndpoints adds handlers for liveness, readiness and metrics.
// Liveness means that the process responds, readiness that it accepts new work.
// Metrics are served as JSON and in the Prometheus text format.
func MountStatusEndpoints(mux Mux, n *node.Node, ready func() error) {
	mux.Handle(http.MethodGet, "/healthz", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, health{Process: n.Name, Alive: true})
	})
	mux.Handle(http.MethodGet, "/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if err := ready(); err != nil {
			writeJSON(w, http.StatusServiceUnavailable, readiness{Reason: err.Error()})
			return
		}
		writeJSON(w, http.StatusOK, readiness{Ready: true})
	})
	mux.Handle(http.MethodGet, "/metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		metrics.WriteJSONOnce(n.Metrics, w)
	})
	mux.Handle(http.MethodGet, "/metrics/prometheus", telemetry.ServePrometheus(n.Metrics))
}

type health struct {
	Process string `json:"process"`
	Alive   bool   `json:"alive"`
}

type readiness struct {
	Ready  bool   `json:"ready"`
	Reason string `json:"reason,omitempty"`
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
