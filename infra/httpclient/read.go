package httpclient

import (
	"io"

	"github.com/pkg/errors"
)

// ReadLimited reads a body to its end and fails if it is longer than limit bytes.
// A body that is merely cut off there could be taken for a complete one.
func ReadLimited(body io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if int64(len(data)) > limit {
		return nil, errors.Errorf("response exceeds %d bytes", limit)
	}
	return data, nil
}
