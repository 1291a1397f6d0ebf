package gateway

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a target that gets more requests than it has slots because it has not sent
// the whole of its large responses: one that never ends them would get request after
// request, and the gateway would hold the first part of each response.
func TestTargetOfUnfinishedResponsesKeepsItsSlots(t *testing.T) {
	const requests = 12
	part := strings.Repeat("a", maxBufferedBytes+1)
	var open, most atomic.Int64
	finish := make(chan struct{})
	fake := startFakeTarget(t, "r", func(w net.Conn, r *http.Request) {
		now := open.Add(1)
		for seen := most.Load(); now > seen && !most.CompareAndSwap(seen, now); seen = most.Load() {
		}
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Seal: s\r\nContent-Length: %d\r\n\r\n%s", r.Header.Get("X-Id"), len(part)+3, part)
		<-finish
		open.Add(-1)
		_, _ = w.Write([]byte("end"))
	})
	g := newDeployment(t, patientConfig(), fake).start("g1")
	var complete atomic.Int64
	var callers sync.WaitGroup
	for i := range requests {
		callers.Go(func() {
			resp := g.requestWithin(t.Context(), patientDeadline, http.MethodPost, fmt.Sprintf("/book/%d", i), "")
			if resp.err == nil && resp.status == http.StatusOK && len(resp.body) == len(part)+3 {
				complete.Add(1)
			}
		})
	}
	slots := int64(fake.target("b").Slots)
	full := slots + slots/4 // a quarter may wait at the target
	require.Eventually(t, func() bool { return most.Load() >= slots }, 5*time.Second, time.Millisecond)
	time.Sleep(300 * time.Millisecond) // the others would reach the target now
	require.LessOrEqual(t, most.Load(), full)
	close(finish)
	callers.Wait()
	require.EqualValues(t, requests, complete.Load(), "slots are not given back")
	require.Eventually(t, func() bool { return g.target("r").ownRequests.Load() == 0 }, time.Second, time.Millisecond)
}
