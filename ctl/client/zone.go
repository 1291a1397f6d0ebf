package client

import (
	"context"
	"crypto/rand"
	"slices"

	"github.com/skylarkstep/skylarkstep/config"
	"github.com/skylarkstep/skylarkstep/errkind"
)

// maxConflicts bounds how often a change of one data centre starts again because
// another edit was accepted first. It changes one rule only, so that starting
// again on the newer revision does not undo the other edit.
const maxConflicts = 5

// SetZone takes a data centre out or brings it back. With allow it is accepted
// even if a customer is left with no data centre.
func (c *Client) SetZone(ctx context.Context, zone string, out, allow bool) (*Accepted, error) {
	for try := 1; ; try++ {
		doc, err := c.Config(ctx)
		if err != nil {
			return nil, err
		}
		if !slices.ContainsFunc(doc.Document.Inventory.DataCentres, func(d config.DataCentre) bool { return d.Name == zone }) {
			return nil, errkind.New(errkind.InvalidRequest, "data centre %q does not exist in revision %d", zone, doc.Revision)
		}
		rules := &doc.Document.Rules
		if doc.Document.IsOut(zone) == out {
			return &Accepted{Revision: doc.Revision, Already: true}, nil
		}
		if out {
			rules.Out = append(rules.Out, zone)
		} else {
			rules.Out = slices.DeleteFunc(rules.Out, func(d string) bool { return d == zone })
		}
		a, err := c.Apply(ctx, Edit{Base: doc.Revision, ID: rand.Text(), Document: doc.Document, AllowNoService: allow})
		if errkind.KindOf(err) != errkind.RevisionConflict || try == maxConflicts {
			return a, err
		}
	}
}
