package httpclient

import (
	"net/http"
	"strings"

	"github.com/pkg/errors"
)

// maxStatus is the highest status that HTTP defines.
const maxStatus = 599

// Errors of responses that net/http accepts. Their texts contain nothing that the peer has
// sent.
var (
	// ErrStatus reports a status that HTTP does not define, such as 000. A caller would
	// get it as a status of its own making, or as 200.
	ErrStatus = errors.New("the status of the response is not one of HTTP")
	// ErrFieldName reports a blank in the name of a field. It may be the one that tells
	// where the body ends, or whose response it is, and that net/http then overlooks.
	ErrFieldName = errors.New("the name of a field of the response contains a blank")
)

// Verify returns an error if the head of a response that net/http has accepted is not valid
// HTTP/1.1.
func Verify(resp *http.Response) error {
	if resp.StatusCode < http.StatusContinue || resp.StatusCode > maxStatus {
		return ErrStatus
	}
	if hasInvalidName(resp.Header) {
		return ErrFieldName
	}
	return nil
}

// IsFinalStatus reports whether a response with the status can be the final one.
func IsFinalStatus(status int) bool { return status >= http.StatusOK && status <= maxStatus }

// hasInvalidName looks for blanks only: net/http refuses all other invalid names.
func hasInvalidName(h http.Header) bool {
	for name := range h {
		if strings.Contains(name, " ") {
			return true
		}
	}
	return false
}
