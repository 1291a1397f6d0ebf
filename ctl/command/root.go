package command

import (
	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/skylarkstep/skylarkstep/errkind"
)

// Exit codes of skylarkctl.
const (
	ExitOK          = 0
	ExitFailure     = 1
	ExitInvalid     = 2 // the document or the arguments have faults
	ExitConflict    = 3 // another edit was accepted first
	ExitUnavailable = 4 // no entry or no key-value service answered
	ExitNotActive   = 5 // not in force everywhere within the bound, or status found problems
)

// Root returns the root command.
func Root() *cobra.Command {
	root := &cobra.Command{
		Use:           "skylarkctl",
		Short:         "Operates a skylarkstep deployment",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(
		overviewCommand(), configCommand(), inventoryCommand(), zoneCommand(), groupsCommand(),
		timelineCommand(), explainCommand(),
		devCommand(), loadCommand(), experimentCommand(), benchCommand(), benchServeCommand(), docsCommand(),
	)
	return root
}

// ExitCode returns the exit code for the error of a command.
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
