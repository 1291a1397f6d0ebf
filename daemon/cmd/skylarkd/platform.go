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

// settingsPollInterval is the time between two checks of the settings file, which
// may change without a signal.
const settingsPollInterval = 2 * time.Second

// platformCommand returns a command that reads settings in the format of the
// users' platform, from the file named by platform.SettingsVariable, and runs
// until SIGTERM or an interrupt.
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

// newLog returns a logger that writes JSON lines to standard output without ever
// blocking its callers, and a function that closes it.
func newLog(s *platform.Settings, role string) (*slog.Logger, func()) {
	w := telemetry.NewLogWriter(os.Stdout)
	log := slog.New(slog.NewJSONHandler(w, nil)).With("instance", s.Instance, "role", role)
	return log, w.Close
}

// serveAll starts an HTTP server per address and returns a function that closes
// all of them. Handlers with an empty address are not served.
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
		listener, err := net.Listen("tcp", addr)
		if err != nil {
			closeAll()
			return nil, errors.Wrapf(err, "listen on %s", addr)
		}
		s := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second, ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug)}
		servers = append(servers, s)
		go func() {
			if err := s.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				log.Error("listener failed", "addr", addr, "error", err.Error())
			}
		}()
	}
	return closeAll, nil
}

// watchSettings applies changed settings on SIGHUP and when the file changes,
// until ctx ends. Invalid settings are logged and not applied.
func watchSettings(ctx context.Context, path string, current *platform.Settings, log *slog.Logger, apply func(*platform.Settings)) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	ticker := time.NewTicker(settingsPollInterval)
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
		case !reflect.DeepEqual(current, next):
			current = next
			apply(next)
			log.Info("settings reloaded", "reason", reason)
		case reason == "SIGHUP":
			log.Info("settings unchanged", "reason", reason)
		}
	}
}
