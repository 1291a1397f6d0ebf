package signals

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/pkg/errors"
)

// Signals are the signals that a daemon handles.
type Signals struct {
	// Reloads receives SIGHUP. Signals that arrive while one is pending are
	// merged with it.
	Reloads <-chan os.Signal
	// RepeatedStops receives the stop signals after the first one, which change
	// nothing.
	RepeatedStops <-chan os.Signal
	stop          context.Context
}

// Register registers the signals of the process. It must be called before any
// other work.
func Register() *Signals {
	SurviveClosedOutput()
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	stops := make(chan os.Signal, 1)
	signal.Notify(stops, syscall.SIGTERM, os.Interrupt)
	ctx, cancel := context.WithCancelCause(context.Background())
	repeated := make(chan os.Signal, 1)
	go func() {
		cancel(errors.Errorf("signal %v", <-stops))
		for s := range stops {
			select {
			case repeated <- s:
			default: // one is pending already
			}
		}
	}()
	return &Signals{Reloads: reloads, RepeatedStops: repeated, stop: ctx}
}

// SurviveClosedOutput makes writes to a closed standard output or standard error
// fail. By default, the first one ends the process by SIGPIPE.
func SurviveClosedOutput() { signal.Notify(make(chan os.Signal, 1), syscall.SIGPIPE) }

// StopContext returns a context that ends at the first SIGTERM or interrupt. Its
// cause names the signal. The planned stop begins then, so work that must go on
// during the stop needs another context.
func (s *Signals) StopContext() context.Context { return s.stop }

// LogIgnored logs the signals of a process that cannot reload its settings, until
// ctx ends.
func (s *Signals) LogIgnored(ctx context.Context, log *slog.Logger) {
	for {
		select {
		case <-s.Reloads:
			log.Info("signal ignored", "signal", syscall.SIGHUP.String(), "reason", "settings are read at the start only")
		case sig := <-s.RepeatedStops:
			LogRepeatedStop(log, sig)
		case <-ctx.Done():
			return
		}
	}
}

// LogRepeatedStop logs a stop signal after the first one.
func LogRepeatedStop(log *slog.Logger, s os.Signal) {
	log.Info("signal ignored", "signal", s.String(), "reason", "the process is stopping already")
}
