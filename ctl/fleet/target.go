package fleet

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/skylarkstep/skylarkstep/routing"
)

const (
	// eventCount and eventInterval describe a stream; a target reads a prompt for
	// prefillTime, and crashes up to maxCrashDelay after it has begun to write.
	eventCount    = 8
	eventInterval = 25 * time.Millisecond
	prefillTime   = 30 * time.Millisecond
	maxCrashDelay = 80 * time.Millisecond
)

// event returns one event of a stream.
func event(id int) string { return fmt.Sprintf("id: %d\ndata: token %d\n\n", id, id) }

// arrivalAt is a request that reached a target.
type arrivalAt struct {
	at      time.Time
	gateway string
	request string
	culprit string // what of the request crashes targets, or empty
}

// target is one incarnation of a stand-in target.
type target struct {
	fleet    *Fleet
	id       string
	listener net.Listener
	limit    atomic.Pointer[float64]
	// limitedAt is when it first named its limit.
	limitedAt time.Time

	mu       sync.Mutex
	conns    map[net.Conn]bool
	crashed  bool
	arrivals []arrivalAt
	// told holds when each gateway first got a response with the limit.
	told map[string]time.Time
	// rest is for how long the target wants no requests, in responses by which it
	// refuses them; 0 if it accepts them.
	rest atomic.Int64
	// leaves is set while the target says that it leaves.
	leaves atomic.Bool
	// wishes holds what each gateway was told.
	wishes []wish
}

// wish is a time in which a target wants no requests from a gateway.
type wish struct {
	gateway  string
	from, to time.Time
	// allowed is the number of requests that may reach the target all the same.
	allowed int
}

// startTarget starts a target and writes its entry.
func (f *Fleet) startTarget() {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.fail("listen for a target: %v", err)
		return
	}
	t := &target{fleet: f, id: fmt.Sprintf("t%d", f.processes.Add(1)), listener: listener, conns: map[net.Conn]bool{}, told: map[string]time.Time{}}
	f.mu.Lock()
	f.targets = append(f.targets, t)
	f.mu.Unlock()
	go t.serve()
	entry := routing.Target{ID: t.id, Backend: backend, Addr: listener.Addr().String(), DataCentre: dataCentre, Slots: f.scenario.Fleet.Slots, Incarnation: 1}
	value, err := json.Marshal(entry)
	if err != nil {
		f.fail("encode the entry of a target: %v", err)
		return
	}
	f.put(targetPrefix+t.id, value)
}

func (t *target) serve() {
	for {
		c, err := t.listener.Accept()
		if err != nil {
			return
		}
		t.mu.Lock()
		t.conns[c] = true
		t.mu.Unlock()
		go t.serveConn(c)
	}
}

func (t *target) serveConn(c net.Conn) {
	defer func() {
		t.mu.Lock()
		delete(t.conns, c)
		t.mu.Unlock()
		_ = c.Close()
	}()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(io.LimitReader(r.Body, maxResponseBytes))
		if err != nil || !t.handle(c, r, string(body)) {
			return
		}
	}
}

// handle responds to a request. It returns false if the connection ends.
func (t *target) handle(c net.Conn, r *http.Request, body string) (keep bool) {
	culprit := t.fleet.culpritOf(r, body)
	a := arrivalAt{at: time.Now(), gateway: r.Header.Get(headerGateway), request: r.Header.Get(headerID), culprit: culprit}
	t.mu.Lock()
	t.arrivals = append(t.arrivals, a)
	t.mu.Unlock()
	if rest := time.Duration(t.rest.Load()); rest > 0 {
		return t.refuseForRest(c, r, rest)
	}
	group := t.fleet.group.state()
	if group.broken {
		time.Sleep(time.Until(group.stallUntil))
		_, err := fmt.Fprintf(c, "HTTP/1.1 503 Broken\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", headerID, a.request, headerNotRun)
		return err == nil
	}
	time.Sleep(prefillTime)
	t.fleet.ran.Store(a.request, true)
	if culprit != "" {
		if isStream(r) {
			t.writeHead(c, r, false)
		}
		time.Sleep(rand.N(maxCrashDelay))
		t.crash(culprit)
		return false
	}
	if !isStream(r) {
		return t.respond(c, r)
	}
	return t.stream(c, r, group.epoch)
}

func isStream(r *http.Request) bool {
	return strings.HasPrefix(r.URL.Path, "/"+string(StreamRoute)+"/")
}

// responseBody is the body of a response that is no stream.
const responseBody = "ok"

func (t *target) respond(c net.Conn, r *http.Request) (keep bool) {
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\n%sContent-Length: %d\r\n\r\n%s", headerID, r.Header.Get(headerID), headerSeal, t.leavingHeader(r), len(responseBody), responseBody)
	return err == nil
}

