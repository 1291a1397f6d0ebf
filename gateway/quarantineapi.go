package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/skylarkstep/skylarkstep/gateway/crashguard"
)

// QuarantinePath is the path at which QuarantineHandler is served.
const QuarantinePath = "/quarantine"

// maxPartBytes limits the id of a part that an operator adds.
const maxPartBytes = 64

// QuarantineHandler lets operators see the list (GET), add a part (POST) and clear
// one (DELETE); the query parameter part names it.
func (g *Gateway) QuarantineHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+QuarantinePath, func(w http.ResponseWriter, r *http.Request) {
		list := g.QuarantineList(r.Context())
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(list); err != nil {
			g.log.Debug("quarantine list not written", "error", err.Error())
		}
	})
	mux.HandleFunc("POST "+QuarantinePath, func(w http.ResponseWriter, r *http.Request) { g.serveDecision(w, r, true) })
	mux.HandleFunc("DELETE "+QuarantinePath, func(w http.ResponseWriter, r *http.Request) { g.serveDecision(w, r, false) })
	return mux
}

// QuarantineList returns what is kept from targets. It is empty if the instance has
// ended.
func (g *Gateway) QuarantineList(ctx context.Context) crashguard.List {
	list, _ := query(ctx, g.control, func() crashguard.List { return g.control.crashes.List(time.Now()) })
	return list
}

func (g *Gateway) serveDecision(w http.ResponseWriter, r *http.Request, quarantined bool) {
	part := r.URL.Query().Get("part")
	switch {
	case part == "" || len(part) > maxPartBytes:
		http.Error(w, "the query parameter part must have 1 to 64 bytes", http.StatusBadRequest)
	case !g.SetQuarantined(r.Context(), part, quarantined):
		http.Error(w, "the instance is stopping", http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusNoContent)
	}
}
