package config

import (
	"errors"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const smallConfig = `{
 "inventory": {
  "regions": [{"name": "ebro"}],
  "data_centres": [{"name": "burgos", "region": "ebro"}],
  "entries": [{"name": "e1", "data_centre": "burgos", "http_addr": "127.0.0.1:8080", "peer_addr": "127.0.0.1:9080"}],
  "back_ends": [{"name": "cabina-app", "kind": "service"}, {"name": "pintor-lm", "kind": "model", "model": "pintor"}],
  "targets": [{"name": "app-1", "back_end": "cabina-app", "data_centre": "burgos", "peer_addr": "127.0.0.1:9081"}],
  "customers": [{"name": "taller", "key_sha256": []}]
 },
 "rules": {"idempotent": [{"back_end": "cabina-app", "operations": ["slots"]}]}
}`

// Guards against an operation that no rule names but that is treated as
// idempotent.
func TestUnnamedOperationIsNotIdempotent(t *testing.T) {
	c, err := ParseConfig([]byte(smallConfig))
	require.NoError(t, err)
	assert.True(t, c.IsIdempotent("cabina-app", "slots"))
	assert.False(t, c.IsIdempotent("cabina-app", "book"))
	assert.False(t, c.IsIdempotent("other", "slots"))
}

// Guards against an error that lists only the first invalid field, or omits its
// path or value.
func TestFaultsAreReportedTogether(t *testing.T) {
	for _, tc := range []struct {
		name  string
		edit  func(string) string
		paths []string
	}{
		{"two schema violations", func(s string) string {
			s = strings.Replace(s, `"kind": "service"`, `"kind": "queue"`, 1)
			return strings.Replace(s, `"rules": {`, `"rules": {"extra": 1, `, 1)
		}, []string{"/inventory/back_ends/0/kind", "/rules"}},
		{"two missing references", func(s string) string {
			s = strings.Replace(s, `"region": "ebro"`, `"region": "duero"`, 1)
			return strings.Replace(s, `"back_end": "cabina-app", "data_centre"`, `"back_end": "x", "data_centre"`, 1)
		}, []string{"/inventory/data_centres/0/region", "/inventory/targets/0/back_end"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, err := ParseConfig([]byte(tc.edit(smallConfig)))
			var invalid ValidationError
			require.True(t, errors.As(err, &invalid), "%v", err)
			var paths []string
			for _, f := range invalid {
				paths = append(paths, f.Path)
				assert.NotEmpty(t, f.Value)
				assert.NotEmpty(t, f.Expected)
			}
			assert.Equal(t, tc.paths, paths)
		})
	}
}

// Guards against settings of role target that are accepted without the section
// target.
func TestTargetSettingsNeedTarget(t *testing.T) {
	_, err := ParseSettings([]byte(`{"role":"target","name":"t","data_centre":"d","http_addr":"127.0.0.1:1",
		"peer_addr":"127.0.0.1:2","cluster_key":"0123456789abcdef","platform":{"kv_url":"http://127.0.0.1:3"}}`))
	assert.ErrorContains(t, err, "target")
}

// Guards against a panic of the parser on arbitrary input.
func FuzzParseConfig(f *testing.F) {
	f.Add([]byte(smallConfig))
	f.Add([]byte(`{"inventory":[],"rules":null}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := ParseConfig(data)
		if err == nil && c == nil {
			t.Fatal("no configuration and no error")
		}
	})
}
