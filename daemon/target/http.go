package target

import (
	"net/http"

	goahttp "goa.design/goa/v3/http"

	"github.com/skylarkstep/skylarkstep/daemon/httpapi"
	"github.com/skylarkstep/skylarkstep/errkind"
)

// Handler returns the handler for liveness, readiness and metrics of the target
// process.
func (t *Target) Handler() http.Handler {
	mux := goahttp.NewMuxer()
	httpapi.MountStatusEndpoints(mux, t.node, t.ready)
	return mux
}

func (t *Target) ready() error {
	if t.work.Closed() {
		return errkind.New(errkind.Leaving, "target %s is stopping", t.node.Name)
	}
	if t.config.Load() == nil {
		return errkind.New(errkind.NotReady, "target %s has no configuration", t.node.Name)
	}
	return nil
}
