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

// limitReader fails once more than left bytes were read. Unlike
// io.LimitReader, it does not make a cut answer look complete.
type limitReader struct {
	r    io.Reader
	left int64
}

// Read implements io.Reader.
func (l *limitReader) Read(p []byte) (int, error) {
	if l.left <= 0 {
		return 0, errors.New("answer exceeds the size limit")
	}
	if int64(len(p)) > l.left {
		p = p[:l.left]
	}
	n, err := l.r.Read(p)
	l.left -= int64(n)
	return n, err
}

// watchStream decodes the messages of a watch, each at most max bytes.
type watchStream struct {
	limited *limitReader
	dec     *json.Decoder
	max     int64
}

func newWatchStream(r io.Reader, limit int64) *watchStream {
	l := &limitReader{r: r}
	return &watchStream{limited: l, dec: json.NewDecoder(l), max: limit}
}

func (w *watchStream) next() (gateway.WatchResult, error) {
	w.limited.left = w.max
	var m gateway.WatchResponse
	if err := w.dec.Decode(&m); err != nil {
		return gateway.WatchResult{}, errors.Wrap(err, "decode watch message")
	}
	if m.Error != nil {
		return gateway.WatchResult{}, codeError(*m.Error, http.StatusServiceUnavailable, gateway.PathWatch, false)
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

// Watch implements infra.KV. It returns once the service has confirmed the
// watch.
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

// runWatch sends the result of opening the watch to confirmed, and then events
// until the watch ends.
func (c *Client) runWatch(ctx context.Context, body gateway.WatchRequest, confirmed chan<- error, out chan<- []infra.Event) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	opening := time.AfterFunc(c.timeout, cancel)
	defer opening.Stop()
	resp, connected, err := c.open(ctx, gateway.PathWatch, body)
	if err != nil {
		confirmed <- failure(err, gateway.PathWatch, false, connected)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		limited := &limitReader{r: resp.Body, left: c.maxResponse}
		confirmed <- statusError(resp.StatusCode, limited, gateway.PathWatch, false)
		return
	}
	stream := newWatchStream(resp.Body, c.maxResponse)
	first, err := stream.next()
	if err != nil {
		confirmed <- failure(err, gateway.PathWatch, false, true)
		return
	}
	if !opening.Stop() {
		confirmed <- errkind.New(errkind.StoreUnavailable, "%s: not confirmed in time", gateway.PathWatch)
		return
	}
	confirmed <- nil
	forward(ctx, stream, first, out)
}

// forward sends events until the stream breaks or ctx ends.
func forward(ctx context.Context, stream *watchStream, m gateway.WatchResult, out chan<- []infra.Event) {
	for {
		events := m.PlatformEvents()
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
