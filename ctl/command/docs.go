package command

import (
	"fmt"
	"io"
	"os"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
	"github.com/spf13/cobra/doc"

	"github.com/skylarkstep/skylarkstep/config"
)

func docsCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "docs",
		Short: "Write the man pages and the page of settings",
	}
	cmd.AddCommand(
		&cobra.Command{
			Use:     "settings",
			Short:   "Write every setting with its type and range as Markdown (docs/SETTINGS.md)",
			Example: "  skylarkctl docs settings > docs/SETTINGS.md",
			Args:    cobra.NoArgs,
			RunE:    func(cmd *cobra.Command, _ []string) error { return WriteSettings(cmd.OutOrStdout()) },
		},
		&cobra.Command{
			Use:     "man DIR",
			Short:   "Write the man pages of all commands into a directory",
			Example: "  skylarkctl docs man /usr/local/share/man/man1",
			Args:    cobra.ExactArgs(1),
			RunE: func(cmd *cobra.Command, args []string) error {
				if err := os.MkdirAll(args[0], 0o755); err != nil {
					return errors.Wrap(err, "man pages")
				}
				header := &doc.GenManHeader{Title: "SKYLARKCTL", Section: "1"}
				return errors.Wrap(doc.GenManTree(cmd.Root(), header, args[0]), "man pages")
			},
		},
	)
	return cmd
}

// WriteSettings writes docs/SETTINGS.md: the settings of a process and the
// fields of the configuration, taken from the schemas.
func WriteSettings(w io.Writer) error {
	_, err := fmt.Fprint(w, "# Settings\n\nThis page is written by `skylarkctl docs settings` from the schemas that the code validates with.\n")
	if err != nil {
		return errors.WithStack(err)
	}
	for _, part := range []struct {
		title string
		rows  []config.FieldDescription
	}{
		{"Settings of a process (`skylarkd run FILE`)", config.DescribeSettings()},
		{"Configuration (inventory and rules)", config.DescribeConfig()},
	} {
		_, _ = fmt.Fprintf(w, "\n## %s\n\n| path | type | range | required | description |\n|---|---|---|---|---|\n", part.title)
		for _, r := range part.rows {
			required := "no"
			if r.Required {
				required = "yes"
			}
			if _, err := fmt.Fprintf(w, "| `%s` | %s | %s | %s | %s |\n", r.Path, r.Type, r.Range, required, r.Description); err != nil {
				return errors.WithStack(err)
			}
		}
	}
	return nil
}
