package front_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"

	"gitlab.com/curranttiller/curranttiller/internal/front"
	"gitlab.com/curranttiller/curranttiller/internal/gate"
	"gitlab.com/curranttiller/curranttiller/internal/route"
	"gitlab.com/curranttiller/curranttiller/pkg/admit"
	"gitlab.com/curranttiller/curranttiller/pkg/caller"
	"gitlab.com/curranttiller/curranttiller/pkg/fault"
	"gitlab.com/curranttiller/curranttiller/pkg/header"
)

const (
	// stopWait is how long the server waits for its requests.
	stopWait = 300 * time.Millisecond
	// maxStopTime is how long it may take in all.
	maxStopTime = stopWait + 300*time.Millisecond + 200*time.Millisecond
)

// blockingHandler reads the body of a request and answers only when all requests are ended.
type blockingHandler struct {
	ended   chan struct{}
	endOnce sync.Once
	started chan struct{}
}

func newBlockingHandler() *blockingHandler {
	return &blockingHandler{ended: make(chan struct{}), started: make(chan struct{}, 10)}
}

// Serve implements front.Handler.
func (h *blockingHandler) Serve(_ context.Context, request *route.Request, w http.ResponseWriter) error {
	h.started <- struct{}{}
	if _, err := io.Copy(io.Discard, request.Body); err == nil {
		<-h.ended
	}
	route.WriteFault(w, request.ID, fault.New(fault.NotRun, http.StatusServiceUnavailable, "HostStopping"))
	return nil
}

// Directory implements front.Handler.
func (h *blockingHandler) Directory(string, string) (caller.Directory, error) {
	return caller.Directory{}, nil
}

// DefaultDeadline implements front.Handler.
func (h *blockingHandler) DefaultDeadline(string) time.Duration { return time.Minute }

// EndRequests implements front.Handler.
func (h *blockingHandler) EndRequests() { h.endOnce.Do(func() { close(h.ended) }) }

// TestCloseAnswersEveryRequest guards against a server that closes the connections of
// requests that it has read when its time for a stop is over (issue 29).
func TestCloseAnswersEveryRequest(t *testing.T) {
	tests := []struct {
		name, text string
		// isLate sends the request after the stop has begun, on a connection opened before it.
		isLate bool
	}{
		{name: "without a body", text: "POST /svc/s/x HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"},
		{name: "with a body", text: "POST /svc/s/x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"},
		{name: "body with a length still arrives", text: "POST /svc/s/x HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nbody"},
		{name: "body in chunks still arrives", text: "POST /svc/s/x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n"},
		{name: "sent during the stop", text: "GET /svc/s/x HTTP/1.1\r\nHost: h\r\n\r\n", isLate: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			handler := newBlockingHandler()
			server := front.NewServer(handler, front.Limits{Deadline: time.Minute, BodyBytes: 1 << 20, HeadBytes: 64 << 10, HeadTimeout: 5 * time.Second}, newGate(), slog.New(slog.DiscardHandler))
			listener, err := front.Listen(t.Context(), "127.0.0.1:0")
			is.NoErr(err)
			server.Start(listener)
			early, conn := dial(t, listener), dial(t, listener)
			// Keeps the server from closing at once.
			_, err = io.WriteString(early, tests[0].text)
			is.NoErr(err)
			<-handler.started
			if !tt.isLate {
				_, err = io.WriteString(conn, tt.text)
				is.NoErr(err)
				<-handler.started
			}
			closed := make(chan struct{})
			begun := time.Now()
			go func() {
				server.Close(begun.Add(stopWait))
				close(closed)
			}()
			if tt.isLate {
				<-time.After(stopWait / 2) // the listener is closed by then
				_, err = io.WriteString(conn, tt.text)
				is.NoErr(err)
			}
			is.NoErr(conn.SetReadDeadline(time.Now().Add(5 * time.Second)))
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err) // the request gets an answer
			defer func() { _ = response.Body.Close() }()
			is.Equal(response.StatusCode, http.StatusServiceUnavailable)
			is.Equal(response.Header.Get(header.Verdict), "NotRun")
			is.True(response.Close) // the caller goes to another host
			<-closed
			is.True(time.Since(begun) < maxStopTime)
		})
	}
}

