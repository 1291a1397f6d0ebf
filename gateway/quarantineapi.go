package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"time"
)

// QuarantinePath is the path at which QuarantineHandler is served.
const QuarantinePath = "/quarantine"

// maxPartBytes limits the id of a part that an operator adds.
const maxPartBytes = 64

// QuarantineList is the list of parts of prompts that are kept from targets, as
// operators see it.
type QuarantineList struct {
	Instance string              `json:"instance"`
	Parts    []QuarantinedPart   `json:"parts"`
	Suspects []QuarantineSuspect `json:"suspects"`
}

// QuarantinedPart is the latest decision on a part.
type QuarantinedPart struct {
	Part string `json:"part"`
	// State is quarantined, trial (half-open) or cleared.
	State     string `json:"state"`
	DecidedBy string `json:"decided_by"`
	AgeMs     int64  `json:"age_ms"`
	// EndsInMs is the time until the end of the quarantine; negative while it is half-open.
	EndsInMs int64 `json:"ends_in_ms"`
	// Crashes holds the targets that crashed, and Reporters the instances that
	// reported them.
	Crashes   []string `json:"crashes"`
	Reporters []string `json:"reporters"`
}

// QuarantineSuspect is a part with which no request has completed since targets
// crashed under it.
type QuarantineSuspect struct {
	Part    string `json:"part"`
	Crashes int    `json:"crashes"`
}

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

// QuarantineList returns the list of parts of prompts that are kept from targets.
// It is empty if the instance has ended.
func (g *Gateway) QuarantineList(ctx context.Context) QuarantineList {
	list, _ := query(ctx, g.control, func() QuarantineList { return g.control.quarantineList(time.Now()) })
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

func (c *control) quarantineList(now time.Time) QuarantineList {
	list := QuarantineList{Instance: c.g.id, Parts: []QuarantinedPart{}, Suspects: []QuarantineSuspect{}}
	for _, e := range c.ledger.Entries() {
		list.Parts = append(list.Parts, QuarantinedPart{
			Part: e.Subject, State: e.Phase(now).String(), DecidedBy: e.DecidedBy, AgeMs: now.Sub(e.At).Milliseconds(),
			EndsInMs: e.Ends().Sub(now).Milliseconds(), Crashes: targetsOf(e.Crashes), Reporters: e.Reporters,
		})
	}
	for part, crashes := range c.ledger.CrashCounts(now, c.g.parts.frequency) {
		list.Suspects = append(list.Suspects, QuarantineSuspect{part, crashes})
	}
	slices.SortFunc(list.Suspects, func(a, b QuarantineSuspect) int {
		if a.Crashes != b.Crashes {
			return b.Crashes - a.Crashes
		}
		return slices.Compare([]byte(a.Part), []byte(b.Part))
	})
	return list
}
