package caller

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/skylarkstep/skylarkstep/infra/httpclient"
)

const (
	// addressTimeout limits fetching the addresses from one entry.
	addressTimeout = 2 * time.Second
	// maxAddressResponseBytes limits the size of an address list.
	maxAddressResponseBytes = 64 << 10
)

// addressCache caches the last address list. An expired list is still used as long
// as no entry returns a new one.
type addressCache struct {
	mu      sync.Mutex
	list    []string
	expires time.Time
}

// get returns the cached list and whether it has not expired yet.
func (a *addressCache) get() (list []string, valid bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.list, time.Now().Before(a.expires)
}

func (a *addressCache) store(list []string, ttl time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.list, a.expires = list, time.Now().Add(ttl)
}

// expire makes the next request fetch the list again.
func (a *addressCache) expire() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.expires = time.Time{}
}

// rankedAddresses returns the ranked addresses of the entries. If the cached list
// has expired, it fetches a new one from the cached addresses and those of the
// options. If none of them returns a list, it returns all these addresses.
func (c *Client) rankedAddresses(ctx context.Context) []string {
	known, valid := c.addresses.get()
	if valid {
		return known
	}
	candidates := slices.Clone(known)
	for _, e := range c.options.Entries {
		if e = strings.TrimSuffix(e, "/"); !slices.Contains(candidates, e) {
			candidates = append(candidates, e)
		}
	}
	for _, url := range candidates {
		if list, ttl, ok := c.fetchAddresses(ctx, url); ok {
			c.addresses.store(list, ttl)
			return list
		}
	}
	return candidates
}

// fetchAddresses fetches the address list and its time to live from one entry. The
// last result is false if that fails or the list is empty.
func (c *Client) fetchAddresses(ctx context.Context, url string) ([]string, time.Duration, bool) {
	ctx, cancel := context.WithTimeout(ctx, addressTimeout)
	defer cancel()
	res, err := c.send(ctx, http.MethodGet, url+"/v1/addresses", nil, nil)
	if err != nil {
		return nil, 0, false
	}
	defer func() { _ = res.Body.Close() }()
	var response struct {
		Addresses []struct {
			URL string `json:"url"`
		} `json:"addresses"`
		TTLMs int64 `json:"ttl_ms"`
	}
	body, readErr := httpclient.ReadLimited(res.Body, maxAddressResponseBytes)
	if readErr != nil || res.StatusCode != http.StatusOK || json.Unmarshal(body, &response) != nil {
		return nil, 0, false
	}
	var list []string
	for _, a := range response.Addresses {
		list = append(list, strings.TrimSuffix(a.URL, "/"))
	}
	return list, time.Duration(response.TTLMs) * time.Millisecond, len(list) > 0
}

// traceConnection returns a context for one request and a function that reports
// whether that request may have been written to a connection. The transport gets
// a second connection only if it has written nothing to the first.
func traceConnection(ctx context.Context) (context.Context, func() bool) {
	// The transport may call the hooks from its own goroutine.
	var connected atomic.Bool
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GetConn: func(string) { connected.Store(false) },
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	}), connected.Load
}
