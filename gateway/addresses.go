package gateway

import (
	"context"
	"math/rand/v2"
	"time"
)

// Addresses returns the addresses that a caller should use and how long it may
// keep them.
func (g *Gateway) Addresses(from Locality) ([]string, time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	live, _ := query(ctx, g.control, func() map[string]record { return g.control.live(time.Now()) })
	all := make([]record, 0, len(live)+1)
	for _, r := range live {
		all = append(all, r)
	}
	if g.Ready() == nil {
		all = append(all, record{CallerAddr: g.o.CallerAddr, DataCentre: g.o.DataCentre, Region: g.o.Region})
	}
	return nearest(all, from), g.o.AddressTTL
}

// fewAddresses is the number of addresses below which a caller also gets those
// of other data centres.
const fewAddresses = 2

// nearest returns the addresses in the caller's data centre, or those of its
// region, or all, whichever is first to hold fewAddresses.
func nearest(all []record, from Locality) []string {
	for _, match := range []func(record) bool{
		func(r record) bool { return r.DataCentre == from.DataCentre && r.Region == from.Region },
		func(r record) bool { return r.Region == from.Region },
	} {
		if list := addresses(all, match); len(list) >= fewAddresses {
			return list
		}
	}
	return addresses(all, func(record) bool { return true })
}

func addresses(all []record, match func(record) bool) []string {
	seen := map[string]bool{}
	var list []string
	for _, r := range all {
		if match(r) && !seen[r.CallerAddr] {
			seen[r.CallerAddr] = true
			list = append(list, r.CallerAddr)
		}
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}
