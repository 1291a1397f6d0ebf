package command

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/skylarkstep/skylarkstep/errkind"
)

// tokenVariable keeps the operator token out of the process list.
const tokenVariable = "SKYLARK_TOKEN"

const requestTimeout = 10 * time.Second

// operatorFlags say which entries to talk to and how to print.
type operatorFlags struct {
	entries []string
	output  string
}

func (f *operatorFlags) register(cmd *cobra.Command) {
	cmd.PersistentFlags().StringSliceVar(&f.entries, "entry", []string{"http://127.0.0.1:8080"},
		"base URLs of entries, tried in order")
	cmd.PersistentFlags().StringVar(&f.output, "output", "text", "output format: text or json")
}

// print writes v as JSON or calls text.
func (f *operatorFlags) print(out io.Writer, v any, text func(io.Writer)) error {
	if f.output != "json" {
		text(out)
		return nil
	}
	enc := json.NewEncoder(out)
	enc.SetIndent("", "  ")
	return errors.WithStack(enc.Encode(v))
}

// errorAnswer is the body of an error answer.
type errorAnswer struct {
	Kind    string          `json:"kind"`
	Message string          `json:"message"`
	Detail  json.RawMessage `json:"detail"`
}

// call sends a request to the first entry that answers. A change may go to
// several entries, since its edit id keeps it from being applied twice.
func (f *operatorFlags) call(ctx context.Context, method, path string, h http.Header, body, answer any) error {
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return errors.Wrap(err, "encode request")
		}
	}
	var last error
	for _, base := range f.entries {
		last = f.callAt(ctx, strings.TrimSuffix(base, "/")+path, method, h, data, answer)
		switch errkind.KindOf(last) {
		case errkind.TargetUnreachable, errkind.StoreUnavailable, errkind.NotReady, errkind.Isolated:
		default:
			return last
		}
	}
	return last
}

func (f *operatorFlags) callAt(ctx context.Context, url, method string, h http.Header, data []byte, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data))
	if err != nil {
		return errkind.Wrap(err, errkind.InvalidRequest, "address of the entry")
	}
	for name, values := range h {
		req.Header[name] = values
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+os.Getenv(tokenVariable))
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return errkind.Wrap(err, errkind.TargetUnreachable, "%s %s", method, url)
	}
	defer func() { _ = res.Body.Close() }()
	reply, err := io.ReadAll(res.Body)
	if err != nil {
		return errkind.Wrap(err, errkind.TargetUnreachable, "%s %s", method, url)
	}
	if res.StatusCode != http.StatusOK {
		return answerError(res.StatusCode, reply)
	}
	return errors.Wrapf(json.Unmarshal(reply, answer), "answer of %s", url)
}

func answerError(status int, body []byte) error {
	var a errorAnswer
	kind, known := errkind.Internal, false
	if json.Unmarshal(body, &a) == nil {
		kind, known = errkind.ParseKind(a.Kind)
	}
	if !known {
		return errkind.New(errkind.Internal, "status %d: %s", status, bytes.TrimSpace(body))
	}
	if len(a.Detail) > 0 {
		return errkind.Wrap(errors.New(string(a.Detail)), kind, "%s", a.Message)
	}
	return errkind.New(kind, "%s", a.Message)
}
