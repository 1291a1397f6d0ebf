package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/spf13/cobra"

	"github.com/skylarkstep/skylarkstep/gateway"
	"github.com/skylarkstep/skylarkstep/platform"
	"github.com/skylarkstep/skylarkstep/ranks"
	"github.com/skylarkstep/skylarkstep/routing"
	"github.com/skylarkstep/skylarkstep/telemetry"
)

const (
	// addressListMaxAge is how long callers may cache a list of addresses. A short
	// time moves callers away from an instance that stops.
	addressListMaxAge = 2 * time.Second
	// refuseMargin is subtracted from the time in which the platform requires a
	// change of the configuration to apply. After the rest of that time an instance
	// that reaches neither the store nor a peer refuses requests, since its
	// configuration may be stale.
	refuseMargin = time.Second
)

func gatewayCommand() *cobra.Command {
	return platformCommand("gateway", "Serve callers on the users' platform", runGateway)
}

func runGateway(p *platformProcess) error {
	ctx, s, log := p.signals.StopContext(), p.settings, p.log
	callerListener, err := net.Listen("tcp", s.CallerAddr)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	peerListener, err := net.Listen("tcp", s.PeerAddr)
	if err != nil {
		return errors.Wrap(err, "listen for instances")
	}
	registry := metrics.NewRegistry()
	store := platform.NewStore(s.StoreURL, platform.WithLongestPoll(s.LongestWatchPoll()))
	var coordinators *ranks.Coordinators
	process := fmt.Sprintf("%s/%d", s.Instance, rand.Uint64())
	g := gateway.New(gateway.Options{
		TakeOver: func(t gateway.Term) bool { return coordinators.TakeOver(ranks.Term(t)) },
		Instance: s.Instance, Process: process, DataCentre: s.DataCentre, Region: s.Region, Regions: s.Regions,
		CallerAddr: s.CallerAddr, PeerAddr: s.PeerAddr, AddressTTL: addressListMaxAge,
		Limits: gatewayLimits(s), KV: store, DecodeRank: ranks.DecodeRank, DecodeCoordinator: ranks.DecodeCoordinator,
		ItemDecoder: platform.Records{}, Headers: platform.Headers{}, Log: log, Registry: registry,
	})
	closeServers, err := serveAll(log, map[string]http.Handler{
		s.ReadyAddr:   platform.ReadyHandler(g.Ready),
		s.LookupAddr:  platform.DirectoryHandler(g.Addresses),
		s.MetricsAddr: operatorHandler(g, registry),
	})
	if err != nil {
		return err
	}
	defer closeServers()
	defer p.startReloads(func(n *platform.Settings) { g.SetLimits(gatewayLimits(n)) })()
	// Coordinators use the gateway until it has stopped, also after SIGTERM.
	workCtx, endWork := context.WithCancel(context.WithoutCancel(ctx))
	defer endWork()
	coordinators = ranks.NewCoordinators(ranks.CoordinatorOptions{
		Instance: s.Instance, HolderID: process, KV: store, Items: g.Items,
		Records: platform.Records{}, Engine: platform.NewRanks(), Log: log,
		Instances:   g.Instances,
		HolderDown:  func(holder string) bool { return g.ProcessExited(workCtx, holder) },
		OnSlowRanks: func(group string, byAddr map[string]float64) { g.SetSlowTargets(workCtx, group, byAddr) },
		OnLoad:      g.SetGroupLoad, OnLoadEnd: g.EndGroupLoad,
		HandOver: func(t ranks.Term) { g.HandOver(workCtx, gateway.Term(t)) },
	})
	coordinatorsCtx, stopCoordinators := context.WithCancel(ctx)
	defer stopCoordinators()
	coordinatorsDone := make(chan struct{})
	go func() {
		defer close(coordinatorsDone)
		coordinators.Run(coordinatorsCtx)
	}()
	log.Info("started", "callers", s.CallerAddr, "store", s.StoreURL)
	err = g.Run(ctx, gateway.Listeners{Callers: callerListener, Peers: peerListener})
	// Without SIGTERM, the gateway has failed, and the coordinators must end too.
	endWork()
	stopCoordinators()
	<-coordinatorsDone
	log.Info("ended", "error", err)
	return err
}

// operatorHandler serves the metrics and the list of quarantined parts.
func operatorHandler(g *gateway.Gateway, registry metrics.Registry) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", telemetry.ServePrometheus(registry))
	mux.Handle(gateway.QuarantinePath, g.QuarantineHandler())
	return mux
}

func gatewayLimits(s *platform.Settings) gateway.Limits {
	return gateway.Limits{
		WatchTakeoverAge:     s.WatchTakeoverAge(),
		MaxIsolatedStaleness: s.ConfigApplyTimeout + s.DisturbedApplyExtension - refuseMargin,
		StopTimeout:          s.StopTimeout,
		RetainedPromptTokens: s.RetainedPromptTokens,
		Retries:              routing.RetryLimits{Ratio: s.RetryBudgetRatio, Slack: s.RetryBudgetSlack, Window: s.RetryBudgetWindow},
	}
}
