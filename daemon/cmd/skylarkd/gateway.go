package main

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"reflect"
	"syscall"
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
	// settingsPoll is how often the settings file is compared with the one in
	// use; it may change without a signal.
	settingsPoll = 2 * time.Second
)

func gatewayCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "gateway",
		Short: "Serve callers on the users' platform",
		Long:  "Serve callers on the users' platform. The variable " + platform.SettingsVariable + " holds the path of the settings.",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			path := os.Getenv(platform.SettingsVariable)
			s, err := platform.LoadSettings(path)
			if err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
			defer stop()
			return runGateway(ctx, path, s)
		},
	}
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
	g := gateway.New(gateway.Options{
		TakeOver: func(t gateway.Term) { coordinators.Adopt(ranks.Term(t)) },
		Instance: s.Instance, DataCentre: s.DataCentre, Region: s.Region, Regions: s.Regions,
		CallerAddr: s.CallerAddr, PeerAddr: s.PeerAddr, StopWithin: s.StopWithin, AddressAge: addressAge,
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
		Instance: s.Instance, Holder: fmt.Sprintf("%s/%d", s.Instance, rand.Uint64()), KV: store, Items: g.Items,
		Records: platform.Records{}, Engine: platform.NewRanks(), Log: log,
		Silent:   func(instance string) bool { return g.Silent(context.WithoutCancel(ctx), instance) },
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
		RefuseAfter: s.ApplyWithin + s.DisturbedApplyWithin - refuseMargin,
		Retries:     routing.RetryLimits{Ratio: s.RetryRatio, Slack: s.RetrySlack, Window: s.RetryWindow},
	}
}

// newLog returns a logger of JSON lines to standard output that never blocks.
func newLog(s *platform.Settings, role string) (*slog.Logger, func()) {
	w := telemetry.NewLogWriter(os.Stdout)
	log := slog.New(slog.NewJSONHandler(w, nil)).With("instance", s.Instance, "role", role)
	return log, w.Close
}

// serveAll serves small HTTP handlers by address. An empty address is left out.
func serveAll(log *slog.Logger, handlers map[string]http.Handler) (closeAll func(), err error) {
	var servers []*http.Server
	closeAll = func() {
		for _, s := range servers {
			_ = s.Close()
		}
	}
	for addr, h := range handlers {
		if addr == "" {
			continue
		}
		l, err := net.Listen("tcp", addr)
		if err != nil {
			closeAll()
			return nil, errors.Wrapf(err, "listener %s", addr)
		}
		s := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second, ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug)}
		servers = append(servers, s)
		go func() {
			if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
				log.Error("listener failed", "addr", addr, "error", err.Error())
			}
		}()
	}
	return closeAll, nil
}

// watchSettings applies changed settings on SIGHUP and when the file changes.
// Settings with faults change nothing.
func watchSettings(ctx context.Context, path string, s *platform.Settings, log *slog.Logger, apply func(*platform.Settings)) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	ticker := time.NewTicker(settingsPoll)
	defer ticker.Stop()
	for {
		reason := "file changed"
		select {
		case <-hup:
			reason = "SIGHUP"
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		next, err := platform.LoadSettings(path)
		switch {
		case err != nil:
			log.Error("settings not taken", "reason", reason, "error", err.Error())
		case !reflect.DeepEqual(s, next):
			s = next
			apply(next)
			log.Info("settings reloaded", "reason", reason)
		case reason == "SIGHUP":
			log.Info("settings unchanged", "reason", reason)
		}
	}
}
