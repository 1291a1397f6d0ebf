package gateway

import (
	"bytes"
	"context"
	"strings"
	"time"

	"github.com/skylarkstep/skylarkstep/gateway/crashguard"
	"github.com/skylarkstep/skylarkstep/infra"
	"github.com/skylarkstep/skylarkstep/infra/ctxtime"
	"github.com/skylarkstep/skylarkstep/routing/quarantine"
)

const (
	quarantinePrefix = "skylarkstep/quarantine/"
	// recordInterval is the pause between checks whether the record in the store
	// is up to date, and at least that between two writes. It also lets the other
	// instances report which suspects are harmless before anything is written.
	recordInterval = time.Second
	// recordCheckAge is how long after a write the cached copy must show it.
	recordCheckAge = 4 * time.Second
	// recordWriteTimeout limits the calls of one write.
	recordWriteTimeout = 2 * time.Second
)

func isQuarantineKey(key string) bool { return strings.HasPrefix(key, quarantinePrefix) }

// quarantineRecord is what this instance has written to the store about parts
// that crash targets. It outlives all processes, and reaches instances that no
// other instance reaches.
type quarantineRecord struct {
	digest    uint64 // of the written state; 0 if there is none
	value     []byte
	writtenAt time.Time
}

// mergeRecord adds the crash reports in a record of an instance.
func (c *control) mergeRecord(it infra.Item, now time.Time) {
	s, err := crashguard.DecodeRecord(it.Value, now)
	if err != nil {
		c.log.Warn("quarantine record not readable", "key", it.Key, "error", err.Error())
		return
	}
	c.crashes.Merge(s, "store", now)
}

// recordUpdate is a write of the record that is due. It deletes the record if the
// value is nil.
type recordUpdate struct {
	digest uint64
	value  []byte
}

// dueRecordUpdate returns the write of the record that is due, or nil.
func (c *control) dueRecordUpdate(now time.Time) *recordUpdate {
	key := quarantinePrefix + c.g.id
	s := c.crashes.OwnState(now)
	digest := s.Digest()
	it, exists := c.mirror.Get(key)
	isLost := now.Sub(c.record.writtenAt) > recordCheckAge && digest != 0 && (!exists || !bytes.Equal(it.Value, c.record.value))
	if digest == c.record.digest && !isLost {
		return nil
	}
	if digest == 0 {
		return &recordUpdate{}
	}
	value, err := crashguard.EncodeRecord(s, now)
	if err != nil {
		c.log.Error("quarantine record not encoded", "error", err.Error())
		return nil
	}
	return &recordUpdate{digest, value}
}

// keepRecord keeps the record in the store up to date until ctx ends. The record
// expires by itself: its lease is not renewed.
func (g *Gateway) keepRecord(ctx context.Context) {
	for ctx.Err() == nil {
		ctxtime.Sleep(ctx, recordInterval)
		update, _ := query(ctx, g.control, func() *recordUpdate { return g.control.dueRecordUpdate(time.Now()) })
		if update == nil {
			continue
		}
		if err := g.writeRecord(ctx, update); err != nil {
			g.log.Warn("quarantine record not written", "error", err.Error())
			continue
		}
		g.control.call(ctx, func() { g.control.record = quarantineRecord{update.digest, update.value, time.Now()} })
	}
}

func (g *Gateway) writeRecord(ctx context.Context, update *recordUpdate) error {
	ctx, cancel := context.WithTimeout(ctx, recordWriteTimeout)
	defer cancel()
	key := quarantinePrefix + g.id
	if update.value == nil {
		_, err := g.kv.Commit(ctx, infra.Txn{Deletes: []string{key}})
		return err
	}
	lease, err := g.kv.Grant(ctx, quarantine.Retention)
	if err != nil {
		return err
	}
	_, err = g.kv.Commit(ctx, infra.Txn{Puts: []infra.Put{{Key: key, Value: update.value, Lease: lease}}})
	return err
}
