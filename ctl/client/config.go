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

// Accepted is the result of an accepted change. Already is true if an edit with the
// same id was accepted before, or if a change of a rule was not needed.
type Accepted struct {
	Revision uint64 `json:"revision"`
	Already  bool   `json:"already"`
}

// Edit replaces the whole configuration. Base is the revision that it is based
// on; it is rejected if another edit was accepted after that revision.
type Edit struct {
	Base     uint64
	ID       string
	Document *config.Config
	// AllowNoService accepts the edit even if a customer is left with no data centre.
	AllowNoService bool
	// AllowMinority accepts the edit at an entry that receives heartbeats from fewer
	// than a majority of the entries.
	AllowMinority bool
}

func (e *Edit) query() url.Values {
	return url.Values{
		"allow_no_service": {strconv.FormatBool(e.AllowNoService)},
		"allow_minority":   {strconv.FormatBool(e.AllowMinority)},
	}
}

func (e *Edit) header() http.Header {
	return http.Header{"If-Match": {strconv.FormatUint(e.Base, 10)}, "Edit-Id": {e.ID}}
}

// Config returns the active configuration of an entry.
func (c *Client) Config(ctx context.Context) (*ConfigDocument, error) {
	var doc ConfigDocument
	err := c.DoAny(ctx, Request{Method: http.MethodGet, Path: "/v1/config"}, &doc)
	return &doc, err
}

// Apply sends the edit to the entries in order until one accepts or rejects it.
// Sending it again after a lost response is safe, since an edit id is accepted
// only once.
func (c *Client) Apply(ctx context.Context, e Edit) (*Accepted, error) {
	body, err := json.Marshal(e.Document)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	r := Request{Method: http.MethodPut, Path: "/v1/config", Query: e.query(), Header: e.header(), Body: body}
	return c.sendEdit(ctx, r)
}

// sendEdit sends a change to the entries in order until one accepts or rejects
// it.
func (c *Client) sendEdit(ctx context.Context, r Request) (*Accepted, error) {
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

// Rollback makes the content of an earlier revision the content of a new one. The
// document of the edit is ignored.
func (c *Client) Rollback(ctx context.Context, to uint64, e Edit) (*Accepted, error) {
	q := e.query()
	q.Set("to_revision", strconv.FormatUint(to, 10))
	return c.sendEdit(ctx, Request{Method: http.MethodPost, Path: "/v1/config/rollback", Query: q, Header: e.header()})
}

// ProcessRevision is the active revision of one process, as an entry knows it.
type ProcessRevision struct {
	Name           string `json:"name"`
	Role           string `json:"role"`
	DataCentre     string `json:"data_centre"`
	State          string `json:"state"`
	Revision       uint64 `json:"revision"`
	Active         bool   `json:"in_force"`
	HeartbeatAgeMs int64  `json:"heard_ms_ago"`
}

// Status is the revision of an entry and the active revision of every process that
// it knows. FreshnessMs is the time since the revision of the entry was last
// confirmed to be the accepted one; Freshness is fresh, service_down or isolated.
type Status struct {
	Revision       uint64            `json:"revision"`
	StoreReachable bool              `json:"store_reachable"`
	FreshnessMs    int64             `json:"freshness_ms"`
	Freshness      string            `json:"freshness"`
	Processes      []ProcessRevision `json:"processes"`
}

// Behind returns the processes whose active revision is older than the given one.
func (s *Status) Behind(revision uint64) []ProcessRevision {
	var list []ProcessRevision
	for _, p := range s.Processes {
		if p.Revision < revision {
			list = append(list, p)
		}
	}
	return list
}

// Status returns the active revisions of all processes, as reported by one entry.
func (c *Client) Status(ctx context.Context) (*Status, error) {
	var s Status
	err := c.DoAny(ctx, Request{Method: http.MethodGet, Path: "/v1/config/status"}, &s)
	return &s, err
}

// HistoryItem is one accepted change.
type HistoryItem struct {
	Revision uint64          `json:"revision"`
	EditID   string          `json:"edit_id"`
	Author   string          `json:"author"`
	Time     string          `json:"time"`
	Patch    json.RawMessage `json:"patch"`
}

// History returns the most recent accepted changes, newest first.
func (c *Client) History(ctx context.Context, limit int) ([]HistoryItem, error) {
	var list []HistoryItem
	q := url.Values{"limit": {strconv.Itoa(limit)}}
	err := c.DoAny(ctx, Request{Method: http.MethodGet, Path: "/v1/config/history", Query: q}, &list)
	return list, err
}
