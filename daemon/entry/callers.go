package entry

import (
	"context"
	"math/rand/v2"

	goa "goa.design/goa/v3/pkg"

	"github.com/skylarkstep/skylarkstep/api/gen/callers"
	"github.com/skylarkstep/skylarkstep/config"
)

// callerService implements the goa service for callers.
type callerService struct{ entry *Entry }

func unsupportedMedia(contentType string) error {
	return goa.PermanentError(goa.UnsupportedMediaType, "content type %q is not accepted, send application/json", contentType)
}

// Addresses returns the entries that the caller should use, in order of
// preference.
func (s *callerService) Addresses(ctx context.Context, _ *callers.AddressesPayload) (*callers.AddressList, error) {
	snap, err := s.entry.readySnapshot()
	if err != nil {
		return nil, err
	}
	list := &callers.AddressList{
		Addresses: []*callers.Address{},
		TTLMs:     int(snap.config.AddressTTL().Milliseconds()),
		Revision:  snap.config.Revision,
	}
	for _, en := range s.entry.entriesFor(snap, customerFrom(ctx).Name, rand.Perm) {
		list.Addresses = append(list.Addresses, &callers.Address{URL: "http://" + en.HTTPAddr, DataCentre: en.DataCentre})
	}
	return list, nil
}

// entriesFor returns the entries that a customer may use, best first. Entries
// from which this one receives no heartbeats come last. They are not left out,
// since this entry may be the one that is cut off from the others. A customer
// whose data centres have no entry may use those of all data centres.
func (e *Entry) entriesFor(s *snapshot, customer string, perm func(int) []int) []config.Entry {
	var reachable, unreachable, otherDataCentres []config.Entry
	for _, en := range s.config.Inventory.Entries {
		switch {
		case s.config.IsOut(en.DataCentre) || e.isLeaving(s, en.Name):
		case !s.config.Serves(customer, en.DataCentre):
			otherDataCentres = append(otherDataCentres, en)
		case en.Name != e.node.Name && !s.reachableEntries[en.Name]:
			unreachable = append(unreachable, en)
		default:
			reachable = append(reachable, en)
		}
	}
	if len(reachable)+len(unreachable) == 0 {
		reachable = otherDataCentres
	}
	ranked := append(rankEntries(reachable, perm(len(reachable))), rankEntries(unreachable, perm(len(unreachable)))...)
	return ranked[:min(len(ranked), maxAddresses)]
}

// isLeaving reports whether an entry must be absent from new address responses.
func (e *Entry) isLeaving(s *snapshot, name string) bool {
	return s.leaving[name] || name == e.node.Name && e.stopping.Load()
}

// maxAddresses is the maximum number of entries in an address response.
const maxAddresses = 6

// rankEntries orders entries by the permutation, so that callers are spread
// over the entries, and alternates between data centres, so that the second
// address is in another data centre than the first.
func rankEntries(entries []config.Entry, perm []int) []config.Entry {
	var order []string
	byDC := map[string][]config.Entry{}
	for _, i := range perm {
		dc := entries[i].DataCentre
		if byDC[dc] == nil {
			order = append(order, dc)
		}
		byDC[dc] = append(byDC[dc], entries[i])
	}
	var ranked []config.Entry
	for len(ranked) < min(len(entries), maxAddresses) {
		for _, dc := range order {
			if len(byDC[dc]) > 0 {
				ranked = append(ranked, byDC[dc][0])
				byDC[dc] = byDC[dc][1:]
			}
		}
	}
	return ranked[:min(len(ranked), maxAddresses)]
}
