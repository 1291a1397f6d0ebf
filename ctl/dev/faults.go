package dev

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/skylarkstep/skylarkstep/ctl/client"
	enginestandin "github.com/skylarkstep/skylarkstep/engine/standin"
	"github.com/skylarkstep/skylarkstep/timeline"
)

// Client returns an operators' client of all entries.
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

// Stall makes the engine of a target stop every stream after some tokens.
func (d *Deployment) Stall(target string, tokens int) error {
	return d.modelFaults(target, enginestandin.ModelFaults{StallAfter: tokens})
}

// Refuse makes the engine or service of a target refuse every request.
func (d *Deployment) Refuse(target string) error {
	if v := d.Services[target]; v != nil {
		v.SetFaults(enginestandin.ServiceFaults{Refuse: true})
		return nil
	}
	return d.modelFaults(target, enginestandin.ModelFaults{Refuse: true})
}

// LoseReplies makes the service of a target execute calls without answering.
func (d *Deployment) LoseReplies(target string) error {
	v := d.Services[target]
	if v == nil {
		return errors.Errorf("%s is not the target of a plain service", target)
	}
	v.SetFaults(enginestandin.ServiceFaults{DropResponse: true})
	return nil
}

// ClearFaults ends the faults of a target.
func (d *Deployment) ClearFaults(target string) error {
	if v := d.Services[target]; v != nil {
		v.SetFaults(enginestandin.ServiceFaults{})
		return nil
	}
	return d.modelFaults(target, enginestandin.ModelFaults{})
}

// GoCold makes the engine of a target cold without warning.
func (d *Deployment) GoCold(target string) error {
	m := d.Models[target]
	if m == nil {
		return errors.Errorf("%s is not the target of a model", target)
	}
	m.RestartWarmUp()
	return nil
}

func (d *Deployment) modelFaults(target string, f enginestandin.ModelFaults) error {
	m := d.Models[target]
	if m == nil {
		return errors.Errorf("%s is not the target of a model", target)
	}
	m.SetFaults(f)
	return nil
}

// Executed returns the executions of each body id over all plain services.
func (d *Deployment) Executed() map[string]int {
	all := map[string]int{}
	for _, v := range d.Services {
		for id, n := range v.ByBodyID() {
			all[id] += n
		}
	}
	return all
}

// LastWork returns how long after from the last new work before to started in
// a data centre, as the kept events tell.
func (d *Deployment) LastWork(ctx context.Context, dataCentre string, from, to time.Time) (time.Duration, error) {
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
