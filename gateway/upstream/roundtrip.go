package upstream

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/skylarkstep/skylarkstep/infra/httpclient"
)

const (
	// maxInlineBody is the size in bytes up to which a body is written
	// completely before the response is read. Longer bodies are written
	// concurrently, because a target may respond before it has read the whole
	// body.
	maxInlineBody = 8 << 10
	// maxStrayResponses limits the number of responses that are read for one
	// request; those that belong to other requests are skipped.
	maxStrayResponses = 3
	// maxStrayBytes limits the body of a skipped response, and strayTimeout the
	// time for reading it. Like headTimeout, it is shorter than the delay after
	// which a request is sent to a second target.
	maxStrayBytes = 1 << 20
	strayTimeout  = 500 * time.Millisecond
	// ownResponseTimeout limits the wait for the next response after one that cannot be
	// attributed. That one may have been the response to this request, so that no
	// other follows.
	ownResponseTimeout = time.Second
)

// roundTrip sends a request and reads the head of its response. Responses to other requests
// are skipped. The channel receives the result of writing the request.
func (c *conn) roundTrip(r *Request) (*http.Response, <-chan error, error) {
	data := encodeHead(r)
	written := make(chan error, 1)
	write := func() {
		written <- c.WriteBuffers(net.Buffers{data, r.Body})
	}
	if len(r.Body) <= maxInlineBody {
		write()
	} else {
		go write()
	}
	for range maxStrayResponses {
		if err := <-c.firstByte; err != nil {
			return nil, nil, errors.Wrap(err, "wait for the answer")
		}
		resp, err := readResponse(c, r.Method)
		if err != nil {
			return nil, nil, err
		}
		attribution := Own
		if r.Attribute != nil {
			attribution = r.Attribute(resp.StatusCode, resp.Header, c.reused)
		}
		if attribution == Own {
			return resp, written, nil
		}
		if err := c.skipBody(resp); err != nil {
			return nil, nil, err
		}
		if attribution == Unknown {
			_ = c.SetReadDeadline(time.Now().Add(ownResponseTimeout))
		}
		c.awaitFirstByte()
	}
	return nil, nil, errors.New("too many responses to other requests")
}

// skipBody reads the body of a response to another request.
func (c *conn) skipBody(resp *http.Response) error {
	_ = c.SetReadDeadline(time.Now().Add(strayTimeout))
	if _, err := io.CopyN(io.Discard, resp.Body, maxStrayBytes); !errors.Is(err, io.EOF) {
		return errors.New("the response to another request is incomplete")
	}
	if resp.Close {
		return errors.New("the connection ended after the response to another request")
	}
	_ = c.SetReadDeadline(time.Time{})
	return nil
}

var errMalformed = errors.New("the response is not valid HTTP/1.1")

// describe returns an error whose text contains nothing that the target sent.
// Errors of net/http quote the bytes that they could not parse, and the text of
// an error goes to the log and to the caller.
func describe(err error) error {
	var netErr net.Error
	if err == nil || errors.As(err, &netErr) {
		return err
	}
	for _, known := range []error{io.EOF, io.ErrUnexpectedEOF, errHeadTooLarge, errFolded, httpclient.ErrStatus, httpclient.ErrFieldName} {
		if errors.Is(err, known) {
			return err
		}
	}
	return errMalformed
}

// bodyReader is the body of a response whose errors are described.
type bodyReader struct{ io.ReadCloser }

// Read implements io.Reader.
func (b bodyReader) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	return n, describe(err)
}

// encodeHead encodes the request line and the headers. The caller must have
// removed the headers that apply to a single connection.
func encodeHead(r *Request) []byte {
	var b bytes.Buffer
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	for name, values := range r.Header {
		for _, v := range values {
			b.WriteString(name + ": " + v + "\r\n")
		}
	}
	if r.HasBody {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}
