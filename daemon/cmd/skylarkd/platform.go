package main

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"reflect"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/skylarkstep/skylarkstep/platform"
	"github.com/skylarkstep/skylarkstep/telemetry"
)

// settingsPoll is how often the settings file is compared with the one in use;
// it may change without a signal.
const settingsPoll = 2 * time.Second

// platformCommand returns a command whose settings come from the users' platform.
func platformCommand(use, short string, run func(ctx context.Context, path string, s *platform.Settings) error) *cobra.Command {
	return &cobra.Command{
		Use:   use,
		Short: short,
		Long:  short + ". The variable " + platform.SettingsVariable + " holds the path of the settings.",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			path := os.Getenv(platform.SettingsVariable)
			s, err := platform.LoadSettings(path)
			if err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
			defer stop()
			return run(ctx, path, s)
		},
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
