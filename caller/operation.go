package caller

import (
	"context"
	"encoding/json"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/skylarkstep/skylarkstep/errkind"
	"github.com/skylarkstep/skylarkstep/infra/httpclient"
)

// operationIDHeader holds the id of the operation that a call belongs to.
const operationIDHeader = "Operation-Id"

// issueRetryInterval is how long the client does not request operation ids after a
// server reported that it does not issue any.
const issueRetryInterval = time.Minute

// operationIssuer obtains operation ids from the entries. With an id, a
// non-idempotent call may be retried at any address, since only the target that
// the id names runs it.
type operationIssuer struct {
	notBefore atomic.Int64 // no id is requested before this time, in Unix nanoseconds
}

// issue returns a new operation id, or "" if the entry issues none.
func (o *operationIssuer) issue(ctx context.Context, c *Client, url, backend string) string {
	if time.Now().UnixNano() < o.notBefore.Load() {
		return ""
	}
	body, err := json.Marshal(map[string]string{"back_end": backend})
	if err != nil {
		return ""
	}
	res, sendErr := c.send(ctx, http.MethodPost, url+"/v1/operations", http.Header{"Content-Type": {"application/json"}}, body)
	if sendErr != nil {
		return ""
	}
	if res.StatusCode != http.StatusOK {
		if readError(res).Kind == errkind.UnknownOperation {
			o.notBefore.Store(time.Now().Add(issueRetryInterval).UnixNano())
		}
		return ""
	}
	defer func() { _ = res.Body.Close() }()
	var issued struct {
		OperationID string `json:"operation_id"`
	}
	data, err := httpclient.ReadLimited(res.Body, maxErrorBytes)
	if err != nil || json.Unmarshal(data, &issued) != nil {
		return ""
	}
	return issued.OperationID
}
