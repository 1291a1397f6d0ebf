package config

import (
	"os"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a field that the tree form loses or changes.
func TestTreeKeepsEverything(t *testing.T) {
	for _, file := range []string{"cabina-norte", "taartplateau"} {
		data, err := os.ReadFile("../examples/" + file + ".json")
		require.NoError(t, err)
		c, err := ParseConfig(data)
		require.NoError(t, err)
		tree, err := c.Tree()
		require.NoError(t, err)
		back, err := FromTree(tree, 7)
		require.NoError(t, err)
		assert.Equal(t, uint64(7), back.Revision)
		again, err := back.Tree()
		require.NoError(t, err)
		assert.Equal(t, string(tree), string(again))
		assert.ElementsMatch(t, c.Inventory.Targets, back.Inventory.Targets)
		assert.ElementsMatch(t, c.Inventory.Customers, back.Inventory.Customers)
		assert.ElementsMatch(t, c.Rules.Limits, back.Rules.Limits)
		assert.ElementsMatch(t, c.Rules.Idempotent[0].Operations, back.Rules.Idempotent[0].Operations)
	}
}

// Guards against a crash on a tree from a damaged store or peer.
func FuzzFromTree(f *testing.F) {
	f.Add([]byte(`{"inventory":{"regions":{"a":{}},"targets":{"t":1}},"rules":{"idempotent":{"b":{"operations":{"x":true}}}}}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, tree []byte) {
		c, err := FromTree(tree, 1)
		if err != nil {
			return
		}
		if _, err := c.Tree(); err != nil {
			t.Fatal(err)
		}
	})
}
