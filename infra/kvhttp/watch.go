package kvhttp

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/skylarkstep/skylarkstep/errkind"
	"github.com/skylarkstep/skylarkstep/infra"
	"github.com/skylarkstep/skylarkstep/infra/internal/gateway"
)

// limitReader returns an error once the remaining bytes have been read. Unlike
// io.LimitReader, it does not make a response that is too long look complete.
type limitReader struct {
	r         io.Reader
	remaining int64
}

// Read implements io.Reader.
func (l *limitReader) Read(p []byte) (int, error) {
	if l.remaining <= 0 {
		return 0, errors.New("response exceeds the size limit")
	}
	if int64(len(p)) > l.remaining {
		p = p[:l.remaining]
	}
	n, err := l.r.Read(p)
	l.remaining -= int64(n)
	return n, err
}

// watchStream decodes the messages of a watch, each of at most maxMessage bytes.
type watchStream struct {
	limited    *limitReader
	dec        *json.Decoder
	maxMessage int64
}

func newWatchStream(r io.Reader, maxMessage int64) *watchStream {
	l := &limitReader{r: r}
	return &watchStream{limited: l, dec: json.NewDecoder(l), maxMessage: maxMessage}
}

// next returns the next message. It returns an error if the message is malformed
// or has an event without a key or revision.
func (w *watchStream) next() (gateway.WatchResult, error) {
	w.limited.remaining = w.maxMessage
	var m gateway.WatchResponse
	if err := w.dec.Decode(&m); err != nil {
		return gateway.WatchResult{}, errors.Wrap(err, "decode watch message")
	}
	if m.Error != nil {
		return gateway.WatchResult{}, gatewayError(*m.Error, http.StatusServiceUnavailable, gateway.PathWatch, false)
	}
	if m.Result == nil {
		return gateway.WatchResult{}, errors.New("watch message without a result")
	}
	for _, e := range m.Result.Events {
		if len(e.Kv.Key) == 0 || e.Kv.ModRevision <= 0 {
			return gateway.WatchResult{}, errors.New("watch event without a key or revision")
		}
	}
	return *m.Result, nil
}

// Watch implements infra.KV. It returns once the store has confirmed the watch.
func (c *Client) Watch(ctx context.Context, prefix string, after int64) (<-chan []infra.Event, error) {
	key, end := gateway.Prefix(prefix)
	body := gateway.WatchRequest{Create: gateway.WatchCreate{Key: key, RangeEnd: end, StartRevision: after + 1}}
	out := make(chan []infra.Event)
	confirmed := make(chan error, 1)
	go func() {
		defer close(out)
		c.runWatch(ctx, body, confirmed, out)
	}()
	if err := <-confirmed; err != nil {
		return nil, err
	}
	return out, nil
}

// runWatch opens the watch and sends the result to confirmed. If that is nil, it
// then sends events to out until the watch ends.
func (c *Client) runWatch(ctx context.Context, body gateway.WatchRequest, confirmed chan<- error, out chan<- []infra.Event) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	openTimer := time.AfterFunc(c.timeout, cancel)
	defer openTimer.Stop()
	resp, mayBeSent, err := c.send(ctx, gateway.PathWatch, body)
	if err != nil {
		confirmed <- callError(err, gateway.PathWatch, false, mayBeSent)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		limited := &limitReader{r: resp.Body, remaining: c.maxResponse}
		confirmed <- statusError(resp.StatusCode, limited, gateway.PathWatch, false)
		return
	}
	stream := newWatchStream(resp.Body, c.maxResponse)
	first, err := stream.next()
	if err != nil {
		confirmed <- callError(err, gateway.PathWatch, false, true)
		return
	}
	if !openTimer.Stop() {
		confirmed <- errkind.New(errkind.StoreUnavailable, "%s: not confirmed in time", gateway.PathWatch)
		return
	}
	confirmed <- nil
	forwardEvents(ctx, stream, first, out)
}

// forwardEvents sends the events of the stream to out, beginning with those of the
// message m, until the stream breaks, the store cancels the watch or ctx ends.
func forwardEvents(ctx context.Context, stream *watchStream, m gateway.WatchResult, out chan<- []infra.Event) {
	for {
		events := m.InfraEvents()
		if m.CompactRevision > 0 {
			err := errors.Wrapf(infra.ErrCompacted, "changes are kept from revision %d on", m.CompactRevision)
			events = []infra.Event{{Err: err}}
		}
		if len(events) > 0 {
			select {
			case out <- events:
			case <-ctx.Done():
				return
			}
		}
		if m.Canceled || m.CompactRevision > 0 {
			return
		}
		var err error
		if m, err = stream.next(); err != nil {
			return
		}
	}
}
