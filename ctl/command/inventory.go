package command

import (
	"encoding/json"
	"io"
	"os"
	"strings"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/skylarkstep/skylarkstep/config/register"
	"github.com/skylarkstep/skylarkstep/errkind"
)

func inventoryCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "inventory", Short: "Work on the inventory of a configuration file"}
	cmd.AddCommand(importCommand())
	return cmd
}

func importCommand() *cobra.Command {
	var mappingFile, baseFile, output string
	cmd := &cobra.Command{
		Use:   "import EXPORT",
		Short: "Import the export of an asset register into a configuration file",
		Long: "Reads a CSV export with a header line or, if the file name ends in .json, an array of flat JSON objects.\n" +
			"Writes the base configuration to standard output, with its entries and targets replaced by those of the\n" +
			"export. Every validation error is listed with its row and column; in that case no configuration is\n" +
			"written, and the exit code is 2.",
		Example: "  skylarkctl inventory import assets.csv --mapping mapping.json --base cabina-norte.json > next.json\n" +
			"  skylarkctl inventory import assets.json --mapping mapping.json --base cabina-norte.json --output json",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			err := runImport(cmd.OutOrStdout(), args[0], mappingFile, baseFile)
			var validationErrors register.ValidationError
			if output == "json" && errors.As(err, &validationErrors) {
				enc := json.NewEncoder(cmd.ErrOrStderr())
				enc.SetIndent("", "  ")
				_ = enc.Encode(validationErrors)
			}
			return err
		},
	}
	cmd.Flags().StringVar(&mappingFile, "mapping", "", "mapping file (required)")
	cmd.Flags().StringVar(&baseFile, "base", "", "configuration file to import into (required)")
	cmd.Flags().StringVar(&output, "output", "text", "format of validation errors: text or json")
	_ = cmd.MarkFlagRequired("mapping")
	_ = cmd.MarkFlagRequired("base")
	return cmd
}

// runImport imports the export into the base configuration and writes the result
// to out.
func runImport(out io.Writer, export, mappingFile, baseFile string) error {
	base, err := readConfig(baseFile)
	if err != nil {
		return err
	}
	data, err := os.ReadFile(mappingFile)
	if err != nil {
		return errkind.Wrap(err, errkind.InvalidRequest, "read mapping")
	}
	mapping, err := register.ParseMapping(data)
	if err != nil {
		return err
	}
	f, err := os.Open(export)
	if err != nil {
		return errkind.Wrap(err, errkind.InvalidRequest, "read export")
	}
	defer func() { _ = f.Close() }()
	read := register.ReadCSV
	if strings.HasSuffix(export, ".json") {
		read = register.ReadJSON
	}
	rows, err := read(f)
	if err != nil {
		return errors.WithMessage(err, export)
	}
	next, err := register.Import(base, mapping, rows)
	if err != nil {
		return errors.WithMessage(err, export)
	}
	enc := json.NewEncoder(out)
	enc.SetIndent("", "  ")
	return errors.WithStack(enc.Encode(next))
}
