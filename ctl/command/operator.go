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

// Environment variables with the connection settings. There is no flag for the
// token, because arguments show up in the process list.
const (
	entriesVariable = "SKYLARK_ENTRIES"
	tokenVariable   = "SKYLARK_TOKEN"
)

// operatorFlags are the flags of commands that talk to entries: the entries and
// the output format.
type operatorFlags struct {
	entries []string
	output  string
}

func (f *operatorFlags) register(cmd *cobra.Command) {
	cmd.PersistentFlags().StringSliceVar(&f.entries, "entry", nil,
		"base URLs of entries, used in this order (default: $"+entriesVariable+")")
	cmd.PersistentFlags().StringVar(&f.output, "output", "text", "output format: text or json")
}

// client returns a client for the entries of --entry or of the environment. It
// fails if neither names an entry or the output format is unknown.
func (f *operatorFlags) client() (*client.Client, error) {
	if f.output != "text" && f.output != "json" {
		return nil, errkind.New(errkind.InvalidRequest, "--output is %q, expected text or json", f.output)
	}
	entries := f.entries
	if len(entries) == 0 && os.Getenv(entriesVariable) != "" {
		entries = strings.Split(os.Getenv(entriesVariable), ",")
	}
	if len(entries) == 0 {
		return nil, errkind.New(errkind.InvalidRequest, "no entry is given; use --entry or $%s", entriesVariable)
	}
	for i := range entries {
		entries[i] = strings.TrimSuffix(entries[i], "/")
	}
	return client.New(entries, os.Getenv(tokenVariable)), nil
}

// print writes v to out as JSON, or calls text for the text format.
func (f *operatorFlags) print(out io.Writer, v any, text func(io.Writer)) error {
	if f.output != "json" {
		text(out)
		return nil
	}
	enc := json.NewEncoder(out)
	enc.SetIndent("", "  ")
	return errors.WithStack(enc.Encode(v))
}
