package command

import (
	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/skylarkstep/skylarkstep/errkind"
)

// Exit codes of skylarkctl. They are listed in the help of the config command.
const (
	ExitOK          = 0
	ExitFailure     = 1
	ExitInvalid     = 2 // invalid document or arguments
	ExitConflict    = 3 // another edit was accepted first
	ExitUnavailable = 4 // no entry responded, or the key-value store did not
	ExitNotActive   = 5 // a revision is not active in every process within the timeout, or status found problems
)

// Root returns the skylarkctl command with all its subcommands.
func Root() *cobra.Command {
	root := &cobra.Command{
		Use:           "skylarkctl",
		Short:         "Operate a skylarkstep deployment",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(
		overviewCommand(), configCommand(), inventoryCommand(), zoneCommand(), groupsCommand(),
		timelineCommand(), explainCommand(), quarantineCommand(),
		devCommand(), loadCommand(), experimentCommand(), benchCommand(), benchServeCommand(), docsCommand(),
	)
	return root
}

// ExitCode maps the error that a command returned to an exit code.
func ExitCode(err error) int {
	if err == nil {
		return ExitOK
	}
	var notActive *notActiveError
	var problems *problemsError
	if errors.As(err, &notActive) || errors.As(err, &problems) {
		return ExitNotActive
	}
	switch errkind.KindOf(err) {
	case errkind.InvalidConfig, errkind.InvalidRequest:
		return ExitInvalid
	case errkind.RevisionConflict, errkind.RevisionStale:
		return ExitConflict
	case errkind.StoreUnavailable, errkind.NotReady, errkind.TargetUnreachable, errkind.Isolated:
		return ExitUnavailable
	default:
		return ExitFailure
	}
}
