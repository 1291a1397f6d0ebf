package dev

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/skylarkstep/skylarkstep/api/gen/http/operators/client"
	"github.com/skylarkstep/skylarkstep/config"
)

// pollInterval is the pause between two checks in WaitReady.
const pollInterval = 50 * time.Millisecond

// EntryURL returns the base URL of the first entry.
func (d *Deployment) EntryURL() string { return "http://" + d.Config.Inventory.Entries[0].HTTPAddr }

// CustomerKey returns the bearer key of a customer in the example files.
func (d *Deployment) CustomerKey(customer string) string { return "example-" + customer }

// apply sends the configuration to the first entry as the first revision.
func (d *Deployment) apply(ctx context.Context) error {
	document, err := json.Marshal(d.Config)
	if err != nil {
		return errors.WithStack(err)
	}
	header := http.Header{"If-Match": {"0"}, "Edit-Id": {"dev-start"}, "Content-Type": {"application/json"}}
	res, err := d.do(ctx, http.MethodPut, client.ApplyConfigOperatorsPath(), OperatorToken, header, document)
	if err != nil {
		return err
	}
	if res.status != http.StatusOK {
		return errors.Errorf("configuration was not accepted: %s", res.body)
	}
	return nil
}

// WaitReady waits until every entry has a configuration and reports it as active
// in every process that the entry knows. When ctx ends, it returns an error that
// names what is missing.
func (d *Deployment) WaitReady(ctx context.Context) error {
	for {
		if err := d.checkReady(ctx); err == nil {
			return nil
		} else if ctx.Err() != nil {
			return errors.WithMessage(err, "deployment is not ready")
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
		}
	}
}

// checkReady returns an error that names the first entry or process that is not
// ready.
func (d *Deployment) checkReady(ctx context.Context) error {
	for _, e := range d.Config.Inventory.Entries {
		res, err := d.doAt(ctx, "http://"+e.HTTPAddr, http.MethodGet, client.ConfigStatusOperatorsPath(), OperatorToken, nil, nil)
		if err != nil {
			return err
		}
		var st client.ConfigStatusResponseBody
		if err := json.Unmarshal(res.body, &st); err != nil {
			return errors.Wrap(err, "status")
		}
		if st.Revision == nil || *st.Revision == 0 {
			return errors.Errorf("entry %s has no configuration", e.Name)
		}
		for _, p := range st.Processes {
			if !*p.InForce {
				return errors.Errorf("%s does not have revision %d", *p.Name, *st.Revision)
			}
		}
	}
	return nil
}

// Sample sends one request to each back end and prints the responses. It fails if
// a response is not 200 or a stream is incomplete.
func (d *Deployment) Sample(ctx context.Context, out io.Writer) error {
	customer := d.Config.Inventory.Customers[0].Name
	for _, b := range d.Config.Inventory.Backends {
		path, body := "/v1/services/"+b.Name+"/sample", `{"id":"sample-1"}`
		if b.Kind == config.KindModel {
			path, body = "/v1/completions", fmt.Sprintf(`{"model":%q,"prompt":"which booth is free at dawn?","max_tokens":8}`, b.Model)
		}
		header := http.Header{"Content-Type": {"application/json"}}
		res, err := d.do(ctx, http.MethodPost, path, d.CustomerKey(customer), header, []byte(body))
		if err != nil {
			return err
		}
		_, _ = fmt.Fprintf(out, "POST %s -> %d, request id %s\n%s\n", path, res.status, res.requestID, bytes.TrimSpace(res.body))
		if res.status != http.StatusOK {
			return errors.Errorf("%s responded with status %d", path, res.status)
		}
		if b.Kind == config.KindModel && !bytes.Contains(res.body, []byte("event: done")) {
			return errors.Errorf("the response stream of %s was interrupted", path)
		}
	}
	return nil
}

// response is an HTTP response with its whole body.
type response struct {
	status    int
	requestID string
	body      []byte
}

// do sends a request to the first entry.
func (d *Deployment) do(ctx context.Context, method, path, token string, h http.Header, body []byte) (*response, error) {
	return d.doAt(ctx, d.EntryURL(), method, path, token, h, body)
}

// doAt sends a request to the entry with the given base URL.
func (d *Deployment) doAt(ctx context.Context, base, method, path, token string, h http.Header, body []byte) (*response, error) {
	req, err := http.NewRequestWithContext(ctx, method, base+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	for name, values := range h {
		req.Header[name] = values
	}
	req.Header.Set("Authorization", "Bearer "+token)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return &response{status: res.StatusCode, requestID: res.Header.Get("X-Request-Id"), body: data}, nil
}
