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
	// addressAge is how long callers may keep a list of addresses. Short lists
	// move callers away from an instance that stops.
	addressAge = 2 * time.Second
	// refuseMargin is how much sooner than the platform demands an instance that
	// reaches nobody stops to trust its configuration.
	refuseMargin = time.Second
)

func gatewayCommand() *cobra.Command {
	return platformCommand("gateway", "Serve callers on the users' platform", runGateway)
}

func runGateway(ctx context.Context, path string, s *platform.Settings) error {
	log, closeLog := newLog(s, "gateway")
	defer closeLog()
	callers, err := net.Listen("tcp", s.CallerAddr)
	if err != nil {
		return errors.Wrap(err, "listener for callers")
	}
	peers, err := net.Listen("tcp", s.PeerAddr)
	if err != nil {
		return errors.Wrap(err, "listener for instances")
	}
	registry := metrics.NewRegistry()
	store := platform.NewStore(s.StoreURL)
	var coordinators *ranks.Coordinators
	process := fmt.Sprintf("%s/%d", s.Instance, rand.Uint64())
	g := gateway.New(gateway.Options{
		TakeOver: func(t gateway.Term) { coordinators.Adopt(ranks.Term(t)) },
		Instance: s.Instance, Process: process, DataCentre: s.DataCentre, Region: s.Region, Regions: s.Regions,
		CallerAddr: s.CallerAddr, PeerAddr: s.PeerAddr, StopWithin: s.StopTimeout, AddressAge: addressAge,
		Limits: limits(s), KV: store,
		Records: platform.Records{}, Headers: platform.Headers{}, Log: log, Registry: registry,
	})
	closers, err := serveAll(log, map[string]http.Handler{
		s.ReadyAddr:   platform.ReadyHandler(g.Ready),
		s.LookupAddr:  platform.DirectoryHandler(g.Addresses),
		s.MetricsAddr: telemetry.ServePrometheus(registry),
	})
	if err != nil {
		return err
	}
	defer closers()
	go watchSettings(ctx, path, s, log, func(n *platform.Settings) { g.SetLimits(limits(n)) })
	coordinators = ranks.NewCoordinators(ranks.CoordinatorOptions{
		Instance: s.Instance, Holder: process, KV: store, Items: g.Items,
		Records: platform.Records{}, Engine: platform.NewRanks(), Log: log,
		Ended:    func(holder string) bool { return g.Ended(context.WithoutCancel(ctx), holder) },
		Slow:     func(group string, byAddr map[string]float64) { g.SetSlow(ctx, group, byAddr) },
		HandOver: func(t ranks.Term) { g.HandOver(context.WithoutCancel(ctx), gateway.Term(t)) },
	})
	coordinated := make(chan struct{})
	go func() {
		defer close(coordinated)
		coordinators.Run(ctx)
	}()
	log.Info("started", "callers", s.CallerAddr, "store", s.StoreURL)
	err = g.Run(ctx, gateway.Listeners{Callers: callers, Peers: peers})
	<-coordinated
	log.Info("ended", "error", err)
	return err
}

func limits(s *platform.Settings) gateway.Limits {
	return gateway.Limits{
		RefuseAfter: s.ConfigApplyTimeout + s.DisturbedApplyExtension - refuseMargin,
		Retries:     routing.RetryLimits{Ratio: s.RetryBudgetRatio, Slack: s.RetryBudgetSlack, Window: s.RetryBudgetWindow},
	}
}
