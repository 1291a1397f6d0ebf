package config

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a configuration that is refused because a plain service has a
// model field, which has no meaning there, and against two back ends that serve
// one model.
func TestModelsOfBackends(t *testing.T) {
	service := Backend{Name: "app", Kind: KindService, Model: "m"}
	model := Backend{Name: "lm", Kind: KindModel, Model: "m"}
	for _, c := range []struct {
		backends []Backend
		invalid  int
	}{
		{[]Backend{service, model}, 0},
		{[]Backend{model, service}, 0},
		{[]Backend{model, {Name: "lm-2", Kind: KindModel, Model: "m"}}, 1},
		{[]Backend{{Name: "lm-2", Kind: KindModel}}, 1},
	} {
		k := &referenceChecker{}
		k.checkBackends(&Inventory{Backends: c.backends})
		require.Len(t, k.invalid, c.invalid, fmt.Sprint(c.backends))
	}
}
