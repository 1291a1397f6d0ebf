package config

import "time"

// Role is the part that a daemon plays.
type Role string

// The roles of skylarkd.
const (
	RoleEntry  Role = "entry"
	RoleTarget Role = "target"
)

// Settings are what one process is told at start.
type Settings struct {
	Role       Role           `json:"role"`
	Name       string         `json:"name"`
	DataCentre string         `json:"data_centre"`
	HTTPAddr   string         `json:"http_addr"`
	PeerAddr   string         `json:"peer_addr"`
	ClusterKey string         `json:"cluster_key"`
	Platform   Platform       `json:"platform"`
	Peers      []string       `json:"peers,omitempty"`
	Operators  []Operator     `json:"operators,omitempty"`
	Target     TargetSettings `json:"target,omitzero"`
	LogLevel   string         `json:"log_level,omitempty"`
	// StopTimeoutMs is the longest time a planned stop may take.
	StopTimeoutMs int `json:"stop_bound_ms,omitempty"`
}

// Platform holds the addresses of the platform's services.
type Platform struct {
	KVURL           string `json:"kv_url"`
	InstanceListURL string `json:"instance_list_url,omitempty"`
	WeightStoreURL  string `json:"weight_store_url,omitempty"`
}

// Operator may change the configuration.
type Operator struct {
	Name        string `json:"name"`
	TokenSHA256 string `json:"token_sha256"`
}

// TargetSettings belong to the target role.
type TargetSettings struct {
	Backend   string      `json:"back_end,omitempty"`
	Kind      BackendKind `json:"kind,omitempty"`
	EngineURL string      `json:"engine_url,omitempty"`
	Group     string      `json:"group,omitempty"`
	// ChecksFencing says that the engine of the group refuses lower fencing
	// numbers by itself. The target process checks for engines that do not.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
}

// DefaultStopTimeout is the longest time a planned stop takes by default.
const DefaultStopTimeout = 120 * time.Second

// StopTimeout returns the longest time that a planned stop may take.
func (s *Settings) StopTimeout() time.Duration {
	if s.StopTimeoutMs == 0 {
		return DefaultStopTimeout
	}
	return time.Duration(s.StopTimeoutMs) * time.Millisecond
}
