package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	jsonpatch "github.com/evanphx/json-patch/v5"
	"github.com/pkg/errors"

	"github.com/skylarkstep/skylarkstep/errkind"
)

// Delta is the change from the tree of one revision to that of the next.
type Delta struct {
	Revision uint64    `json:"revision"`
	EditID   string    `json:"edit_id"`
	Author   string    `json:"author"`
	Time     time.Time `json:"time"`
	// Patch is a JSON merge patch (RFC 7386) on the tree.
	Patch json.RawMessage `json:"patch"`
	// Digest is the digest of the resulting tree.
	Digest string `json:"digest"`
	// HLC is the value of the accepting entry's hybrid logical clock before the
	// change was written. Processes that read it order their later events after it.
	HLC uint64 `json:"hlc,omitempty"`
}

// Digest returns the hexadecimal SHA-256 of canonical JSON.
func Digest(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// Diff returns the merge patch that turns one tree into another.
func Diff(from, to []byte) (json.RawMessage, error) {
	patch, err := jsonpatch.CreateMergePatch(from, to)
	return patch, errors.Wrap(err, "create merge patch")
}

// Patch applies a merge patch to a tree and returns canonical JSON.
func Patch(tree, patch []byte) ([]byte, error) {
	merged, err := jsonpatch.MergePatch(tree, patch)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.InvalidConfig, "apply merge patch")
	}
	var doc any
	if err := json.Unmarshal(merged, &doc); err != nil {
		return nil, errkind.Wrap(err, errkind.InvalidConfig, "decode the patched tree")
	}
	out, err := json.Marshal(doc)
	return out, errors.WithStack(err)
}

// Apply returns the tree of the next revision. It fails if the result does not
// have the delta's digest, that is, if the delta was made for another tree.
func (d *Delta) Apply(tree []byte) ([]byte, error) {
	next, err := Patch(tree, d.Patch)
	if err != nil {
		return nil, err
	}
	if got := Digest(next); got != d.Digest {
		return nil, errkind.New(errkind.InvalidConfig, "delta to revision %d gives digest %.12s, expected %.12s", d.Revision, got, d.Digest)
	}
	return next, nil
}
