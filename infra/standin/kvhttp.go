package standin

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/skylarkstep/skylarkstep/infra/internal/gateway"
)

// maxRequest is etcd's default limit of a request, in base64, with room for
// the other fields. A larger one gets the same answer as a value over 1 MB.
const maxRequest = 4 << 20

// ServeHTTP implements http.Handler.
func (k *KV) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequest))
	if err != nil {
		answer(w, nil, &gateway.Status{Code: gateway.CodeInvalidArgument, Message: gateway.TextTooLarge})
		return
	}
	switch r.URL.Path {
	case gateway.PathRange:
		serve(k, w, r, "range", body, func(q gateway.RangeRequest) (any, *gateway.Status) { return k.rangeOp(q), nil })
	case gateway.PathTxn:
		serve(k, w, r, "txn", body, func(q gateway.TxnRequest) (any, *gateway.Status) { return ret(k.txn(q)) })
	case gateway.PathGrant:
		serve(k, w, r, "grant", body, func(q gateway.LeaseRequest) (any, *gateway.Status) { return ret(k.grant(q)) })
	case gateway.PathKeepAlive:
		serve(k, w, r, "keepalive", body, func(q gateway.LeaseRequest) (any, *gateway.Status) { return k.keepAlive(q), nil })
	case gateway.PathRevoke:
		serve(k, w, r, "revoke", body, func(q gateway.LeaseRequest) (any, *gateway.Status) { return ret(k.revoke(q)) })
	case gateway.PathWatch:
		k.serveWatch(w, r, body)
	default:
		http.NotFound(w, r)
	}
}

func ret[T any](v T, s *gateway.Status) (any, *gateway.Status) { return v, s }

// serve runs one call with the fault switches applied around it.
func serve[Q any](k *KV, w http.ResponseWriter, r *http.Request, kind string, body []byte, run func(Q) (any, *gateway.Status)) {
	k.count(kind)
	if !k.enterHTTP(w, r) {
		return
	}
	var q Q
	if err := json.Unmarshal(body, &q); err != nil {
		answer(w, nil, &gateway.Status{Code: gateway.CodeInvalidArgument, Message: err.Error()})
		return
	}
	v, s := run(q)
	if kind != "range" && k.dropReply() {
		panic(http.ErrAbortHandler)
	}
	answer(w, v, s)
}

func answer(w http.ResponseWriter, v any, s *gateway.Status) {
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
	k.count("watch")
	if !k.enterHTTP(w, r) {
		return
	}
	var q gateway.WatchRequest
	if err := json.Unmarshal(body, &q); err != nil {
		answer(w, nil, &gateway.Status{Code: gateway.CodeInvalidArgument, Message: err.Error()})
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
