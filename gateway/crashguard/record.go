package crashguard

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/skylarkstep/skylarkstep/routing/quarantine"
	"github.com/skylarkstep/skylarkstep/wire/wirepb"
)

// storedReports is the value of the record. The clocks of instances may differ by
// seconds, which matters little against quarantine.Retention.
type storedReports struct {
	WrittenUnixMs int64           `json:"written_unix_ms"`
	State         json.RawMessage `json:"state"`
}

// EncodeRecord returns the value of a record for the store.
func EncodeRecord(s quarantine.State, now time.Time) ([]byte, error) {
	state, err := protojson.Marshal(Encode(s))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	value, err := json.Marshal(storedReports{now.UnixMilli(), state})
	return value, errors.WithStack(err)
}

// DecodeRecord decodes a record, whose ages grow by the time since it was written.
func DecodeRecord(value []byte, now time.Time) (quarantine.State, error) {
	var stored storedReports
	if err := json.Unmarshal(value, &stored); err != nil {
		return quarantine.State{}, errors.WithStack(err)
	}
	var w wirepb.QuarantineState
	if err := protojson.Unmarshal(stored.State, &w); err != nil {
		return quarantine.State{}, errors.WithStack(err)
	}
	return Decode(&w, max(0, now.Sub(time.UnixMilli(stored.WrittenUnixMs)))), nil
}
