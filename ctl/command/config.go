package command

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/skylarkstep/skylarkstep/config"
	"github.com/skylarkstep/skylarkstep/ctl/client"
	"github.com/skylarkstep/skylarkstep/errkind"
)

const (
	// defaultWaitTimeout is the default time to wait until a revision is active
	// in every process.
	defaultWaitTimeout = 10 * time.Second
	// statusInterval is the pause between two status requests while waiting.
	statusInterval = 100 * time.Millisecond
)

func configCommand() *cobra.Command {
	f := &operatorFlags{}
	cmd := &cobra.Command{
		Use:   "config",
		Short: "Check, change and monitor the configuration",
		Long: "Exit codes: 0 success, 1 other failure, 2 invalid document or arguments, 3 another edit was accepted\n" +
			"first, 4 no entry responded, or the key-value store did not, 5 not active everywhere within the timeout.",
	}
	f.register(cmd)
	cmd.AddCommand(showCommand(f), validateCommand(f), diffCommand(f), applyCommand(f), statusCommand(f), historyCommand(f),
		rollbackCommand(f), waitCommand(f))
	return cmd
}

// readConfig reads and validates a configuration file.
func readConfig(file string) (*config.Config, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.InvalidRequest, "read configuration")
	}
	c, err := config.ParseConfig(data)
	return c, errors.WithMessage(err, file)
}

func validateCommand(f *operatorFlags) *cobra.Command {
	return &cobra.Command{
		Use:     "validate FILE",
		Short:   "Check a configuration file locally, without an entry",
		Example: "  skylarkctl config validate cabina-norte.json --output json",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			_, err := readConfig(args[0])
			validationErrors := config.ValidationError{}
			if err != nil && !errors.As(err, &validationErrors) {
				return err
			}
			if f.output == "json" {
				if perr := f.print(cmd.OutOrStdout(), validationErrors, nil); perr != nil {
					return perr
				}
				return err
			}
			if err == nil {
				_, _ = fmt.Fprintf(cmd.OutOrStdout(), "%s is valid\n", args[0])
			}
			return err
		},
	}
}

// diffFromActive returns the active configuration and the merge patch from it to
// c. Before the first configuration is accepted, the patch starts from an empty
// document.
func diffFromActive(ctx context.Context, cl *client.Client, c *config.Config) (*client.ConfigDocument, []byte, error) {
	doc, err := cl.Config(ctx)
	if errkind.KindOf(err) == errkind.NotReady {
		doc, err = &client.ConfigDocument{}, nil
	}
	if err != nil {
		return nil, nil, err
	}
	from := []byte("{}")
	if doc.Document != nil {
		if from, err = doc.Document.Tree(); err != nil {
			return nil, nil, err
		}
	}
	to, err := c.Tree()
	if err != nil {
		return nil, nil, err
	}
	patch, err := config.Diff(from, to)
	return doc, patch, err
}

// showCommand returns the command that writes the active configuration as a file
// for config apply. The file includes the revision that an edit is based on.
func showCommand(f *operatorFlags) *cobra.Command {
	return &cobra.Command{
		Use:     "show",
		Short:   "Write the active configuration as the starting point of an edit",
		Example: "  skylarkctl config show > cabina-norte.json",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			cl, err := f.client()
			if err != nil {
				return err
			}
			doc, err := cl.Config(cmd.Context())
			if err != nil {
				return err
			}
			doc.Document.Revision = doc.Revision
			enc := json.NewEncoder(cmd.OutOrStdout())
			enc.SetIndent("", "  ")
			return errors.WithStack(enc.Encode(doc.Document))
		},
	}
}

func diffCommand(f *operatorFlags) *cobra.Command {
	return &cobra.Command{
		Use:     "diff FILE",
		Short:   "Show what applying a file would change, as a JSON merge patch",
		Example: "  skylarkctl config diff cabina-norte.json",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			c, err := readConfig(args[0])
			if err != nil {
				return err
			}
			cl, err := f.client()
			if err != nil {
				return err
			}
			_, patch, err := diffFromActive(cmd.Context(), cl, c)
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(cmd.OutOrStdout(), "%s\n", patch)
			return errors.WithStack(err)
		},
	}
}

