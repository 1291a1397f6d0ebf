package standin

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/skylarkstep/skylarkstep/infra/internal/gateway"
)

// maxRequest is etcd's default request limit in base64, with space for the other
// fields. A larger request gets the same response as a value over 1 MB.
const maxRequest = 4 << 20

// ServeHTTP implements http.Handler.
func (k *KV) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequest))
	if err != nil {
		writeResponse(w, nil, &gateway.Status{Code: gateway.CodeInvalidArgument, Message: gateway.TextTooLarge})
		return
	}
	switch r.URL.Path {
	case gateway.PathRange:
		serveCall(k, w, r, "range", body, func(q gateway.RangeRequest) (any, *gateway.Status) { return k.readRange(q), nil })
	case gateway.PathTxn:
		serveCall(k, w, r, "txn", body, func(q gateway.TxnRequest) (any, *gateway.Status) { return widen(k.txn(q)) })
	case gateway.PathGrant:
		serveCall(k, w, r, "grant", body, func(q gateway.LeaseRequest) (any, *gateway.Status) { return widen(k.grant(q)) })
	case gateway.PathKeepAlive:
		serveCall(k, w, r, "keepalive", body, func(q gateway.LeaseRequest) (any, *gateway.Status) { return k.keepAlive(q), nil })
	case gateway.PathRevoke:
		serveCall(k, w, r, "revoke", body, func(q gateway.LeaseRequest) (any, *gateway.Status) { return widen(k.revoke(q)) })
	case gateway.PathWatch:
		k.serveWatch(w, r, body)
	default:
		http.NotFound(w, r)
	}
}

// widen converts the results of a call to the result types that serveCall expects.
func widen[T any](v T, s *gateway.Status) (any, *gateway.Status) { return v, s }

// serveCall counts and decodes a call and runs it with the injected faults.
func serveCall[Q any](k *KV, w http.ResponseWriter, r *http.Request, kind string, body []byte, run func(Q) (any, *gateway.Status)) {
	k.countCall(kind)
	if !k.applyFaultsHTTP(w, r) {
		return
	}
	var q Q
	if err := json.Unmarshal(body, &q); err != nil {
		writeResponse(w, nil, &gateway.Status{Code: gateway.CodeInvalidArgument, Message: err.Error()})
		return
	}
	v, s := run(q)
	if kind != "range" && k.takeDroppedReply() {
		panic(http.ErrAbortHandler)
	}
	writeResponse(w, v, s)
}

func writeResponse(w http.ResponseWriter, v any, s *gateway.Status) {
	w.Header().Set("Content-Type", "application/json")
	if s != nil {
		status := http.StatusBadRequest
		if s.Code == gateway.CodeNotFound {
			status = http.StatusNotFound
		}
		w.WriteHeader(status)
		v = s
	}
	_ = json.NewEncoder(w).Encode(v)
}

func (k *KV) serveWatch(w http.ResponseWriter, r *http.Request, body []byte) {
	k.countCall("watch")
	if !k.applyFaultsHTTP(w, r) {
		return
	}
	var q gateway.WatchRequest
	if err := json.Unmarshal(body, &q); err != nil {
		writeResponse(w, nil, &gateway.Status{Code: gateway.CodeInvalidArgument, Message: err.Error()})
		return
	}
	w.Header().Set("Content-Type", "application/json")
	enc, flush := json.NewEncoder(w), http.NewResponseController(w)
	k.watch(r.Context(), q.Create, func(m gateway.WatchResult) error {
		if err := enc.Encode(gateway.WatchResponse{Result: &m}); err != nil {
			return err
		}
		return flush.Flush()
	})
}
