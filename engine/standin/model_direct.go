package standin

import (
	"context"

	"github.com/pkg/errors"

	"github.com/skylarkstep/skylarkstep/engine"
	"github.com/skylarkstep/skylarkstep/errkind"
)

// Direct returns a client of the engine that does not use HTTP.
func (m *Model) Direct() engine.Model { return directModel{m} }

type directModel struct{ m *Model }

// checkReachable returns an error while the engine has the fault Unreachable.
func (d directModel) checkReachable() error {
	d.m.mu.Lock()
	defer d.m.mu.Unlock()
	if d.m.faults.Unreachable {
		return errkind.New(errkind.BackendUnreachable, "engine is unreachable")
	}
	return nil
}

// Generate implements engine.Model.
func (d directModel) Generate(ctx context.Context, g engine.Generation, emit func(engine.Token) error) (engine.Finish, error) {
	if err := d.checkReachable(); err != nil {
		return engine.Finish{}, err
	}
	finish, err := d.m.generate(ctx, g, emit)
	var e emitError
	if errors.As(err, &e) {
		return engine.Finish{}, e.error
	}
	return finish, err
}

// Load implements engine.Model.
func (d directModel) Load(ctx context.Context) (engine.Load, error) {
	if err := d.checkReachable(); err != nil {
		return engine.Load{}, err
	}
	return d.m.load(ctx)
}

// CacheEvents implements engine.Model.
func (d directModel) CacheEvents(ctx context.Context, after uint64) ([]engine.CacheEvent, error) {
	if err := d.checkReachable(); err != nil {
		return nil, err
	}
	return d.m.cacheEvents(ctx, after)
}

// ExportCache implements engine.Model.
func (d directModel) ExportCache(ctx context.Context, requestID string) ([]byte, error) {
	if err := d.checkReachable(); err != nil {
		return nil, err
	}
	return d.m.exportCache(ctx, requestID)
}

// ImportCache implements engine.Model.
func (d directModel) ImportCache(ctx context.Context, requestID string, cache []byte) error {
	if err := d.checkReachable(); err != nil {
		return err
	}
	return d.m.importCache(ctx, requestID, cache)
}

// Order implements engine.Model.
func (d directModel) Order(ctx context.Context, o engine.Order) error {
	if err := d.checkReachable(); err != nil {
		return err
	}
	return d.m.order(ctx, o)
}
