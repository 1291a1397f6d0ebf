// Package role runs the role that the settings of a process name. Both the
// daemon and in-process deployments use it.
package role

import (
	"context"
	"io"
	"net"
	"time"

	"golang.org/x/net/netutil"

	"github.com/skylarkstep/skylarkstep/config"
	"github.com/skylarkstep/skylarkstep/daemon/entry"
	"github.com/skylarkstep/skylarkstep/daemon/httpapi"
	"github.com/skylarkstep/skylarkstep/daemon/node"
	"github.com/skylarkstep/skylarkstep/daemon/signals"
	"github.com/skylarkstep/skylarkstep/daemon/target"
	"github.com/skylarkstep/skylarkstep/engine"
	"github.com/skylarkstep/skylarkstep/infra"
)

// Options are the settings and dependencies of a process. KV and Instances are
// used by entries only, and Model, Service and Group by target processes only.
type Options struct {
	Settings *config.Settings
	// Signals are those of the process; nil if the role runs inside of another
	// program.
	Signals      *signals.Signals
	LogOutput    io.Writer
	PeerListener net.Listener
	HTTPListener net.Listener
	KV           infra.KV
	Instances    infra.InstanceList
	Model        engine.Model
	Service      engine.Service
	Group        engine.Group
}

// Run runs the role until ctx ends and the planned stop that follows is done.
func Run(ctx context.Context, o Options) error {
	n := node.New(o.Settings, o.LogOutput)
	n.Log.Info("started", "http_addr", o.HTTPListener.Addr().String(), "peer_addr", o.PeerListener.Addr().String())
	defer n.Log.Info("stopped")
	if o.Signals != nil {
		signalCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
		defer cancel()
		go o.Signals.LogIgnored(signalCtx, n.Log)
	}
	if o.Settings.Role == config.RoleEntry {
		e := entry.New(entry.Options{Settings: o.Settings, Node: n, KV: o.KV, Instances: o.Instances, PeerListener: limitConnections(o.PeerListener)})
		return e.Run(ctx, limitConnections(o.HTTPListener))
	}
	t := target.New(target.Options{Settings: o.Settings, Node: n, Model: o.Model, Service: o.Service, Group: o.Group})
	srv := httpapi.NewServer(t.Handler(), n.Log)
	go func() { _ = srv.Serve(limitConnections(o.HTTPListener)) }()
	defer func() {
		stopCtx, cancel := context.WithTimeout(context.Background(), serverCloseTimeout)
		defer cancel()
		_ = srv.Shutdown(stopCtx)
		_ = srv.Close()
	}()
	return t.Run(ctx, limitConnections(o.PeerListener))
}

// serverCloseTimeout limits the wait for the requests in progress to the status and
// metrics of a target when its process exits.
const serverCloseTimeout = 200 * time.Millisecond

// maxConnections limits the open connections of each listener. Further ones wait
// in the listen backlog of the kernel.
const maxConnections = 8192

func limitConnections(ln net.Listener) net.Listener { return netutil.LimitListener(ln, maxConnections) }
