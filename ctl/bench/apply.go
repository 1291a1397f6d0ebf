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

// applyConfig applies the configuration at the entry. It retries until the entry
// is ready and fails after readyTimeout.
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

// putConfig sends the configuration to the entry and returns the HTTP status.
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
