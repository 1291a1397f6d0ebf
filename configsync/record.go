package configsync

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/skylarkstep/skylarkstep/config"
	"github.com/skylarkstep/skylarkstep/errkind"
)

// Keys and key prefixes in the key-value store.
const (
	HeadKey     = "skylarkstep/config/head"
	partPrefix  = "skylarkstep/config/part/"
	deltaPrefix = "skylarkstep/config/delta/"
	editPrefix  = "skylarkstep/config/edit/"
)

const (
	// maxHeadDeltas limits the deltas in the head, which every watcher reads at each
	// change. It is enough for a watcher that has missed a few changes.
	maxHeadDeltas = 16
	// maxHeadDeltaBytes keeps the head well below its design limit of 64 KB.
	maxHeadDeltaBytes = 32 << 10
	// historyLength is the number of records kept: half a day at 18,000 changes per
	// day.
	historyLength = 9000
)

// Head describes the accepted configuration. A change writes new parts and then
// replaces the head, so that it takes effect atomically.
type Head struct {
	Revision uint64         `json:"revision"`
	EditID   string         `json:"edit_id"`
	Author   string         `json:"author"`
	Time     time.Time      `json:"time"`
	Digest   string         `json:"digest"`
	Parts    []PartRef      `json:"parts"`
	Deltas   []config.Delta `json:"deltas"`
}

// PartRef refers to one part of the tree. The value of a part is immutable.
type PartRef struct {
	Name     string `json:"name"`
	Digest   string `json:"digest"`
	Revision uint64 `json:"revision"`
}

func (p PartRef) key() string { return partPrefix + p.Name + "/" + p.Digest }

// Record is one accepted change in the history. Reverse undoes it.
type Record struct {
	config.Delta
	Reverse json.RawMessage `json:"reverse"`
	// Oversized means that the change was too large for a record, so that the record
	// has no patches. Processes load the parts instead, and a rollback can't undo it.
	Oversized bool `json:"whole,omitempty"`
}

// maxRecordBytes leaves space for the head and the edit id in a request of 1 MB.
const maxRecordBytes = 512 << 10

// encode returns the record as JSON, without the patches if it is too large.
func (r *Record) encode() ([]byte, error) {
	data, err := json.Marshal(r)
	if err == nil && len(data) > maxRecordBytes {
		short := *r
		short.Patch, short.Reverse, short.Oversized = json.RawMessage("{}"), json.RawMessage("{}"), true
		data, err = json.Marshal(short)
	}
	return data, errors.WithStack(err)
}

func deltaKey(revision uint64) string { return fmt.Sprintf("%s%020d", deltaPrefix, revision) }

func editKey(id string) string { return editPrefix + id }

// ParseHead decodes the value of the head key.
func ParseHead(data []byte) (*Head, error) {
	var h Head
	if err := json.Unmarshal(data, &h); err != nil {
		return nil, errkind.Wrap(err, errkind.InvalidConfig, "decode the head in the key-value store")
	}
	if h.Revision == 0 || len(h.Parts) == 0 {
		return nil, errkind.New(errkind.InvalidConfig, "the head in the key-value store has no revision or no parts")
	}
	return &h, nil
}

// withChange returns the head after a change. The receiver is nil for the first one.
func (h *Head) withChange(d config.Delta, parts []PartRef) *Head {
	n := &Head{Revision: d.Revision, EditID: d.EditID, Author: d.Author, Time: d.Time, Digest: d.Digest, Parts: parts}
	var old []config.Delta
	if h != nil {
		old = h.Deltas
	}
	n.Deltas = append(append([]config.Delta{}, old...), d)
	size := 0
	for i := len(n.Deltas) - 1; i >= 0; i-- {
		size += len(n.Deltas[i].Patch)
		if size > maxHeadDeltaBytes || len(n.Deltas)-i > maxHeadDeltas {
			n.Deltas = n.Deltas[i+1:]
			break
		}
	}
	return n
}

// Conflict is the error of an edit whose base revision is not the accepted one.
// Changes are the changes accepted since the base.
type Conflict struct {
	Base     uint64         `json:"base"`
	Accepted uint64         `json:"accepted"`
	Changes  []config.Delta `json:"changes"`
}

// ErrorDetail returns the machine-readable part of an error response.
func (c *Conflict) ErrorDetail() any { return c }

// maxPatchShown limits the bytes of each patch that an error repeats.
const maxPatchShown = 300

// Error implements error.
func (c *Conflict) Error() string {
	var b strings.Builder
	_, _ = fmt.Fprintf(&b, "based on revision %d, but %d is accepted", c.Base, c.Accepted)
	for _, d := range c.Changes {
		_, _ = fmt.Fprintf(&b, "; revision %d by %s changed %.*s", d.Revision, d.Author, maxPatchShown, d.Patch)
	}
	return b.String()
}
