package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"
	goahttp "goa.design/goa/v3/http"
	"goa.design/goa/v3/security"

	"github.com/skylarkstep/skylarkstep/api/gen/callers"
	gengroups "github.com/skylarkstep/skylarkstep/api/gen/groups"
	callersrv "github.com/skylarkstep/skylarkstep/api/gen/http/callers/server"
	groupsrv "github.com/skylarkstep/skylarkstep/api/gen/http/groups/server"
	operatorsrv "github.com/skylarkstep/skylarkstep/api/gen/http/operators/server"
	timelinesrv "github.com/skylarkstep/skylarkstep/api/gen/http/timeline/server"
	"github.com/skylarkstep/skylarkstep/api/gen/operators"
	gentimeline "github.com/skylarkstep/skylarkstep/api/gen/timeline"
	"github.com/skylarkstep/skylarkstep/config"
	"github.com/skylarkstep/skylarkstep/configsync"
	"github.com/skylarkstep/skylarkstep/daemon/httpapi"
	"github.com/skylarkstep/skylarkstep/errkind"
)

// Handler returns the HTTP handler for callers and operators.
func (e *Entry) Handler() http.Handler {
	mux := goahttp.NewMuxer()
	onError := func(_ context.Context, _ http.ResponseWriter, err error) {
		e.node.Log.Debug("response not written", "error", err)
	}
	cs := callersrv.New(callers.NewEndpoints(&callerService{e}), mux, jsonDecoder, goahttp.ResponseEncoder, onError, httpapi.FormatError)
	cs.Mount(mux)
	ops := operatorsrv.New(operators.NewEndpoints(&operatorService{e}), mux, jsonDecoder, goahttp.ResponseEncoder, onError, httpapi.FormatError)
	ops.Mount(mux)
	gs := groupsrv.New(gengroups.NewEndpoints(&groupService{&operatorService{e}}), mux, jsonDecoder, goahttp.ResponseEncoder, onError, httpapi.FormatError)
	gs.Mount(mux)
	tl := timelinesrv.New(gentimeline.NewEndpoints(&timelineService{&operatorService{e}}), mux, jsonDecoder, goahttp.ResponseEncoder, onError, httpapi.FormatError)
	tl.Mount(mux)
	httpapi.MountStatusEndpoints(mux, e.node, func() error {
		_, err := e.readySnapshot()
		return err
	})
	return httpapi.WithRequestState(e.countRequests(mux))
}

// countRequests counts the requests in progress, for which a planned stop
// waits.
func (e *Entry) countRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.inflight.Begin() {
			defer e.inflight.End()
		}
		if e.stopping.Load() {
			// Makes callers close their keep-alive connections, so that none of them is
			// idle and about to be reused when the listener closes.
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// currentSnapshot returns the snapshot even if the entry may not accept new
// work. It fails with NotReady while there is none.
func (e *Entry) currentSnapshot() (*snapshot, error) {
	s := e.snapshot.Load()
	if s == nil {
		return nil, errkind.New(errkind.NotReady, "entry %s has no configuration yet", e.node.Name)
	}
	return s, nil
}

// readySnapshot returns the snapshot if the entry may accept new work, and
// fails with NotReady or Isolated otherwise. It compares the verdict's expiry
// with the current time, since after a pause of the process requests may run
// before the control goroutine does.
func (e *Entry) readySnapshot() (*snapshot, error) {
	s, err := e.currentSnapshot()
	if err != nil {
		return nil, err
	}
	if time.Now().After(s.verdict.ValidUntil) && s.config.Rules.Isolated != config.IsolatedServe {
		return nil, errkind.New(errkind.Isolated, "entry %s may have missed a change of the configuration; use another address", e.node.Name).
			WithRetryAfter(configsync.MaxStaleness)
	}
	return s, nil
}

type customerKey struct{}

// authenticate adds the customer whose bearer key is given to the context.
func (e *Entry) authenticate(ctx context.Context, key string) (context.Context, error) {
	s, err := e.readySnapshot()
	if err != nil {
		return ctx, err
	}
	sum := sha256.Sum256([]byte(key))
	cu, ok := s.customers[hex.EncodeToString(sum[:])]
	if !ok {
		return ctx, errkind.New(errkind.Unauthenticated, "the bearer key belongs to no customer")
	}
	httpapi.RequestStateFrom(ctx).Customer = cu.Name
	return context.WithValue(ctx, customerKey{}, cu), nil
}

func customerFrom(ctx context.Context) *config.Customer {
	cu, _ := ctx.Value(customerKey{}).(*config.Customer)
	return cu
}

// JWTAuth implements callers.Auther.
func (s *callerService) JWTAuth(ctx context.Context, token string, _ *security.JWTScheme) (context.Context, error) {
	return s.entry.authenticate(ctx, token)
}

// jsonDecoder decodes JSON and rejects the other formats that goa supports,
// which are not part of the API.
func jsonDecoder(r *http.Request) goahttp.Decoder {
	d := goahttp.RequestDecoder(r)
	if _, ok := d.(*json.Decoder); ok {
		return d
	}
	return goahttp.EncodingFunc(func(any) error {
		return errors.WithStack(unsupportedMedia(r.Header.Get("Content-Type")))
	})
}
