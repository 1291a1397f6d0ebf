package main

import (
	"bufio"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Headers of requests and responses.
const (
	headerAttempt     = "Skylarkstep-Attempt-Id"
	headerDeadline    = "Skylarkstep-Deadline-Ms"
	headerTarget      = "Skylarkstep-Target-Instance"
	headerSeal        = "Skylarkstep-Response-Seal"
	headerTokens      = "Skylarkstep-Token-Counts"
	headerNotExecuted = "Skylarkstep-Not-Executed"
	headerLastEvent   = "Last-Event-Id"
	headerKey         = "Api-Key"
)

// tokensPerEvent is the number of tokens of an event of a stream.
const tokensPerEvent = 5

// runnerOptions are the settings of a runner.
type runnerOptions struct {
	addr, id string
	// unframed makes responses end with their connection. gap is the pause between two
	// events, work the time of a call, and size the size of its response in bytes.
	unframed  bool
	gap, work time.Duration
	size      int
	// partPause is the pause after each part of the body of a call's response.
	partPause time.Duration
	mu        sync.Mutex
}

func runRunner(args []string) {
	o := &runnerOptions{}
	f := flag.NewFlagSet("runner", flag.ExitOnError)
	f.StringVar(&o.addr, "addr", "", "")
	f.StringVar(&o.id, "id", "", "")
	f.BoolVar(&o.unframed, "unframed", false, "")
	f.DurationVar(&o.gap, "gap", 100*time.Millisecond, "")
	f.DurationVar(&o.work, "work", 60*time.Millisecond, "")
	f.IntVar(&o.size, "size", 800, "")
	f.DurationVar(&o.partPause, "part-pause", 0, "")
	_ = f.Parse(args)
	listener, err := net.Listen("tcp", o.addr)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go o.serve(conn)
	}
}

func (o *runnerOptions) say(format string, args ...any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	fmt.Printf(format+"\n", args...)
}

// serve serves the requests of one connection.
func (o *runnerOptions) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if err := o.respond(conn, r); err != nil || o.unframed {
			return
		}
	}
}

func (o *runnerOptions) respond(conn net.Conn, r *http.Request) error {
	id := r.Header.Get(headerAttempt)
	if target := r.Header.Get(headerTarget); target != "" && target != o.id {
		return o.write(conn, http.StatusMisdirectedRequest, id, headerNotExecuted+": 1\r\n", "")
	}
	if strings.HasPrefix(r.URL.Path, streamPath) {
		return o.stream(conn, r, id)
	}
	return o.call(conn, r, id)
}

// call runs a call and responds with its result.
func (o *runnerOptions) call(conn net.Conn, r *http.Request, id string) error {
	o.say("runs %s %s %s", r.Method, r.URL.Path, id)
	time.Sleep(o.work)
	o.say("has run %s", id)
	return o.write(conn, http.StatusOK, id, headerSeal+": "+seal(id)+"\r\n", callBody(id, o.size))
}

// write writes a response with a length, or one that ends with its connection.
func (o *runnerOptions) write(conn net.Conn, status int, id, header, body string) error {
	framing := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	if o.unframed {
		framing = "Connection: close\r\n"
	}
	_, err := fmt.Fprintf(conn, "HTTP/1.1 %d %s\r\n%s: %s\r\n%s%s\r\n", status, http.StatusText(status), headerAttempt, id, header, framing)
	for written := 0; written < len(body) && err == nil; {
		n := min(len(body)-written, partSize)
		_, err = io.WriteString(conn, body[written:written+n])
		if written += n; written >= largePart && written < largePart+n {
			o.say("has written %d bytes to %s", written, id)
		}
		time.Sleep(o.partPause)
	}
	return err
}

// largePart is the number of bytes of a response after which the runner says so.
const largePart = 3 << 19

// partSize is the size in bytes of a part of the body of a response.
const partSize = 64 << 10

// stream writes the events of a response, from the one after Last-Event-Id on.
func (o *runnerOptions) stream(conn net.Conn, r *http.Request, id string) error {
	first := 1
	if last, err := strconv.Atoi(r.Header.Get(headerLastEvent)); err == nil {
		first = last + 1
	}
	_, output, _ := strings.Cut(r.Header.Get(headerTokens), ",")
	tokens, err := strconv.Atoi(output)
	if err != nil {
		return errors.New("no token counts")
	}
	events := tokens / tokensPerEvent
	o.say("runs stream %s from event %d of %d", id, first, events)
	framing := "Transfer-Encoding: chunked\r\n"
	if o.unframed {
		framing = "Connection: close\r\n"
	}
	time.Sleep(o.gap)
	if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Type: text/event-stream\r\n%s\r\n", headerAttempt, id, headerSeal, seal(id), framing); err != nil {
		return err
	}
	for i := first; i <= events; i++ {
		if err := o.writeChunk(conn, event(id, i)); err != nil {
			o.say("stream %s cut by the caller before event %d", id, i)
			return err
		}
		time.Sleep(o.gap)
	}
	o.say("has made all events of stream %s", id)
	if o.unframed {
		return nil
	}
	_, err = conn.Write([]byte("0\r\n\r\n"))
	return err
}

func (o *runnerOptions) writeChunk(conn net.Conn, data string) error {
	if !o.unframed {
		data = fmt.Sprintf("%x\r\n%s\r\n", len(data), data)
	}
	_, err := conn.Write([]byte(data))
	return err
}

// seal, event and callBody are the contents of responses, by the request's id.
func seal(id string) string { return "3e1b.07.5a2." + id }

func event(id string, i int) string {
	return fmt.Sprintf("id: %d\ndata: event %d of the answer to %s ..............\n\n", i, i, id)
}

func callBody(id string, size int) string {
	return (id + strings.Repeat(".", max(0, size-len(id))))[:max(size, len(id))]
}
