package httpclient

import (
	"net/http"

	"github.com/pkg/errors"
)

// maxStatus is the highest status that HTTP defines.
const maxStatus = 599

// ErrStatus reports a response whose status HTTP does not define, such as 000. A caller
// would get it as a status of its own making, or as 200.
var ErrStatus = errors.New("the status of the response is not one of HTTP")

// Verify returns an error if a response that net/http has accepted is not valid HTTP/1.1.
// The text of the error contains nothing that the peer has sent.
func Verify(resp *http.Response) error {
	if resp.StatusCode < http.StatusContinue || resp.StatusCode > maxStatus {
		return ErrStatus
	}
	return nil
}