// editFlags are the flags of the commands that change the configuration.
type editFlags struct {
	client.Edit
	wait    bool
	timeout time.Duration
}

func (e *editFlags) register(cmd *cobra.Command) {
	cmd.Flags().Uint64Var(&e.Base, "base", 0, "revision that the edit is based on (default: for apply that of the file, for rollback the active one)")
	cmd.Flags().StringVar(&e.ID, "edit-id", "", "id of the edit; use the same id to retry after a lost response (default: random)")
	cmd.Flags().BoolVar(&e.AllowNoService, "allow-no-service", false, "accept even if a customer is left with no data centre")
	cmd.Flags().BoolVar(&e.AllowMinority, "allow-minority", false, "accept at an entry that receives heartbeats from fewer than a majority of the entries")
	cmd.Flags().BoolVar(&e.wait, "wait", false, "wait until the revision is active in every process")
	cmd.Flags().DurationVar(&e.timeout, "bound", defaultWaitTimeout, "longest time to wait")
}

// printAndWait prints the accepted revision and, with --wait, waits until it is
// active in every process.
func (e *editFlags) printAndWait(cmd *cobra.Command, f *operatorFlags, cl *client.Client, a *client.Accepted) error {
	if err := f.print(cmd.OutOrStdout(), a, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "revision %d accepted, edit id %s\n", a.Revision, e.ID)
	}); err != nil {
		return err
	}
	if !e.wait {
		return nil
	}
	return waitActive(cmd.Context(), cl, cmd.ErrOrStderr(), a.Revision, e.timeout)
}

func applyCommand(f *operatorFlags) *cobra.Command {
	var e editFlags
	cmd := &cobra.Command{
		Use:   "apply FILE",
		Short: "Replace the configuration by that of a file",
		Example: "  skylarkctl config apply cabina-norte.json --wait\n" +
			"  skylarkctl config apply cabina-norte.json --base 41 --edit-id 2026-12-04-burgos",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			c, err := readConfig(args[0])
			if err != nil {
				return err
			}
			cl, err := f.client()
			if err != nil {
				return err
			}
			if !cmd.Flags().Changed("base") {
				// Don't default to the active revision: a file based on an earlier
				// revision would then undo the edits made since without a conflict.
				if c.Revision == 0 {
					return errkind.New(errkind.InvalidRequest,
						"%s names no revision that the edit is based on; use --base, or start from the output of config show", args[0])
				}
				e.Base = c.Revision
			}
			if e.ID == "" {
				e.ID = rand.Text()
			}
			e.Document = c
			a, err := cl.Apply(cmd.Context(), e.Edit)
			if err != nil {
				return errors.WithMessagef(err, "edit id %s", e.ID)
			}
			return e.printAndWait(cmd, f, cl, a)
		},
	}
	e.register(cmd)
	return cmd
}

func rollbackCommand(f *operatorFlags) *cobra.Command {
	var e editFlags
	cmd := &cobra.Command{
		Use:     "rollback REVISION",
		Short:   "Accept the content of an earlier revision as a new, higher one",
		Example: "  skylarkctl config rollback 41 --wait",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			to, err := strconv.ParseUint(args[0], 10, 64)
			if err != nil {
				return errkind.Wrap(err, errkind.InvalidRequest, "REVISION")
			}
			cl, err := f.client()
			if err != nil {
				return err
			}
			if !cmd.Flags().Changed("base") {
				doc, err := cl.Config(cmd.Context())
				if err != nil {
					return err
				}
				e.Base = doc.Revision
			}
			if e.ID == "" {
				e.ID = rand.Text()
			}
			a, err := cl.Rollback(cmd.Context(), to, e.Edit)
			if err != nil {
				return errors.WithMessagef(err, "edit id %s", e.ID)
			}
			return e.printAndWait(cmd, f, cl, a)
		},
	}
	e.register(cmd)
	return cmd
}