// TestSlowBodyIsGivenUp guards against requests whose body never ends and which keep their
// connection for ever (issue 30).
func TestSlowBodyIsGivenUp(t *testing.T) {
	is := is.New(t)
	handler := newBlockingHandler()
	server := front.NewServer(handler, front.Limits{Deadline: 200 * time.Millisecond, BodyBytes: 1 << 20, HeadBytes: 64 << 10, HeadTimeout: 5 * time.Second}, newGate(), slog.New(slog.DiscardHandler))
	listener, err := front.Listen(t.Context(), "127.0.0.1:0")
	is.NoErr(err)
	server.Start(listener)
	defer func() { server.Close(time.Now()) }()
	conn := dial(t, listener)
	_, err = io.WriteString(conn, "POST /svc/s/x HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nbody")
	is.NoErr(err)
	is.NoErr(conn.SetReadDeadline(time.Now().Add(3 * time.Second)))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	is.True(response.Close)
}

// newGate returns a gate whose bounds the tests don't meet.
func newGate() *gate.Gate {
	limits := gate.Limits{Limits: admit.Limits{Connections: 1000, Bytes: 1 << 30}, Heads: func() gate.HeadLimits {
		return gate.HeadLimits{Bytes: 64 << 10, Fields: 1000, Timeout: time.Minute, IdleTimeout: time.Minute}
	}, RequestBytes: 1 << 10, AnswerStall: time.Minute}
	return gate.New("caller", limits, metrics.NewSet(), slog.New(slog.DiscardHandler))
}

func dial(t *testing.T, listener net.Listener) net.Conn {
	t.Helper()
	var dialer net.Dialer
	conn, err := dialer.DialContext(t.Context(), "tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// echoHandler answers at once and records which requests it got.
type echoHandler struct {
	blockingHandler

	mu  sync.Mutex
	got map[string]bool
}

// Serve implements front.Handler.
func (h *echoHandler) Serve(_ context.Context, request *route.Request, w http.ResponseWriter) error {
	h.mu.Lock()
	h.got[request.URI] = true
	h.mu.Unlock()
	_, _ = io.WriteString(w, "done")
	return nil
}

// answeredSet records the requests that got a whole answer.
type answeredSet struct {
	mu   sync.Mutex
	uris map[string]bool
}

// call sends requests on one connection, one after the other, until it ends.
func (a *answeredSet) call(conn net.Conn, caller int) {
	reader := bufio.NewReader(conn)
	for number := 0; ; number++ {
		uri := fmt.Sprintf("/%d-%d", caller, number)
		if !exchange(conn, reader, uri) {
			return
		}
		a.mu.Lock()
		a.uris[uri] = true
		a.mu.Unlock()
	}
}

// exchange sends one request and reports whether it got a whole answer.
func exchange(conn net.Conn, reader *bufio.Reader, uri string) bool {
	if _, err := io.WriteString(conn, "GET /svc/s"+uri+" HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		return false
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil
}

// TestCloseNeverCutsRequestThatWasPassedOn guards against a server that closes a connection
// on which it has just read a request, and passes the request on all the same. It was seen
// on a day of the users' bench (issue 29, LOST).
func TestCloseNeverCutsRequestThatWasPassedOn(t *testing.T) {
	const (
		rounds  = 40
		callers = 40
	)
	for range rounds {
		is := is.New(t)
		handler := &echoHandler{got: make(map[string]bool)}
		server := front.NewServer(handler, front.Limits{Deadline: time.Minute, BodyBytes: 1 << 20, HeadBytes: 64 << 10, HeadTimeout: 5 * time.Second}, newGate(), slog.New(slog.DiscardHandler))
		listener, err := front.Listen(t.Context(), "127.0.0.1:0")
		is.NoErr(err)
		server.Start(listener)
		var calling sync.WaitGroup
		answered := &answeredSet{uris: make(map[string]bool)}
		for i := range callers {
			conn := dial(t, listener)
			calling.Go(func() { answered.call(conn, i) })
		}
		<-time.After(10 * time.Millisecond) // the callers are in the middle of their requests
		server.Close(time.Now().Add(time.Second))
		calling.Wait()
		for uri := range handler.got {
			is.True(answered.uris[uri]) // every request that was passed on has an answer
		}
	}
}
