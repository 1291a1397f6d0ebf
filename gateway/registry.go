package gateway

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/skylarkstep/skylarkstep/infra"
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

// instanceRecords returns the records of all instances in the cached copy of
// the store.
func (c *control) instanceRecords() map[string]instanceRecord {
	found := map[string]instanceRecord{}
	c.mirror.Each(func(it infra.Item) {
		id, ok := strings.CutPrefix(it.Key, instancePrefix)
		if !ok {
			return
		}
		var r instanceRecord
		if err := json.Unmarshal(it.Value, &r); err != nil {
			c.log.Warn("instance record not readable", "key", it.Key, "error", err.Error())
			return
		}
		found[id] = r
	})
	return found
}
