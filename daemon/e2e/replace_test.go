package e2e

import (
	"encoding/json"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// targetStatus returns the state and incarnation of a target according to an
// entry.
func (k *cluster) targetStatus(entry int, name string) (state, incarnation string) {
	res, err := k.request(http.MethodGet, k.entryURL(entry)+"/v1/config/status", operatorToken, nil, nil)
	var st struct {
		Processes []struct{ Name, State, Incarnation string }
	}
	if err != nil || json.Unmarshal(res.body, &st) != nil {
		return "", ""
	}
	for _, p := range st.Processes {
		if p.Name == name {
			return p.State, p.Incarnation
		}
	}
	return "", ""
}

// Guards against mistaking a process for its predecessor on the same address, and
// against sending work to a process that keeps restarting.
func TestInstanceReplacedOnSameAddress(t *testing.T) {
	k := startCluster(t, twoByTwoConfig(t))
	name := "cabina-app-burgos"
	target, ok := k.config.Target(name)
	require.True(t, ok)
	_, first := k.targetStatus(0, name)
	for _, want := range []string{"ready", "flapping"} {
		k.kill(name)
		require.Eventually(t, func() bool { s, _ := k.targetStatus(0, name); return s == "gone" }, waitTimeout, waitTimeout/1000)
		k.startTarget(target)
		require.Eventually(t, func() bool { s, _ := k.targetStatus(0, name); return s == want }, waitTimeout, waitTimeout/1000, want)
		_, next := k.targetStatus(0, name)
		assert.NotEqual(t, first, next)
		first = next
	}
	k.waitActive(1)
	before := k.startedWork("burgos")
	for range 20 {
		res, err := k.request(http.MethodPost, k.entryURL(0)+"/v1/services/cabina-app/book", customerKey, nil, []byte(`{}`))
		require.NoError(t, err)
		assert.Equal(t, http.StatusOK, res.status, "%s", res.body)
	}
	assert.Equal(t, before, k.startedWork("burgos"), "a flapping target must not receive new work")
}
