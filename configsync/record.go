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

// Keys at the key-value service.
const (
	HeadKey     = "skylarkstep/config/head"
	partPrefix  = "skylarkstep/config/part/"
	deltaPrefix = "skylarkstep/config/delta/"
	editPrefix  = "skylarkstep/config/edit/"
)

const (
	// inlineDeltas bounds the deltas in the head, which every watcher reads
	// with each change. It covers a watcher that missed a few changes.
	inlineDeltas = 16
	// inlineBytes keeps the head far below the 64 KB of the design.
	inlineBytes = 32 << 10
	// historyLength is half a day at 18,000 changes a day.
	historyLength = 9000
)

// Head says what is accepted. Swapping it makes a change of several parts one
// change.
type Head struct {
	Revision uint64         `json:"revision"`
	EditID   string         `json:"edit_id"`
	Author   string         `json:"author"`
	Time     time.Time      `json:"time"`
	Digest   string         `json:"digest"`
	Parts    []PartRef      `json:"parts"`
	Deltas   []config.Delta `json:"deltas"`
}

// PartRef names an immutable part value.
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
	// Oversized says that the change was too large for a record. Processes load
	// the parts instead, and a rollback does not reach below it.
	Oversized bool `json:"whole,omitempty"`
}

// maxRecord leaves room for the head and the edit id in one request of 1 MB.
const maxRecord = 512 << 10

func (r *Record) encode() ([]byte, error) {
	data, err := json.Marshal(r)
	if err == nil && len(data) > maxRecord {
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
		return nil, errkind.Wrap(err, errkind.InvalidConfig, "head at the key-value service")
	}
	if h.Revision == 0 || len(h.Parts) == 0 {
		return nil, errkind.New(errkind.InvalidConfig, "head at the key-value service has no revision or no parts")
	}
	return &h, nil
}

// next returns the head after a change.
func (h *Head) next(d config.Delta, parts []PartRef) *Head {
	n := &Head{Revision: d.Revision, EditID: d.EditID, Author: d.Author, Time: d.Time, Digest: d.Digest, Parts: parts}
	var old []config.Delta
	if h != nil {
		old = h.Deltas
	}
	n.Deltas = append(append([]config.Delta{}, old...), d)
	size := 0
	for i := len(n.Deltas) - 1; i >= 0; i-- {
		size += len(n.Deltas[i].Patch)
		if size > inlineBytes || len(n.Deltas)-i > inlineDeltas {
			n.Deltas = n.Deltas[i+1:]
			break
		}
	}
	return n
}

// Conflict says that other edits were accepted on top of the base revision.
type Conflict struct {
	Base     uint64         `json:"base"`
	Accepted uint64         `json:"accepted"`
	Changes  []config.Delta `json:"changes"`
}

// ErrorDetail returns what an error answer shows to programs.
func (c *Conflict) ErrorDetail() any { return c }

// maxPatchShown bounds how much of each change is repeated in the message.
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
