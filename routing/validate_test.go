package routing

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a configuration that decodes and cannot be applied, which would send
// requests to another back end than meant, or to none.
func TestValidateConfig(t *testing.T) {
	valid := func() Config {
		return Config{Version: 3, Routes: []Route{
			{Name: "a", Host: "h", Prefix: "/a/", Timeout: time.Second, Split: []WeightedBackend{{"x", 90}, {"y", 0}}},
			{Name: "b", Host: "h", Prefix: "/", Split: []WeightedBackend{{"x", 1}}},
		}}
	}
	c := valid()
	require.NoError(t, c.Validate())
	empty := Config{Version: 1}
	require.NoError(t, empty.Validate(), "all routes may be removed")
	for name, change := range map[string]func(*Config){
		"no version":         func(c *Config) { c.Version = 0 },
		"negative version":   func(c *Config) { c.Version = -4 },
		"no host":            func(c *Config) { c.Routes[0].Host = "" },
		"no prefix":          func(c *Config) { c.Routes[0].Prefix = "" },
		"relative prefix":    func(c *Config) { c.Routes[0].Prefix = "a/" },
		"same prefix":        func(c *Config) { c.Routes[1].Prefix, c.Routes[1].Host = "/a/", "H" },
		"no weight":          func(c *Config) { c.Routes[0].Split[0].Weight = 0 },
		"negative weight":    func(c *Config) { c.Routes[0].Split[1].Weight = -1 },
		"overflowing weight": func(c *Config) { c.Routes[0].Split[0].Weight, c.Routes[0].Split[1].Weight = math.MaxInt, 1 },
		"no back end":        func(c *Config) { c.Routes[0].Split = nil },
		"unnamed back end":   func(c *Config) { c.Routes[0].Split[0].Backend = "" },
		"negative timeout":   func(c *Config) { c.Routes[0].Timeout = -1 },
		"endless timeout":    func(c *Config) { c.Routes[0].Timeout = math.MaxInt64 },
		"endless goal":       func(c *Config) { c.Routes[0].LatencyGoal = math.MaxInt64 },
		"endless gap":        func(c *Config) { c.Routes[0].GapGoal = math.MaxInt64 },
	} {
		c := valid()
		change(&c)
		require.Error(t, c.Validate(), name)
	}
}
