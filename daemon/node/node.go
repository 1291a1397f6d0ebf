package node

import (
	"crypto/rand"
	"encoding/binary"
	"io"
	"log/slog"
	"strconv"

	"github.com/rcrowley/go-metrics"

	"github.com/skylarkstep/skylarkstep/config"
	"github.com/skylarkstep/skylarkstep/timeline"
	"github.com/skylarkstep/skylarkstep/wire/wirepb"
)

// eventRingSize is the number of events that are kept: about 300 bytes each, 5 MB
// in total.
const eventRingSize = 16384

// Node holds the identity of one process and the parts that all roles share. The
// incarnation is drawn at random at each start, so that a restarted process is
// not mistaken for its predecessor.
type Node struct {
	Name        string
	Role        config.Role
	DataCentre  string
	Incarnation uint64
	ClusterKey  []byte
	Clock       *timeline.Clock
	Events      *timeline.Recorder
	Log         *slog.Logger
	Metrics     metrics.Registry
}

// New returns the node described by the settings. It logs JSON lines to w.
func New(s *config.Settings, w io.Writer) *Node {
	clock := &timeline.Clock{}
	incarnation := newIncarnation()
	log := newLogger(w, parseLevel(s.LogLevel)).With(
		"process", s.Name,
		"role", string(s.Role),
		"data_centre", s.DataCentre,
		"incarnation", strconv.FormatUint(incarnation, 16),
	)
	return &Node{
		Name:        s.Name,
		Role:        s.Role,
		DataCentre:  s.DataCentre,
		Incarnation: incarnation,
		ClusterKey:  []byte(s.ClusterKey),
		Clock:       clock,
		Events:      timeline.NewRecorder(clock, s.Name, s.DataCentre, incarnation, eventRingSize),
		Log:         log,
		Metrics:     metrics.NewRegistry(),
	}
}

// Hello returns the first message of a session.
func (n *Node) Hello(revision uint64) *wirepb.Hello {
	return &wirepb.Hello{
		Instance:    n.Name,
		Role:        string(n.Role),
		DataCentre:  n.DataCentre,
		Incarnation: n.Incarnation,
		Revision:    revision,
		Hlc:         uint64(n.Clock.Now()),
	}
}

// newIncarnation returns a random non-zero number. Zero means any incarnation.
func newIncarnation() uint64 {
	for {
		var b [8]byte
		_, _ = rand.Read(b[:])
		if n := binary.BigEndian.Uint64(b[:]); n != 0 {
			return n
		}
	}
}

func parseLevel(name string) slog.Level {
	var l slog.Level
	if name == "" || l.UnmarshalText([]byte(name)) != nil {
		return slog.LevelInfo
	}
	return l
}
