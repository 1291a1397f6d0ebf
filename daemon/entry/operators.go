package entry

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"goa.design/goa/v3/security"

	"github.com/skylarkstep/skylarkstep/api/gen/operators"
	"github.com/skylarkstep/skylarkstep/config"
	"github.com/skylarkstep/skylarkstep/configsync"
	"github.com/skylarkstep/skylarkstep/errkind"
	"github.com/skylarkstep/skylarkstep/wire/wirepb"
)

// operatorService implements the goa service for operators.
type operatorService struct{ entry *Entry }

type operatorKey struct{}

func operatorFrom(ctx context.Context) string {
	name, _ := ctx.Value(operatorKey{}).(string)
	return name
}

// JWTAuth implements operators.Auther.
func (s *operatorService) JWTAuth(ctx context.Context, token string, _ *security.JWTScheme) (context.Context, error) {
	sum := sha256.Sum256([]byte(token))
	got := []byte(hex.EncodeToString(sum[:]))
	for _, o := range s.entry.settings.Operators {
		if subtle.ConstantTimeCompare(got, []byte(o.TokenSHA256)) == 1 {
			return context.WithValue(ctx, operatorKey{}, o.Name), nil
		}
	}
	return ctx, errkind.New(errkind.Unauthenticated, "the bearer token belongs to no operator")
}

// GetConfig returns the active configuration, or an earlier revision.
func (s *operatorService) GetConfig(ctx context.Context, p *operators.GetConfigPayload) (*operators.ConfigDocument, error) {
	if p.Revision != nil && *p.Revision != 0 {
		tree, err := s.entry.store.TreeAt(ctx, *p.Revision)
		if err != nil {
			return nil, err
		}
		c, err := config.FromTree(tree, *p.Revision)
		if err != nil {
			return nil, err
		}
		return &operators.ConfigDocument{Revision: c.Revision, Document: c}, nil
	}
	snap, err := s.entry.currentSnapshot()
	if err != nil {
		return nil, err
	}
	return &operators.ConfigDocument{Revision: snap.config.Revision, Document: snap.config}, nil
}

// ApplyConfig accepts a new configuration.
func (s *operatorService) ApplyConfig(ctx context.Context, p *operators.ApplyConfigPayload) (*operators.ConfigAccepted, error) {
	document, err := json.Marshal(p.Document)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.InvalidRequest, "document")
	}
	next, err := config.ParseConfig(document)
	if err != nil {
		return nil, err
	}
	change := configsync.Change{
		HLC:  uint64(s.entry.node.Clock.Now()),
		Base: p.BaseRevision, EditID: p.EditID, Author: operatorFrom(ctx), Config: next, AllowNoService: p.AllowNoService,
	}
	return s.acceptedResponse(s.entry.acceptChange(ctx, p.AllowMinority, func(ctx context.Context, activeRevision uint64) (*configsync.ApplyResult, error) {
		change.ActiveRevision = activeRevision
		return s.entry.store.Apply(ctx, change)
	}))
}

// RollbackConfig accepts the content of an earlier revision as a new one.
func (s *operatorService) RollbackConfig(ctx context.Context, p *operators.RollbackConfigPayload) (*operators.ConfigAccepted, error) {
	change := configsync.Change{
		HLC:  uint64(s.entry.node.Clock.Now()),
		Base: p.BaseRevision, EditID: p.EditID, Author: operatorFrom(ctx), AllowNoService: p.AllowNoService,
	}
	return s.acceptedResponse(s.entry.acceptChange(ctx, p.AllowMinority, func(ctx context.Context, activeRevision uint64) (*configsync.ApplyResult, error) {
		change.ActiveRevision = activeRevision
		return s.entry.store.Rollback(ctx, p.ToRevision, change)
	}))
}

