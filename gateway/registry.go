package gateway

import (
	"encoding/json"
	"net/netip"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const (
	instancePrefix = "skylarkstep/instances/"
	// registryTTL is the lease time of an instance's record. The peers of a
	// killed instance notice sooner that its heartbeats have stopped; the lease
	// serves instances that receive no heartbeats at all.
	registryTTL = 4 * time.Second
	// registryRenewInterval is the pause between renewals.
	registryRenewInterval = 1200 * time.Millisecond
)

// instanceRecord is the registry entry of an instance, which the other
// instances read.
type instanceRecord struct {
	CallerAddr string `json:"caller_addr"`
	PeerAddr   string `json:"peer_addr"`
	DataCentre string `json:"data_centre"`
	Region     string `json:"region"`
}

func isInstanceKey(key string) bool { return strings.HasPrefix(key, instancePrefix) }

func recordKey(id string) string { return instancePrefix + id }

func (r instanceRecord) encode() []byte {
	value, err := json.Marshal(r)
	if err != nil {
		panic(err) // cannot fail for a struct of strings
	}
	return value
}

// instanceTable holds the decoded records of the instances by id. Heartbeats look
// records up many times a second, so that the whole copy of the store cannot be
// searched and decoded each time: with it, the processor time of all instances would
// grow with the square of their number.
type instanceTable map[string]instanceRecord

// apply applies a changed item of the cached copy, or a deleted one, if it is the
// record of an instance. A record that is not readable counts as deleted.
func (t instanceTable) apply(key string, value []byte, exists bool) error {
	id, ok := strings.CutPrefix(key, instancePrefix)
	if !ok {
		return nil
	}
	delete(t, id)
	if !exists {
		return nil
	}
	var r instanceRecord
	if err := json.Unmarshal(value, &r); err != nil {
		return errors.Wrapf(err, "decode the record %q", key)
	}
	for _, addr := range []string{r.CallerAddr, r.PeerAddr} {
		if a, err := netip.ParseAddrPort(addr); err != nil || a.Port() == 0 {
			return errors.Errorf("the record %q has the address %.60q, which is not an IP address with a port", key, addr)
		}
	}
	t[id] = r
	return nil
}

// applyInstanceRecords applies the changed keys of the cached copy.
func (c *control) applyInstanceRecords(changed []string) {
	for _, key := range changed {
		it, exists := c.mirror.Get(key)
		if err := c.instances.apply(key, it.Value, exists); err != nil {
			c.log.Warn("instance record not readable", "key", key, "error", err.Error())
		}
	}
}
