package dev

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/skylarkstep/skylarkstep/ctl/client"
	enginestandin "github.com/skylarkstep/skylarkstep/engine/standin"
	"github.com/skylarkstep/skylarkstep/timeline"
)

// Client returns an operator client for all entries.
func (d *Deployment) Client() *client.Client {
	return client.New(d.EntryURLs(), OperatorToken)
}

// EntryURLs returns the base URLs of all entries.
func (d *Deployment) EntryURLs() []string {
	var urls []string
	for _, e := range d.Config.Inventory.Entries {
		urls = append(urls, "http://"+e.HTTPAddr)
	}
	return urls
}

// SetZone takes a data centre out or brings it back, as an operator does.
func (d *Deployment) SetZone(ctx context.Context, dataCentre string, out bool) error {
	_, err := d.Client().SetZone(ctx, dataCentre, out, false)
	return err
}

// Stall makes the engine of a target stall every stream after the given number of
// tokens.
func (d *Deployment) Stall(target string, tokens int) error {
	return d.setModelFaults(target, enginestandin.ModelFaults{StallAfter: tokens})
}

// Refuse makes the engine or service of a target reject every request.
func (d *Deployment) Refuse(target string) error {
	if v := d.Services[target]; v != nil {
		v.SetFaults(enginestandin.ServiceFaults{Refuse: true})
		return nil
	}
	return d.setModelFaults(target, enginestandin.ModelFaults{Refuse: true})
}

// DropResponses makes the service of a target execute calls without sending the
// response.
func (d *Deployment) DropResponses(target string) error {
	v := d.Services[target]
	if v == nil {
		return errors.Errorf("%s is not the target of a plain service", target)
	}
	v.SetFaults(enginestandin.ServiceFaults{DropResponse: true})
	return nil
}

// ClearFaults removes the injected faults of a target.
func (d *Deployment) ClearFaults(target string) error {
	if v := d.Services[target]; v != nil {
		v.SetFaults(enginestandin.ServiceFaults{})
		return nil
	}
	return d.setModelFaults(target, enginestandin.ModelFaults{})
}

// RestartWarmUp makes the engine of a target warm up again, without notice to the
// target.
func (d *Deployment) RestartWarmUp(target string) error {
	m := d.Models[target]
	if m == nil {
		return errors.Errorf("%s is not the target of a model", target)
	}
	m.RestartWarmUp()
	return nil
}

// setModelFaults replaces the injected faults of the engine of a target.
func (d *Deployment) setModelFaults(target string, f enginestandin.ModelFaults) error {
	m := d.Models[target]
	if m == nil {
		return errors.Errorf("%s is not the target of a model", target)
	}
	m.SetFaults(f)
	return nil
}

// Executions returns how often each call was executed, summed over all plain
// services. The keys are the ids in the request bodies.
func (d *Deployment) Executions() map[string]int {
	all := map[string]int{}
	for _, v := range d.Services {
		for id, n := range v.ByBodyID() {
			all[id] += n
		}
	}
	return all
}

// LastNewWork returns when a back end in the data centre last started new work
// between the two times, as the time since from. It considers only the events that
// are still kept, and returns zero if none started.
func (d *Deployment) LastNewWork(ctx context.Context, dataCentre string, from, to time.Time) (time.Duration, error) {
	t, err := d.Client().Timeline(ctx, timeline.Filter{
		DataCentre: dataCentre,
		Kinds:      []timeline.Kind{timeline.BackendStarted},
		From:       from,
		To:         to,
	})
	if err != nil || len(t.Events) == 0 {
		return 0, err
	}
	return t.Events[len(t.Events)-1].At.Time().Sub(from), nil
}
