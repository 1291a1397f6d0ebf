package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/skylarkstep/skylarkstep/errkind"
	"github.com/skylarkstep/skylarkstep/gateway"
	"github.com/skylarkstep/skylarkstep/gateway/crashguard"
	"github.com/skylarkstep/skylarkstep/infra/httpclient"
)

const (
	// quarantineTimeout limits one call to an instance.
	quarantineTimeout = 3 * time.Second
	// maxQuarantineList limits the list in bytes.
	maxQuarantineList = 4 << 20
)

// quarantineCommand returns the command for parts of prompts that crash targets.
func quarantineCommand() *cobra.Command {
	var address string
	cmd := &cobra.Command{
		Use:   "quarantine",
		Short: "List, add and clear parts of prompts that crash targets (users' platform)",
		Long: "Asks one gateway at its metrics address. It tells the other instances, so one call is enough. A part that\n" +
			"is added or cleared by hand stays so until the evidence against it changes, or for ten minutes.",
	}
	cmd.PersistentFlags().StringVar(&address, "address", "", "metrics address of a gateway, such as http://10.0.0.1:9464")
	cmd.AddCommand(
		&cobra.Command{
			Use: "list", Short: "Show the parts, their crashes and who reported them", Args: cobra.NoArgs,
			Example: "  skylarkctl quarantine list --address http://10.0.0.1:9464",
			RunE: func(cmd *cobra.Command, _ []string) error {
				list, err := fetchQuarantine(cmd.Context(), address)
				if err != nil {
					return err
				}
				return writeQuarantine(cmd.OutOrStdout(), list)
			},
		},
		&cobra.Command{
			Use: "add PART", Short: "Keep a part from targets", Args: cobra.ExactArgs(1),
			Example: "  skylarkctl quarantine add 91bd3f06 --address http://10.0.0.1:9464",
			RunE: func(cmd *cobra.Command, args []string) error {
				return decideOnPart(cmd.Context(), address, http.MethodPost, args[0])
			},
		},
		&cobra.Command{
			Use: "clear PART", Short: "Send requests with a part again", Args: cobra.ExactArgs(1),
			Example: "  skylarkctl quarantine clear 91bd3f06 --address http://10.0.0.1:9464",
			RunE: func(cmd *cobra.Command, args []string) error {
				return decideOnPart(cmd.Context(), address, http.MethodDelete, args[0])
			},
		},
	)
	return cmd
}

// callQuarantine sends one call to a gateway and returns the body of its response.
// quarantineClient has a connection for each call, which are few.
var quarantineClient = httpclient.New(&http.Transport{DisableKeepAlives: true})

func callQuarantine(ctx context.Context, address, method, part string) ([]byte, error) {
	if address == "" {
		return nil, errkind.New(errkind.InvalidRequest, "--address is missing")
	}
	ctx, cancel := context.WithTimeout(ctx, quarantineTimeout)
	defer cancel()
	target := strings.TrimSuffix(address, "/") + gateway.QuarantinePath
	if part != "" {
		target += "?part=" + url.QueryEscape(strings.ToLower(part))
	}
	req, err := http.NewRequestWithContext(ctx, method, target, nil)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.InvalidRequest, "--address %q", address)
	}
	resp, err := quarantineClient.Do(req)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.TargetUnreachable, "gateway at %s", address)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxQuarantineList))
	if err != nil {
		return nil, errors.Wrapf(err, "response of the gateway at %s", address)
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return nil, errkind.New(errkind.InvalidRequest, "gateway at %s: status %d: %s", address, resp.StatusCode, strings.TrimSpace(string(body)))
	}
	return body, nil
}

func fetchQuarantine(ctx context.Context, address string) (crashguard.List, error) {
	var list crashguard.List
	body, err := callQuarantine(ctx, address, http.MethodGet, "")
	if err != nil {
		return list, err
	}
	return list, errors.Wrapf(json.Unmarshal(body, &list), "list of the gateway at %s", address)
}

func decideOnPart(ctx context.Context, address, method, part string) error {
	_, err := callQuarantine(ctx, address, method, part)
	return err
}

func writeQuarantine(out io.Writer, list crashguard.List) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	row := func(columns ...any) { _, _ = fmt.Fprintln(w, columns...) }
	row("PART\tSTATE\tAGE\tENDS IN\tDECIDED BY\tREPORTED BY\tCRASHES")
	for _, p := range list.Parts {
		row(fmt.Sprintf("%s\t%s\t%s\t%s\t%s\t%s\t%s", p.Part, p.State, seconds(p.AgeMs), seconds(p.EndsInMs), p.DecidedBy,
			strings.Join(p.Reporters, ","), strings.Join(p.Crashes, ",")))
	}
	for _, s := range list.Suspects {
		row(fmt.Sprintf("%s\tsuspect\t\t\t\t\t%d", s.Part, s.Crashes))
	}
	return errors.WithStack(w.Flush())
}

func seconds(ms int64) time.Duration {
	return (time.Duration(ms) * time.Millisecond).Round(time.Second)
}
