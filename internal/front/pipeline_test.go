package front_test

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"gitlab.com/curranttiller/curranttiller/internal/front"
	"gitlab.com/curranttiller/curranttiller/internal/route"
)

// largeAnswerBytes is the length of an answer that waits in the send buffer of the host
// while the caller does not read it.
const largeAnswerBytes = 200_000

// closingHandler answers with the URI of the request, and ends the connection with the
// answer to /close, which is long.
type closingHandler struct {
	*blockingHandler

	// got holds the URIs in the order in which they arrived.
	got chan string
}

// Serve implements front.Handler.
func (h *closingHandler) Serve(_ context.Context, request *route.Request, w http.ResponseWriter) error {
	h.got <- request.URI
	if request.URI == "/close" {
		w.Header().Set("Connection", "close")
		_, _ = io.WriteString(w, strings.Repeat("a", largeAnswerBytes))
		return nil
	}
	_, _ = io.WriteString(w, request.URI)
	return nil
}

// TestPipelinedRequests guards against answers in another order than the requests, and
// against an answer that is lost because requests behind it are not read: a close with
// unread bytes resets the connection and drops what has not been sent (issue 33).
func TestPipelinedRequests(t *testing.T) {
	tests := []struct {
		name string
		// uris are sent at once. Those behind /close are not to be read.
		uris, answered []string
	}{
		{name: "in order", uris: []string{"/1", "/2", "/3"}, answered: []string{"/1", "/2", "/3"}},
		{name: "behind an answer that closes", uris: append([]string{"/1", "/close"}, many("/late", 300)...), answered: []string{"/1", "/close"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			handler := &closingHandler{blockingHandler: newBlockingHandler(), got: make(chan string, len(tt.uris))}
			server := front.NewServer(handler, front.Limits{Deadline: time.Minute, BodyBytes: 1 << 20, HeadBytes: 64 << 10, HeadTimeout: 5 * time.Second}, newGate(), slog.New(slog.DiscardHandler))
			listener, err := front.Listen(t.Context(), "127.0.0.1:0")
			is.NoErr(err)
			server.Start(listener)
			defer func() { server.Close(time.Now()) }()
			conn := dialSmall(t, listener)
			var text strings.Builder
			for _, uri := range tt.uris {
				text.WriteString("GET /svc/s" + uri + " HTTP/1.1\r\nHost: h\r\n\r\n")
			}
			_, err = io.WriteString(conn, text.String())
			is.NoErr(err)
			for _, uri := range tt.answered {
				is.Equal(<-handler.got, uri)
			}
			<-time.After(100 * time.Millisecond) // the host has written the last answer
			is.NoErr(conn.SetReadDeadline(time.Now().Add(5 * time.Second)))
			reader := bufio.NewReader(conn)
			for _, uri := range tt.answered {
				response, err := http.ReadResponse(reader, nil)
				is.NoErr(err)
				body, err := io.ReadAll(response.Body)
				is.NoErr(err) // the answer is whole
				is.NoErr(response.Body.Close())
				is.Equal(string(body) == uri, uri != "/close")
				is.Equal(response.Close, uri == "/close")
			}
			is.Equal(len(handler.got), 0) // no other request was passed on
		})
	}
}

func many(uri string, count int) []string {
	return strings.Split(strings.TrimSuffix(strings.Repeat(uri+" ", count), " "), " ")
}

// dialSmall opens a connection whose receive buffer holds a small part of a large answer.
func dialSmall(t *testing.T, listener net.Listener) net.Conn {
	t.Helper()
	const receiveBytes = 4 << 10
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBytes)
		})
	}}
	conn, err := dialer.DialContext(t.Context(), "tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}
