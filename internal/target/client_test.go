package target_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"gitlab.com/curranttiller/curranttiller/internal/target"
	"gitlab.com/curranttiller/curranttiller/pkg/fault"
)

// script answers each request of a connection with the next reply; an empty one
// closes the connection after the request was read, which counts as a run.
type script struct {
	listener net.Listener
	replies  []string
	runs     atomic.Int64
	conns    atomic.Int64
}

func startScript(t *testing.T, replies ...string) *script {
	t.Helper()
	var config net.ListenConfig
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &script{listener: listener, replies: replies}
	go s.accept()
	t.Cleanup(func() { _ = listener.Close() })
	return s
}

func (s *script) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.conns.Add(1)
		go s.serve(conn)
	}
}

func (s *script) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		number := int(s.runs.Add(1)) - 1
		reply := s.replies[min(number, len(s.replies)-1)]
		if reply == "" {
			return
		}
		_, _ = io.WriteString(conn, reply)
	}
}

const okReply = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func newClient() *target.Client {
	return target.NewClient(target.Limits{Connections: 4, IdleTimeout: time.Minute}, target.NativeProtocol{})
}

func request(s *script, method, body string) *target.Request {
	r := &target.Request{
		Address: s.listener.Addr().String(), Method: method, URI: "/x",
		Header: http.Header{"Idempotency-Key": {"k"}}, Deadline: time.Now().Add(5 * time.Second),
	}
	if method != http.MethodGet {
		r.Body = strings.NewReader(body)
		r.ContentLength = int64(len(body))
	}
	return r
}

// TestTransportDoesNotRepeat breaks a reused connection after the work ran.
func TestTransportDoesNotRepeat(t *testing.T) {
	tests := []struct {
		name   string
		method string
		body   string
	}{
		{"POST without a body", http.MethodPost, ""},
		{"POST with a body", http.MethodPost, "body"},
		{"PUT", http.MethodPut, "body"},
		{"DELETE without a body", http.MethodDelete, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := startScript(t, okReply, "", okReply)
			client := newClient()
			defer client.Close()
			answer, err := client.Do(context.Background(), request(s, tt.method, tt.body))
			is.NoErr(err)
			_, _ = io.Copy(io.Discard, answer.Body)
			_ = answer.Body.Close()
			_, err = client.Do(context.Background(), request(s, tt.method, tt.body))
			is.Equal(fault.VerdictOf(err), fault.MayHaveRun)
			is.Equal(s.runs.Load(), int64(2)) // the first request and one run of the second
		})
	}
}

func TestVerdictOfBrokenConnections(t *testing.T) {
	tests := []struct {
		name    string
		replies []string
		close   bool
		want    fault.Verdict
	}{
		{"nobody listens", []string{okReply}, true, fault.NotRun},
		{"closed before the reply", []string{""}, false, fault.MayHaveRun},
		{"nonsense for a reply", []string{"nonsense\r\n\r\n"}, false, fault.MayHaveRun},
		{"length only known by the close", []string{"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok"}, false, fault.Ran},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := startScript(t, tt.replies...)
			if tt.close {
				_ = s.listener.Close()
			}
			client := newClient()
			defer client.Close()
			_, err := client.Do(context.Background(), request(s, http.MethodPost, "body"))
			var failed *fault.Error
			is.True(errors.As(err, &failed))
			is.Equal(failed.Verdict, tt.want)
		})
	}
}

func TestVerdictOfAnswers(t *testing.T) {
	tests := []struct {
		name  string
		reply string
		want  fault.Verdict
	}{
		{"answered", okReply, fault.Ran},
		{"refused by the target", "HTTP/1.1 503 X\r\nTiller-Refused: NotRun\r\nContent-Length: 0\r\n\r\n", fault.NotRun},
		{"bare 503", "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n", fault.MayHaveRun},
		{"application error", "HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n", fault.MayHaveRun},
		{"redirect is passed on", "HTTP/1.1 307 X\r\nLocation: /y\r\nContent-Length: 0\r\n\r\n", fault.Ran},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := startScript(t, tt.reply)
			client := newClient()
			defer client.Close()
			answer, err := client.Do(context.Background(), request(s, http.MethodPost, "body"))
			is.NoErr(err)
			_ = answer.Body.Close()
			is.Equal(answer.Verdict, tt.want)
			is.Equal(s.runs.Load(), int64(1))
		})
	}
}

// TestCancelledConnectionIsNotReused cancels a request whose late reply would be the next one's answer.
func TestCancelledConnectionIsNotReused(t *testing.T) {
	is := is.New(t)
	s := startScript(t, okReply)
	client := newClient()
	defer client.Close()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := client.Do(ctx, request(s, http.MethodPost, "body"))
	is.True(err != nil)
	answer, err := client.Do(context.Background(), request(s, http.MethodPost, "body"))
	is.NoErr(err)
	body, err := io.ReadAll(answer.Body)
	is.NoErr(err)
	is.Equal(string(body), "ok")
	_ = answer.Body.Close()
}

// post sends a request and reads its whole answer, after which the connection rests.
func post(t *testing.T, client *target.Client, s *script) {
	t.Helper()
	answer, err := client.Do(context.Background(), request(s, http.MethodPost, "body"))
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, answer.Body)
	_ = answer.Body.Close()
}

// TestOnlyConnectionsInDoubtAreDropped has a request come late: connections that
// answered after it was sent are alive, and the others may be silent like its own.
func TestOnlyConnectionsInDoubtAreDropped(t *testing.T) {
	tests := []struct {
		name string
		// since is when the late request was sent, relative to the last answer.
		since time.Duration
		conns int64
	}{
		{name: "answered since", since: -time.Minute, conns: 1},
		{name: "silent since", since: time.Minute, conns: 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := startScript(t, okReply)
			client := newClient()
			defer client.Close()
			for range 2 {
				post(t, client, s)
				client.CloseIdleSince(time.Now().Add(tt.since))
			}
			is.Equal(s.conns.Load(), tt.conns)
			is.Equal(s.runs.Load(), int64(2))
		})
	}
}

// TestConnectionsAreClosedBeforeTheTargetDoes has a target state how long it lets connections rest.
func TestConnectionsAreClosedBeforeTheTargetDoes(t *testing.T) {
	tests := []struct {
		name   string
		header string
		after  time.Duration
		conns  int64
	}{
		{name: "rests", header: "Keep-Alive: timeout=5\r\n", after: time.Second, conns: 1},
		{name: "about to be closed", header: "Keep-Alive: max=7, timeout=5\r\n", after: 4500 * time.Millisecond, conns: 2},
		{name: "no time stated", header: "", after: time.Hour, conns: 1},
		{name: "malformed", header: "Keep-Alive: timeout=soon\r\n", after: time.Hour, conns: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := startScript(t, strings.Replace(okReply, "Content-Length", tt.header+"Content-Length", 1))
			client := newClient()
			defer client.Close()
			for range 2 {
				post(t, client, s)
				client.CloseExpired(time.Now().Add(tt.after))
			}
			is.Equal(s.conns.Load(), tt.conns)
		})
	}
}
