package client

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"

	"github.com/pkg/errors"

	"github.com/skylarkstep/skylarkstep/config"
	"github.com/skylarkstep/skylarkstep/errkind"
)

// ConfigDocument is a configuration with its revision.
type ConfigDocument struct {
	Revision uint64         `json:"revision"`
	Document *config.Config `json:"document"`
}

// Accepted is the answer to an accepted change. Already says that the edit id
// was accepted before.
type Accepted struct {
	Revision uint64 `json:"revision"`
	Already  bool   `json:"already"`
}

// Edit is a change of the whole configuration on top of a base revision.
type Edit struct {
	Base           uint64
	ID             string
	Document       *config.Config
	AllowNoService bool
}

// Config returns the configuration in force at an entry.
func (c *Client) Config(ctx context.Context) (*ConfigDocument, error) {
	var doc ConfigDocument
	err := c.Any(ctx, Request{Method: http.MethodGet, Path: "/v1/config"}, &doc)
	return &doc, err
}

// Apply sends the edit to the entries in turn until one decides on it. That is
// safe after a lost answer, since an edit id is accepted only once.
func (c *Client) Apply(ctx context.Context, e Edit) (*Accepted, error) {
	body, err := json.Marshal(e.Document)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	r := Request{
		Method: http.MethodPut,
		Path:   "/v1/config",
		Query:  url.Values{"allow_no_service": {strconv.FormatBool(e.AllowNoService)}},
		Header: http.Header{"If-Match": {strconv.FormatUint(e.Base, 10)}, "Edit-Id": {e.ID}},
		Body:   body,
	}
	return c.change(ctx, r)
}

// change sends a change to the entries in turn until one decides on it.
func (c *Client) change(ctx context.Context, r Request) (*Accepted, error) {
	err := error(errkind.New(errkind.InvalidRequest, "no entry is given; use --entry"))
	for _, entry := range c.Entries {
		var a Accepted
		err = c.Do(ctx, entry, r, &a)
		switch errkind.KindOf(err) {
		case errkind.Unspecified:
			return &a, nil
		case errkind.TargetUnreachable, errkind.StoreUnavailable, errkind.NotReady, errkind.Isolated:
		default:
			return nil, err
		}
	}
	return nil, err
}