// refuseForRest refuses a request, and says for how long the target wants none.
func (t *target) refuseForRest(c net.Conn, r *http.Request, rest time.Duration) (keep bool) {
	now := time.Now()
	t.addWish(wish{r.Header.Get(headerGateway), now.Add(informedAfter), now.Add(rest), toleratedInRest})
	_, err := fmt.Fprintf(c, "HTTP/1.1 503 Rest\r\n%s: %s\r\n%s: 1\r\n%s: %.3f\r\nContent-Length: 0\r\n\r\n", headerID, r.Header.Get(headerID), headerNotRun, headerRest, rest.Seconds())
	return err == nil
}

// leavingHeader returns the header line by which a target says that it leaves, or
// nothing.
func (t *target) leavingHeader(r *http.Request) string {
	if !t.leaves.Load() {
		return ""
	}
	now := time.Now()
	t.addWish(wish{r.Header.Get(headerGateway), now.Add(drainTime), now.Add(time.Hour), 0})
	return headerLeaving + ": 1\r\n"
}

func (t *target) addWish(w wish) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.wishes = append(t.wishes, w)
}

// crashingBody begins the body of a request that crashes targets.
const crashingBody = "crash "

// culpritOf returns what of a request crashes targets: its body or a part of its
// prompt. It is empty if nothing does.
func (f *Fleet) culpritOf(r *http.Request, body string) string {
	if strings.HasPrefix(body, crashingBody) {
		return body
	}
	for _, part := range strings.Split(r.Header.Get(headerParts), ",") {
		if slices.Contains(f.scenario.crashingParts(), part) {
			return part
		}
	}
	return ""
}

func (t *target) writeHead(c net.Conn, r *http.Request, unframed bool) {
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n%s: %s\r\n%s: s\r\n", headerID, r.Header.Get(headerID), headerSeal)
	head += t.leavingHeader(r)
	if limit := t.limit.Load(); limit != nil {
		head += fmt.Sprintf("%s: %g\r\n", headerLimit, *limit)
		t.mu.Lock()
		if gatewayID := r.Header.Get(headerGateway); t.told[gatewayID].IsZero() {
			t.told[gatewayID] = time.Now()
		}
		t.mu.Unlock()
	}
	if !unframed {
		head += "Transfer-Encoding: chunked\r\n"
	}
	_, _ = io.WriteString(c, head+"\r\n")
}

// stream sends the events after the one that the caller has.
func (t *target) stream(c net.Conn, r *http.Request, epoch int) (keep bool) {
	unframed := rand.N(100) < int(t.fleet.unframedPercent.Load())
	breaks := rand.N(100) < int(t.fleet.breakPercent.Load())
	t.writeHead(c, r, unframed)
	first, _ := strconv.Atoi(r.Header.Get(headerLastEvent))
	for id := first + 1; id <= eventCount; id++ {
		time.Sleep(eventInterval)
		if group := t.fleet.group.state(); group.broken || group.epoch != epoch {
			time.Sleep(time.Until(group.stallUntil))
			resetConn(c)
			return false
		}
		text := event(id)
		if breaks && id == eventCount/2 {
			text = text[:len(text)/2]
		}
		if !unframed {
			text = fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
		}
		if _, err := io.WriteString(c, text); err != nil || breaks && id == eventCount/2 {
			return false
		}
	}
	if unframed {
		return false
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

func resetConn(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// crash ends the target with all its connections. A successor starts later.
func (t *target) crash(culprit string) {
	t.mu.Lock()
	if t.crashed {
		t.mu.Unlock()
		return
	}
	t.crashed = true
	t.mu.Unlock()
	f := t.fleet
	f.recordCrash(culprit)
	t.close()
	restart := milliseconds(f.scenario.Fleet.RestartMs)
	f.group.breakOff(milliseconds(f.scenario.Fleet.StallMs), restart)
	time.AfterFunc(restart, func() {
		f.remove(targetPrefix + t.id)
		if f.ctx.Err() == nil {
			f.startTarget()
		}
	})
}

// close closes the listener and all connections.
func (t *target) close() {
	_ = t.listener.Close()
	t.mu.Lock()
	conns := t.conns
	t.conns = map[net.Conn]bool{}
	t.mu.Unlock()
	for c := range conns {
		_ = c.Close()
	}
}

// group is the rank group that all targets form; it never breaks if it is not
// used.
type group struct {
	mu sync.Mutex
	groupState
	openAt time.Time
}

type groupState struct {
	broken     bool
	stallUntil time.Time
	// epoch rises when the group forms again.
	epoch int
}

func (g *group) state() groupState {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.broken && time.Now().After(g.openAt) {
		g.broken = false
		g.epoch++
	}
	return g.groupState
}

func (g *group) breakOff(stall, restart time.Duration) {
	if stall == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if !g.broken {
		g.broken, g.stallUntil = true, now.Add(stall)
	}
	g.openAt = now.Add(restart + stall)
}
