package gateway

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// Addresses returns the addresses that a caller at the given location should
// use, and how long it may cache them. Instances that are leaving are not named,
// not even if all are: callers would use them until they reject most requests,
// and would learn later which instances are back.
func (g *Gateway) Addresses(from Locality) ([]string, time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	live, _ := query(ctx, g.control, func() map[string]instanceRecord { return g.control.liveInstances(time.Now()) })
	all := make([]instanceRecord, 0, len(live)+1)
	for _, r := range live {
		all = append(all, r)
	}
	if g.Ready() == nil {
		all = append(all, instanceRecord{CallerAddr: g.opts.CallerAddr, DataCentre: g.opts.DataCentre, Region: g.opts.Region})
	}
	return nearest(all, from), g.opts.AddressTTL
}

const (
	// maxOtherAddresses bounds the addresses in an error response.
	maxOtherAddresses = 8
	// otherAddressesTimeout bounds the time for which an error response waits
	// for them.
	otherAddressesTimeout = 100 * time.Millisecond
)

// alternatives are the instances that a caller may use while this one stops.
type alternatives struct {
	addresses []string
	// share is the part of the reachable instances that they are. A caller that
	// picks an address of its own list finds one of them with this probability.
	share float64
}

// alternatives returns the instances that have time for a request which takes
// work.
func (g *Gateway) alternatives(work time.Duration) alternatives {
	ctx, cancel := context.WithTimeout(context.Background(), otherAddressesTimeout)
	defer cancel()
	found, _ := query(ctx, g.control, func() alternatives {
		now := time.Now()
		live := g.control.liveInstances(now)
		usable := append(slices.Collect(maps.Values(live)), g.control.peers.leavingWithTime(g.limits.Load().StopTimeout, work, now)...)
		list := nearest(usable, Locality{Region: g.opts.Region, DataCentre: g.opts.DataCentre})
		others := len(live) + g.control.peers.leavingCount(now)
		return alternatives{list[:min(len(list), maxOtherAddresses)], float64(len(usable)) / float64(max(1, others))}
	})
	return found
}

// minAddresses is the number of addresses below which a caller also receives
// those of a larger area.
const minAddresses = 2

// nearest returns the addresses in the data centre of the caller, those in its
// region, or all of them: the first of these lists with at least minAddresses
// entries, or else all.
func nearest(all []instanceRecord, from Locality) []string {
	for _, match := range []func(instanceRecord) bool{
		func(r instanceRecord) bool { return r.DataCentre == from.DataCentre && r.Region == from.Region },
		func(r instanceRecord) bool { return r.Region == from.Region },
	} {
		if list := addresses(all, match); len(list) >= minAddresses {
			return list
		}
	}
	return addresses(all, func(instanceRecord) bool { return true })
}

func addresses(all []instanceRecord, match func(instanceRecord) bool) []string {
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