func (s *operatorService) acceptedResponse(a *configsync.ApplyResult, err error) (*operators.ConfigAccepted, error) {
	if err != nil {
		return nil, err
	}
	return &operators.ConfigAccepted{Revision: a.Revision, Already: a.AlreadyAccepted}, nil
}

// ConfigStatus returns the active revision and which processes have it.
func (s *operatorService) ConfigStatus(ctx context.Context, _ *operators.ConfigStatusPayload) (*operators.RevisionStatus, error) {
	return queryControl(ctx, s.entry, (*control).revisionStatus)
}

func (c *control) revisionStatus() *operators.RevisionStatus {
	st := &operators.RevisionStatus{Revision: c.revision(), StoreReachable: c.entry.storeReachable.Load()}
	// The status must show the state that requests are handled with.
	c.publishSnapshot()
	st.FreshnessMs, st.Freshness = c.verdict.Staleness.Milliseconds(), string(c.verdict.State)
	st.Processes = append(st.Processes, &operators.ProcessRevision{
		Name:        c.entry.node.Name,
		Role:        string(c.entry.node.Role),
		DataCentre:  c.entry.node.DataCentre,
		State:       "ready",
		Incarnation: fmt.Sprintf("%x", c.entry.node.Incarnation),
		Revision:    c.revision(),
		InForce:     true,
	})
	cfg := c.replica.Config()
	if cfg == nil {
		return st
	}
	for _, en := range cfg.Inventory.Entries {
		if en.Name != c.entry.node.Name {
			st.Processes = append(st.Processes, c.entryStatus(en))
		}
	}
	for _, t := range cfg.Inventory.Targets {
		// Targets outside this entry's subset are in the status of other entries.
		if c.links[t.Name] != nil {
			st.Processes = append(st.Processes, c.targetStatus(t))
		}
	}
	return st
}

func (c *control) targetStatus(t config.Target) *operators.ProcessRevision {
	p := &operators.ProcessRevision{Name: t.Name, Role: string(config.RoleTarget), DataCentre: t.DataCentre, State: "gone"}
	ct := c.connectedTargets[t.Name]
	if ct == nil {
		return p
	}
	p.State = string(c.targetState(t.Name, time.Now()))
	if ct.lastHeartbeat.GetState() == wirepb.MemberState_MEMBER_STATE_LEAVING {
		p.State = "leaving"
	}
	p.Incarnation = fmt.Sprintf("%x", ct.incarnation)
	p.Revision = ct.lastHeartbeat.GetRevision()
	p.InForce = p.Revision >= c.revision()
	p.HeardMsAgo = time.Since(ct.lastHeartbeatAt).Milliseconds()
	return p
}

func (c *control) entryStatus(en config.Entry) *operators.ProcessRevision {
	p := &operators.ProcessRevision{Name: en.Name, Role: string(config.RoleEntry), DataCentre: en.DataCentre, State: "gone"}
	other := c.peers[en.Name]
	if other == nil || len(other.sessions) == 0 {
		return p
	}
	p.State = "ready"
	if other.leaving() {
		p.State = "leaving"
	}
	p.Incarnation = fmt.Sprintf("%x", other.incarnation)
	p.Revision = other.lastHeartbeat.GetRevision()
	p.InForce = p.Revision >= c.revision()
	p.HeardMsAgo = time.Since(other.lastHeartbeatAt).Milliseconds()
	return p
}

// ConfigHistory returns the accepted changes.
func (s *operatorService) ConfigHistory(ctx context.Context, p *operators.ConfigHistoryPayload) ([]*operators.HistoryItem, error) {
	records, err := s.entry.store.History(ctx, p.Limit)
	if err != nil {
		return nil, err
	}
	items := make([]*operators.HistoryItem, 0, len(records))
	for _, r := range records {
		items = append(items, &operators.HistoryItem{
			Revision: r.Revision, EditID: r.EditID, Author: r.Author, Time: r.Time.Format(time.RFC3339Nano), Patch: r.Patch,
		})
	}
	return items, nil
}
