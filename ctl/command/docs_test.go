package command

import (
	"bytes"
	"os"
	"testing"

	"github.com/spf13/cobra"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a page of settings that differs from the schemas. Regenerate it
// with: go run ./ctl/cmd/skylarkctl docs settings > docs/SETTINGS.md
func TestSettingsPageIsCurrent(t *testing.T) {
	var want bytes.Buffer
	require.NoError(t, WriteSettings(&want))
	got, err := os.ReadFile("../../docs/SETTINGS.md")
	require.NoError(t, err)
	assert.Equal(t, want.String(), string(got))
}

// Guards against a command without an example or a summary in its help.
func TestCommandsHaveExamples(t *testing.T) {
	var check func(c *cobra.Command)
	check = func(c *cobra.Command) {
		if c.Runnable() {
			assert.NotEmpty(t, c.Example, c.CommandPath())
		}
		assert.NotEmpty(t, c.Short, c.CommandPath())
		for _, sub := range c.Commands() {
			check(sub)
		}
	}
	check(Root())
}
