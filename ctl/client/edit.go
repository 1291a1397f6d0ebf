package client

import (
	"context"
	"crypto/rand"
	"slices"

	"github.com/skylarkstep/skylarkstep/config"
	"github.com/skylarkstep/skylarkstep/errkind"
)

// maxEditAttempts limits how often a change of one rule is attempted when other
// edits are accepted first. Only one rule changes, so that a retry on top of the
// newer revision does not undo the other edit.
const maxEditAttempts = 5

// SetZone takes a data centre out or brings it back. With allowNoService, the
// change is accepted even if a customer is left with no data centre.
func (c *Client) SetZone(ctx context.Context, zone string, out, allowNoService bool) (*Accepted, error) {
	return c.editRule(ctx, allowNoService, func(cfg *config.Config) (bool, error) {
		if !slices.ContainsFunc(cfg.Inventory.DataCentres, func(d config.DataCentre) bool { return d.Name == zone }) {
			return false, errkind.New(errkind.InvalidRequest, "data centre %q does not exist", zone)
		}
		return setPresent(&cfg.Rules.DataCentresOut, zone, out), nil
	})
}

// SetGroupFrozen stops the rebalancing of a rank group or allows it again.
func (c *Client) SetGroupFrozen(ctx context.Context, group string, frozen bool) (*Accepted, error) {
	return c.editRule(ctx, false, func(cfg *config.Config) (bool, error) {
		if !slices.ContainsFunc(cfg.Inventory.Groups, func(g config.Group) bool { return g.Name == group }) {
			return false, errkind.New(errkind.InvalidRequest, "group %q does not exist", group)
		}
		return setPresent(&cfg.Rules.FrozenGroups, group, frozen), nil
	})
}

// editRule applies a change on top of the active configuration, and retries it
// when another edit was accepted first. The function change returns false if the
// configuration needs no change.
func (c *Client) editRule(ctx context.Context, allowNoService bool, change func(*config.Config) (bool, error)) (*Accepted, error) {
	for attempt := 1; ; attempt++ {
		doc, err := c.Config(ctx)
		if err != nil {
			return nil, err
		}
		changed, err := change(doc.Document)
		if err != nil {
			return nil, err
		}
		if !changed {
			return &Accepted{Revision: doc.Revision, Already: true}, nil
		}
		a, err := c.Apply(ctx, Edit{Base: doc.Revision, ID: rand.Text(), Document: doc.Document, AllowNoService: allowNoService})
		if errkind.KindOf(err) != errkind.RevisionConflict || attempt == maxEditAttempts {
			return a, err
		}
	}
}

// setPresent adds a name to a list or removes it, and reports whether the list
// changed.
func setPresent(list *[]string, name string, present bool) bool {
	if slices.Contains(*list, name) == present {
		return false
	}
	if present {
		*list = append(*list, name)
	} else {
		*list = slices.DeleteFunc(*list, func(s string) bool { return s == name })
	}
	return true
}
