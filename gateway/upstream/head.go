package upstream

import (
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/skylarkstep/skylarkstep/infra/httpclient"
)

const (
	// maxHeadBytes limits what is read of a response before its body: the status
	// line, the headers and preceding informational responses, in bytes. Heads of
	// targets are below 1 KB.
	maxHeadBytes = 64 << 10
	// headTimeout limits the time from the first byte of a head to its end.
	// Targets send a head in one write, so only a faulty one takes longer. It is
	// shorter than the delay after which a request is sent to a second target:
	// otherwise the attempt would be cancelled then, and not count as failed.
	headTimeout = 500 * time.Millisecond
	// maxInformational limits the informational responses (1xx) that precede a
	// response.
	maxInformational = 10
)

var (
	errHeadTooLarge = errors.Errorf("the head of the response exceeds %d bytes", maxHeadBytes)
	errFolded       = errors.New("a line of the head of the response begins with a blank")
)

// headReader reads from a connection. While a head is read, it fails once that exceeds
// maxHeadBytes: a line without end would be buffered completely.
type headReader struct{ c *conn }

// Read implements io.Reader.
func (r headReader) Read(p []byte) (int, error) {
	if !r.c.readingHead {
		return r.c.Read(p)
	}
	if r.c.headRemaining <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := r.c.Read(p[:min(len(p), r.c.headRemaining)])
	r.c.headRemaining -= n
	r.c.headLines.scan(p[:n])
	return n, err
}

// headLines looks for folded lines in the bytes of a head. net/http appends such a line to
// the value before it, which then is not what the target has sent, and overlooks a field
// that it may hold. RFC 9112 has a gateway discard the response, or do the same.
type headLines struct {
	folded, ended bool
	inLine        bool // a byte of the current line has been read
	lines         int  // complete lines
}

func (l *headLines) scan(p []byte) {
	for _, b := range p {
		switch {
		case l.ended:
			return
		case b == '\n':
			l.ended = !l.inLine
			l.inLine = false
			l.lines++
		case b == '\r':
		default:
			l.folded = l.folded || !l.inLine && l.lines > 0 && (b == ' ' || b == '\t')
			l.inLine = true
		}
	}
}

// readResponse reads the head of a response whose first byte has arrived. It
// skips informational responses.
func readResponse(c *conn, method string) (*http.Response, error) {
	for range maxInformational + 1 {
		if _, err := c.reader.Peek(1); err != nil {
			return nil, errors.Wrap(describe(err), "wait for the response")
		}
		_ = c.SetReadDeadline(time.Now().Add(headTimeout))
		resp, err := c.readHead(method)
		if err != nil {
			return nil, errors.Wrap(describe(err), "read the head of the response")
		}
		_ = c.SetReadDeadline(time.Time{})
		if resp.StatusCode >= http.StatusOK {
			c.readingHead = false
			resp.Body = bodyReader{resp.Body}
			return resp, nil
		}
	}
	return nil, errors.Errorf("more than %d informational responses", maxInformational)
}

// readHead reads one head, whose first bytes are buffered.
func (c *conn) readHead(method string) (*http.Response, error) {
	c.headLines = headLines{}
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	c.headLines.scan(buffered)
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	switch {
	case err != nil:
		return nil, err
	case c.headLines.folded:
		return nil, errFolded
	}
	return resp, httpclient.Verify(resp)
}
