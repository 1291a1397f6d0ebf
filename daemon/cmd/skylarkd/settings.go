package main

import (
	"context"
	"reflect"
	"time"

	"github.com/skylarkstep/skylarkstep/daemon/signals"
	"github.com/skylarkstep/skylarkstep/platform"
)

// settingsPollInterval is the time between two checks of the settings file, which
// may change without a signal.
const settingsPollInterval = 2 * time.Second

// reloadEndTimeout limits the wait for a reload in progress at the exit. Reading the
// file may block, for example on a file system that does not respond.
const reloadEndTimeout = 200 * time.Millisecond

// startReloads begins to apply changed settings and returns a function that ends
// it. The function must be called after the planned stop.
func (p *platformProcess) startReloads(apply func(*platform.Settings)) (end func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.watchSettings(ctx, apply)
	}()
	return func() {
		cancel()
		select {
		case <-done:
		case <-time.After(reloadEndTimeout):
			p.log.Warn("reload not ended", "after_ms", reloadEndTimeout.Milliseconds())
		}
	}
}

// watchSettings applies changed settings on SIGHUP and when the file changes,
// until ctx ends. Invalid settings are logged and not applied.
func (p *platformProcess) watchSettings(ctx context.Context, apply func(*platform.Settings)) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	current := p.settings
	for {
		reason := "file changed"
		select {
		case <-p.signals.Reloads:
			reason = "SIGHUP"
		case <-ticker.C:
		case sig := <-p.signals.RepeatedStops:
			signals.LogRepeatedStop(p.log, sig)
			continue
		case <-ctx.Done():
			return
		}
		next, err := platform.LoadSettings(p.settingsPath)
		switch {
		case err != nil:
			p.log.Error("settings not taken", "reason", reason, "error", err.Error())
		case !reflect.DeepEqual(current, next):
			current = next
			apply(next)
			p.log.Info("settings reloaded", "reason", reason)
		case reason == "SIGHUP":
			p.log.Info("settings unchanged", "reason", reason)
		}
	}
}
