package e2e

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/platform/platformtest"
)

const (
	// stopBound is the time between SIGTERM and SIGKILL in the settings of
	// platformDeployment.
	stopBound = 8 * time.Second
	// shortStream and longStream are numbers of events; a long stream takes more
	// than half of stopBound.
	shortStream, longStream = 25, 210
	// connClosed is the outcome of a request that was not sent, because the
	// connection was closed before. A caller sees that without losing a request.
	connClosed = "connection closed before"
)

// streamAttempt sends a request for a stream on the connection and returns
// whether it was complete or refused, or else why not.
func streamAttempt(conn net.Conn, reader *bufio.Reader, id string, events int) (outcome string) {
	_ = conn.SetDeadline(time.Now().Add(time.Millisecond))
	if _, err := reader.Peek(1); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		return connClosed
	}
	_ = conn.SetDeadline(time.Now().Add(2 * stopBound))
	head := strings.Builder{}
	_ = platformtest.CallerHeader(id, 8900*time.Millisecond).Write(&head) // cannot fail
	if _, err := fmt.Fprintf(conn, "GET /chat/%d HTTP/1.1\r\nHost: %s\r\n%s\r\n", events, platformtest.Host, head.String()); err != nil {
		return "connection closed: " + err.Error()
	}
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return "connection closed: " + err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	switch {
	case err != nil:
		return "response cut: " + err.Error()
	case resp.StatusCode == http.StatusOK && strings.Contains(string(body), fmt.Sprintf("id: %d\n", events)):
		return "complete"
	case resp.StatusCode == http.StatusServiceUnavailable && resp.Close && resp.Header.Get("Retry-After") != "" && strings.Contains(string(body), `"did_run":"not_run"`):
		return "refused"
	default:
		return fmt.Sprintf("status %d, close %v, %s", resp.StatusCode, resp.Close, body)
	}
}

// Guards against requests that a gateway takes during a planned stop and cuts at
// its end. Callers keep a connection, or the address, and send at any moment.
func TestStopCutsNoRequestWheneverItIsSent(t *testing.T) {
	for name, series := range map[string][]syscall.Signal{
		"one stop":              {},
		"stopped again, reload": {hangup, terminate, hangup, terminate},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			requireNothingCut(t, series)
		})
	}
}

func requireNothingCut(t *testing.T, series []syscall.Signal) {
	const (
		sendInterval = 200 * time.Millisecond
		// Requests that are sent this early certainly end in time.
		takenUntil = time.Second
		// The process may exit once this time has passed and it has no work.
		servedAtLeast = 4 * time.Second
	)
	d := newPlatformDeployment(t)
	d.putTarget(1000)
	p := d.start("gateway")
	p.waitReady()
	addr := p.callerAddr()
	dial := func() (net.Conn, *bufio.Reader, error) {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			return nil, nil, err
		}
		t.Cleanup(func() { _ = conn.Close() })
		return conn, bufio.NewReader(conn), nil
	}
	type caller struct {
		conn   net.Conn
		reader *bufio.Reader
	}
	kept := make([]caller, 2*int(stopBound/sendInterval))
	var group sync.WaitGroup
	for k := range kept {
		conn, reader, err := dial()
		require.NoError(t, err)
		kept[k] = caller{conn, reader}
		group.Go(func() {
			events := 1
			if k < 10 {
				events = []int{shortStream, longStream}[k%2]
			}
			if outcome := streamAttempt(conn, reader, fmt.Sprintf("before-%d", k), events); outcome != "complete" {
				t.Errorf("before the stop: %s", outcome)
			}
		})
	}
	group.Wait()
	p.signal(terminate)
	beganAt := time.Now()
	for k, c := range kept {
		sendAt, events := time.Duration(k/2)*sendInterval, []int{shortStream, longStream}[k%2]
		check := func(how string, outcome string) {
			switch {
			case outcome == "complete":
			case outcome == "refused" && sendAt > takenUntil:
			case outcome == connClosed && sendAt > servedAtLeast:
			default:
				t.Errorf("stream of %d events on a %s connection, %v after SIGTERM: %s", events, how, sendAt, outcome)
			}
		}
		group.Go(func() {
			time.Sleep(time.Until(beganAt.Add(sendAt)))
			check("kept", streamAttempt(c.conn, c.reader, fmt.Sprintf("kept-%d", k), events))
		})
		group.Go(func() {
			time.Sleep(time.Until(beganAt.Add(sendAt)))
			conn, reader, err := dial()
			if err != nil {
				check("new", connClosed)
				return
			}
			check("new", streamAttempt(conn, reader, fmt.Sprintf("new-%d", k), events))
		})
	}
	for _, sig := range series {
		time.Sleep(stopBound / 10)
		p.signal(sig)
	}
	group.Wait()
	p.waitForExit()
	require.Less(t, time.Since(beganAt), stopBound, "the process would have been killed")
}

// Guards against a gateway that holds or drops requests if it is stopped before
// its first configuration, or that does not exit then.
func TestStopBeforeFirstConfiguration(t *testing.T) {
	t.Parallel()
	d := newPlatformDeployment(t)
	d.store.SetLatency(time.Minute) // no call to the store gets a reply
	p := d.start("gateway")
	p.waitForLog("started")
	conn, err := net.Dial("tcp", p.callerAddr())
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	waiting := make(chan string, 1)
	go func() { waiting <- streamAttempt(conn, bufio.NewReader(conn), "waiting", 1) }()
	time.Sleep(signalPause)
	p.signal(terminate)
	beganAt := time.Now()
	require.Equal(t, "refused", <-waiting)
	require.Less(t, time.Since(beganAt), time.Second)
	p.waitForExit()
	require.Less(t, time.Since(beganAt), stopBound)
}
