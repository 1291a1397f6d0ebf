package entry

import (
	"bytes"
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
	"github.com/skylarkstep/skylarkstep/errkind"
)

// operatorService implements the goa service for operators.
type operatorService struct{ entry *Entry }

// JWTAuth implements operators.Auther.
func (s *operatorService) JWTAuth(ctx context.Context, token string, _ *security.JWTScheme) (context.Context, error) {
	sum := sha256.Sum256([]byte(token))
	got := []byte(hex.EncodeToString(sum[:]))
	for _, o := range s.entry.settings.Operators {
		if subtle.ConstantTimeCompare(got, []byte(o.TokenSHA256)) == 1 {
			return ctx, nil
		}
	}
	return ctx, errkind.New(errkind.Unauthenticated, "the bearer token belongs to no operator")
}

// GetConfig returns the configuration in force.
func (s *operatorService) GetConfig(_ context.Context, _ *operators.GetConfigPayload) (*operators.ConfigDocument, error) {
	snap, err := s.entry.ready()
	if err != nil {
		return nil, err
	}
	return &operators.ConfigDocument{Revision: snap.config.Revision, Document: snap.config}, nil
}

// ApplyConfig accepts a configuration.
func (s *operatorService) ApplyConfig(ctx context.Context, p *operators.ApplyConfigPayload) (*operators.ConfigAccepted, error) {
	document, err := json.Marshal(p.Document)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.InvalidRequest, "document")
	}
	revision, err := s.entry.apply(ctx, p.BaseRevision, document)
	if err != nil {
		return nil, err
	}
	return &operators.ConfigAccepted{Revision: revision}, nil
}

// ConfigStatus tells which processes have the revision in force.
func (s *operatorService) ConfigStatus(ctx context.Context, _ *operators.ConfigStatusPayload) (*operators.RevisionStatus, error) {
	answer := make(chan *operators.RevisionStatus, 1)
	s.entry.post(ctx, func(c *control) { answer <- c.status() })
	select {
	case st := <-answer:
		return st, nil
	case <-ctx.Done():
		return nil, errkind.From(ctx.Err())
	}
}

func (c *control) status() *operators.RevisionStatus {
	st := &operators.RevisionStatus{Revision: c.revision(), StoreReachable: true}
	st.Processes = append(st.Processes, &operators.ProcessRevision{
		Name:        c.entry.node.Name,
		Role:        string(c.entry.node.Role),
		DataCentre:  c.entry.node.DataCentre,
		State:       "ready",
		Incarnation: fmt.Sprintf("%x", c.entry.node.Incarnation),
		Revision:    c.revision(),
		InForce:     true,
	})
	if c.config == nil {
		return st
	}
	for _, en := range c.config.Inventory.Entries {
		if en.Name != c.entry.node.Name {
			st.Processes = append(st.Processes, c.entryStatus(en))
		}
	}
	for _, t := range c.config.Inventory.Targets {
		st.Processes = append(st.Processes, c.targetStatus(t))
	}
	return st
}

func (c *control) targetStatus(t config.Target) *operators.ProcessRevision {
	p := &operators.ProcessRevision{Name: t.Name, Role: string(config.RoleTarget), DataCentre: t.DataCentre, State: "gone"}
	m := c.members[t.Name]
	if m == nil {
		return p
	}
	p.State = "ready"
	p.Incarnation = fmt.Sprintf("%x", m.incarnation)
	p.Revision = m.heartbeat.GetRevision()
	p.InForce = p.Revision >= c.revision()
	p.HeardMsAgo = time.Since(m.heardAt).Milliseconds()
	return p
}

func (c *control) entryStatus(en config.Entry) *operators.ProcessRevision {
	p := &operators.ProcessRevision{Name: en.Name, Role: string(config.RoleEntry), DataCentre: en.DataCentre, State: "gone"}
	m := c.peers[en.Name]
	if m == nil || len(m.sessions) == 0 {
		return p
	}
	p.State = "ready"
	if m.leaving() {
		p.State = "leaving"
	}
	p.Incarnation = fmt.Sprintf("%x", m.incarnation)
	p.Revision = m.heartbeat.GetRevision()
	p.InForce = p.Revision >= c.revision()
	p.HeardMsAgo = time.Since(m.heardAt).Milliseconds()
	return p
}

// ConfigHistory lists the accepted changes.
func (s *operatorService) ConfigHistory(context.Context, *operators.ConfigHistoryPayload) ([]*operators.HistoryItem, error) {
	return []*operators.HistoryItem{}, nil
}

func encode(c *config.Config) ([]byte, error) {
	var b bytes.Buffer
	if err := json.NewEncoder(&b).Encode(c); err != nil {
		return nil, errkind.Wrap(err, errkind.Internal, "encode configuration")
	}
	return b.Bytes(), nil
}
