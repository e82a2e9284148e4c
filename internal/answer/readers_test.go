package answer_test

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"gitlab.com/curranttiller/curranttiller/internal/plat"
	"gitlab.com/curranttiller/curranttiller/internal/target"
	"gitlab.com/curranttiller/curranttiller/pkg/caller"
	"gitlab.com/curranttiller/curranttiller/platform"
)

// readerTimeout is longer than any request of the tests takes.
const readerTimeout = 300 * time.Millisecond

// rawServer answers the requests on each connection with the same bytes, and requests for a
// directory with a sound one that lists only itself.
type rawServer struct {
	address string
	answer  string
	// closed receives a value for each connection that its client has closed.
	closed chan struct{}
}

// startRawServer returns a server that accepts connections until the end of the test.
func startRawServer(t *testing.T, answer string) *rawServer {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	s := &rawServer{address: listener.Addr().String(), answer: answer, closed: make(chan struct{}, 100)}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s
}

// serve answers requests until the client closes the connection.
func (s *rawServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			s.closed <- struct{}{}
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		text := s.answer
		if strings.HasPrefix(request.URL.Path, "/tiller/directory") {
			directory, _ := json.Marshal(caller.Directory{Hosts: []caller.EntryHost{{Name: "h", Address: s.address, Share: 1}}, HoldMillis: 60_000})
			text = fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(directory), directory)
		}
		_, _ = io.WriteString(conn, text)
	}
}

// reader is a client that reads answers.
type reader struct {
	name string
	// fields and body are those of a sound answer.
	fields, body string
	// read sends a request and returns an error if it got no answer.
	read func(ctx context.Context, address string) error
}

// errNoReport is the error of a probe.
var errNoReport = errors.New("probe without a report")

// readers returns all clients of other systems.
func readers() []reader {
	return []reader{
		{name: "target", body: "ok", read: func(ctx context.Context, address string) error {
			client := target.NewClient(target.Limits{Connections: 4, IdleTimeout: time.Minute}, target.NativeProtocol{})
			got, err := client.Do(ctx, &target.Request{Address: address, Method: http.MethodGet, URI: "/x", Header: http.Header{}, Deadline: time.Now().Add(readerTimeout)})
			if err != nil {
				return err
			}
			_, err = io.ReadAll(got.Body)
			_ = got.Body.Close()
			return err
		}},
		{name: "health of a target", fields: "Tiller-Running: 0\r\nTiller-Waiting: 0\r\n", read: func(ctx context.Context, address string) error {
			client := target.NewClient(target.Limits{Connections: 4, IdleTimeout: time.Minute}, target.NativeProtocol{})
			if client.Probe(ctx, "s", address, "", readerTimeout, nil).Report == nil {
				return errNoReport
			}
			return nil
		}},
		{name: "store", body: `{"items":[],"has-more":false,"end-offset":1}`, read: func(ctx context.Context, address string) error {
			_, err := platform.NewStore(address).Newest(ctx, "configuration")
			return err
		}},
		{name: "platform", body: `{"Revision":2,"Hosts":[]}`, read: func(ctx context.Context, address string) error {
			_, _, err := plat.NewClient(address, &atomic.Int64{}).Hosts(ctx, 1)
			return err
		}},
		{name: "client library", body: "ok", read: func(ctx context.Context, address string) error {
			_, err := caller.New(caller.Settings{Entries: []string{address}}).Do(ctx, &caller.Request{Service: "s", Method: http.MethodGet, Path: "/x"})
			return err
		}},
	}
}

// unsoundAnswers are templates of answers, in which FIELDS and BODY stand for those of a reader,
// CHUNK for the body as a chunk, and LENGTH for its length.
var unsoundAnswers = []struct{ name, text string }{
	{"blank in a name", "HTTP/1.1 200 OK\r\nFIELDSX More: 1\r\nContent-Length: LENGTH\r\n\r\nBODY"},
	{"field continued on another line", "HTTP/1.1 200 OK\r\nFIELDSX-More: 1\r\n 2\r\nContent-Length: LENGTH\r\n\r\nBODY"},
	{"blank in a name of the trailer", "HTTP/1.1 200 OK\r\nFIELDSTransfer-Encoding: chunked\r\n\r\nCHUNK0\r\nX More: 1\r\n\r\n"},
	{"chunks in HTTP/1.0", "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nFIELDSTransfer-Encoding: chunked\r\nContent-Length: LENGTH\r\n\r\nBODY"},
	{"HTTP/2.0", "HTTP/2.0 200 OK\r\nFIELDSContent-Length: LENGTH\r\n\r\nBODY"},
	{"control byte in the reason", "HTTP/1.1 200 O\x01K\r\nFIELDSContent-Length: LENGTH\r\n\r\nBODY"},
	{"status 000", "HTTP/1.1 000 OK\r\nFIELDSContent-Length: LENGTH\r\n\r\nBODY"},
	{"status 099", "HTTP/1.1 099 OK\r\nFIELDSContent-Length: LENGTH\r\n\r\nBODY"},
	{"status 101", "HTTP/1.1 101 OK\r\nFIELDSContent-Length: LENGTH\r\n\r\nBODY"},
	{"status 600", "HTTP/1.1 600 OK\r\nFIELDSContent-Length: LENGTH\r\n\r\nBODY"},
	{"status 999", "HTTP/1.1 999 OK\r\nFIELDSContent-Length: LENGTH\r\n\r\nBODY"},
	{"blank behind a name", "HTTP/1.1 200 OK\r\nFIELDSX-More : 1\r\nContent-Length: LENGTH\r\n\r\nBODY"},
}

// render fills in a template.
func (r *reader) render(text string) string {
	chunk := ""
	if r.body != "" {
		chunk = fmt.Sprintf("%x\r\n%s\r\n", len(r.body), r.body)
	}
	return strings.NewReplacer("FIELDS", r.fields, "BODY", r.body, "LENGTH", fmt.Sprint(len(r.body)), "CHUNK", chunk).Replace(text)
}

// TestReadersRejectUnsoundAnswers sends the answers to each client. It must return no answer and
// close the connection.
func TestReadersRejectUnsoundAnswers(t *testing.T) {
	for _, r := range readers() {
		t.Run(r.name, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithTimeout(t.Context(), readerTimeout)
			defer cancel()
			s := startRawServer(t, r.render("HTTP/1.1 200 OK\r\nFIELDSContent-Length: LENGTH\r\n\r\nBODY"))
			is.NoErr(r.read(ctx, s.address)) // a sound answer
			for _, unsound := range unsoundAnswers {
				t.Run(unsound.name, func(t *testing.T) {
					is := is.New(t)
					ctx, cancel := context.WithTimeout(t.Context(), readerTimeout)
					defer cancel()
					s := startRawServer(t, r.render(unsound.text))
					is.True(r.read(ctx, s.address) != nil)
					select {
					case <-s.closed:
					case <-time.After(readerTimeout):
						t.Error("the connection is still open")
					}
				})
			}
		})
	}
}
