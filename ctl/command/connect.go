package command

import (
	"encoding/json"
	"io"
	"os"
	"strings"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/skylarkstep/skylarkstep/ctl/client"
	"github.com/skylarkstep/skylarkstep/errkind"
)

// Environment variables that give the connection.
const (
	envEntries = "SKYLARK_ENTRIES"
	envToken   = "SKYLARK_TOKEN" //nolint:gosec // the name of a variable, not a credential
)

// connection holds the flags of commands that talk to entries.
type connection struct {
	entries []string
	token   string
	output  string
}

// addFlags adds --entry, --token and --output to a command.
func (c *connection) addFlags(cmd *cobra.Command) {
	cmd.Flags().StringSliceVar(&c.entries, "entry", splitList(os.Getenv(envEntries)),
		"base URL of an entry, may be repeated (default: $"+envEntries+")")
	cmd.Flags().StringVar(&c.token, "token", os.Getenv(envToken), "operator token (default: $"+envToken+")")
	cmd.Flags().StringVar(&c.output, "output", "text", "output format: text or json")
	cmd.Flags().Lookup("token").DefValue = ""
}

func (c *connection) client() (*client.Client, error) {
	if c.output != "text" && c.output != "json" {
		return nil, errkind.New(errkind.InvalidRequest, "--output is %q, expected text or json", c.output)
	}
	if len(c.entries) == 0 {
		return nil, errkind.New(errkind.InvalidRequest, "no entry is given; use --entry or $%s", envEntries)
	}
	return client.New(c.entries, c.token), nil
}

// print writes v as JSON, or calls text for the readable form.
func (c *connection) print(out io.Writer, v any, text func(io.Writer) error) error {
	if c.output == "json" {
		enc := json.NewEncoder(out)
		enc.SetIndent("", "  ")
		return errors.WithStack(enc.Encode(v))
	}
	return text(out)
}

func splitList(s string) []string {
	if s == "" {
		return nil
	}
	return strings.Split(s, ",")
}
