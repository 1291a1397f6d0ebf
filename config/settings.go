package config

import "time"

// Role is the role of a skylarkd process.
type Role string

// The roles of skylarkd.
const (
	RoleEntry  Role = "entry"
	RoleTarget Role = "target"
)

// Settings are the start-up settings of one process.
type Settings struct {
	Role Role `json:"role"`
	// Name is the name of this entry or target in the inventory.
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	// HTTPAddr is the listener for callers and operators (entry) or for metrics and
	// events (target). PeerAddr is the listener for other skylarkstep processes.
	HTTPAddr string `json:"http_addr"`
	PeerAddr string `json:"peer_addr"`
	// ClusterKey is shared by all skylarkstep processes of the deployment.
	ClusterKey string   `json:"cluster_key"`
	Platform   Platform `json:"platform"`
	// Peers are the peer addresses of entries from which this process can receive the
	// configuration at start.
	Peers     []string       `json:"peers,omitempty"`
	Operators []Operator     `json:"operators,omitempty"`
	Target    TargetSettings `json:"target,omitzero"`
	LogLevel  string         `json:"log_level,omitempty"`
	// StopTimeoutMs is the longest time that a planned stop may take.
	StopTimeoutMs int `json:"stop_bound_ms,omitempty"`
}

// Platform holds the URLs of the platform's services.
type Platform struct {
	KVURL           string `json:"kv_url"`
	InstanceListURL string `json:"instance_list_url,omitempty"`
	WeightStoreURL  string `json:"weight_store_url,omitempty"`
}

// Operator is a person or tool that may change the configuration.
type Operator struct {
	Name        string `json:"name"`
	TokenSHA256 string `json:"token_sha256"`
}

// TargetSettings are the settings of processes with the role target.
type TargetSettings struct {
	Backend   string      `json:"back_end,omitempty"`
	Kind      BackendKind `json:"kind,omitempty"`
	EngineURL string      `json:"engine_url,omitempty"`
	Group     string      `json:"group,omitempty"`
	// ChecksFencing states that the group's engine itself rejects lower fencing
	// numbers. For engines that do not, the target process checks them.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
}

// DefaultStopTimeout is the longest time that a planned stop may take by default.
const DefaultStopTimeout = 120 * time.Second

// StopTimeout returns the longest time that a planned stop may take.
func (s *Settings) StopTimeout() time.Duration {
	if s.StopTimeoutMs == 0 {
		return DefaultStopTimeout
	}
	return time.Duration(s.StopTimeoutMs) * time.Millisecond
}
