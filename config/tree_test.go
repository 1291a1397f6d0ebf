package config

import (
	"os"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a field that is lost or changed by the conversion to a tree and
// back.
func TestTreeKeepsEverything(t *testing.T) {
	for _, file := range []string{"cabina-norte", "taartplateau"} {
		data, err := os.ReadFile("../examples/" + file + ".json")
		require.NoError(t, err)
		c, err := ParseConfig(data)
		require.NoError(t, err)
		tree, err := c.Tree()
		require.NoError(t, err)
		decoded, err := FromTree(tree, 7)
		require.NoError(t, err)
		assert.Equal(t, uint64(7), decoded.Revision)
		treeAgain, err := decoded.Tree()
		require.NoError(t, err)
		assert.Equal(t, string(tree), string(treeAgain))
		assert.ElementsMatch(t, c.Inventory.Targets, decoded.Inventory.Targets)
		assert.ElementsMatch(t, c.Inventory.Customers, decoded.Inventory.Customers)
		assert.ElementsMatch(t, c.Rules.Limits, decoded.Rules.Limits)
		assert.ElementsMatch(t, c.Rules.Idempotent[0].Operations, decoded.Rules.Idempotent[0].Operations)
	}
}

// Guards against a panic on a malformed tree from a store or a peer.
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
