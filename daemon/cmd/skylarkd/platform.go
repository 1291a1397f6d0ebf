package main

import (
	"log/slog"
	"os"

	"github.com/spf13/cobra"

	"github.com/skylarkstep/skylarkstep/daemon/signals"
	"github.com/skylarkstep/skylarkstep/platform"
	"github.com/skylarkstep/skylarkstep/telemetry"
)

// platformCommand returns a command that reads settings in the format of the
// users' platform, from the file named by platform.SettingsVariable, and runs
// until SIGTERM or an interrupt.
func platformCommand(use, short string, run func(p *platformProcess) error) *cobra.Command {
	return &cobra.Command{
		Use:   use,
		Short: short,
		Long:  short + ". The variable " + platform.SettingsVariable + " holds the path of the settings.",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			registered := signals.Register()
			path := os.Getenv(platform.SettingsVariable)
			s, err := platform.LoadSettings(path)
			if err != nil {
				return err
			}
			log, closeLog := newLog(s, use)
			defer closeLog()
			return run(&platformProcess{signals: registered, settingsPath: path, settings: s, log: log})
		},
	}
}

// platformProcess is a process with a role of the users' platform.
type platformProcess struct {
	signals      *signals.Signals
	settingsPath string
	settings     *platform.Settings // as read at the start
	log          *slog.Logger
}

// newLog returns a logger that writes JSON lines to standard output without ever
// blocking its callers, and a function that closes it.
func newLog(s *platform.Settings, role string) (*slog.Logger, func()) {
	w := telemetry.NewLogWriter(os.Stdout)
	log := slog.New(slog.NewJSONHandler(w, nil)).With("instance", s.Instance, "role", role)
	return log, w.Close
}
