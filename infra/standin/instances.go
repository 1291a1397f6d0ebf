package standin

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"

	"github.com/skylarkstep/skylarkstep/infra"
)

// InstanceList is a stand-in of the instance list.
type InstanceList struct {
	Faults

	mu   sync.Mutex
	rows []infra.Instance
}

// NewInstanceList returns an empty list.
func NewInstanceList() *InstanceList { return &InstanceList{} }

// Set replaces the list. A test simulates the lag of the list by calling it late.
func (l *InstanceList) Set(rows ...infra.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rows = slices.Clone(rows)
}

// ServeHTTP implements http.Handler.
func (l *InstanceList) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !l.applyFaultsHTTP(w, r) {
		return
	}
	if l.takeDroppedReply() {
		panic(http.ErrAbortHandler)
	}
	l.mu.Lock()
	rows := append([]infra.Instance{}, l.rows...)
	l.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(rows)
}
