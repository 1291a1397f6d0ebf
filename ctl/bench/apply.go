package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/skylarkstep/skylarkstep/config"
)

// applyConfig has the entry accept the configuration. It repeats the request
// until the entry serves.
func applyConfig(ctx context.Context, address string, c *config.Config) error {
	document, err := json.Marshal(c)
	if err != nil {
		return errors.WithStack(err)
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		status, err := putConfig(ctx, address, document)
		if err == nil && status == http.StatusOK {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Errorf("configuration was not accepted: status %d, error %v", status, err)
		case <-time.After(20 * time.Millisecond):
		}
	}
}

func putConfig(ctx context.Context, address string, document []byte) (int, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, address+"/v1/config", bytes.NewReader(document))
	if err != nil {
		return 0, errors.WithStack(err)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+operatorToken)
	req.Header.Set("If-Match", "0")
	req.Header.Set("Edit-Id", "bench-start")
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, errors.WithStack(err)
	}
	defer func() { _ = res.Body.Close() }()
	return res.StatusCode, nil
}
