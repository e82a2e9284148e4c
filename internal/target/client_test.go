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

// scriptedServer answers requests with its replies in their order and repeats the last
// one. An empty reply closes the connection after the request was read.
type scriptedServer struct {
	listener net.Listener
	replies  []string
	// runs counts the requests that were read.
	runs  atomic.Int64
	conns atomic.Int64
}

func startScriptedServer(t *testing.T, replies ...string) *scriptedServer {
	t.Helper()
	var config net.ListenConfig
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &scriptedServer{listener: listener, replies: replies}
	go s.accept()
	t.Cleanup(func() { _ = listener.Close() })
	return s
}

func (s *scriptedServer) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.conns.Add(1)
		go s.serve(conn)
	}
}

func (s *scriptedServer) serve(conn net.Conn) {
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

func request(s *scriptedServer, method, body string) *target.Request {
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

// TestTransportDoesNotRepeatRequests guards against net/http sending a request again,
// although the target has read it, if a reused connection closes before the answer.
func TestTransportDoesNotRepeatRequests(t *testing.T) {
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
			s := startScriptedServer(t, okReply, "", okReply)
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
		{"connection refused", []string{okReply}, true, fault.NotRun},
		{"closed before the reply", []string{""}, false, fault.MayHaveRun},
		{"malformed reply", []string{"nonsense\r\n\r\n"}, false, fault.MayHaveRun},
		{"reply ends by the close of the connection", []string{"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok"}, false, fault.Ran},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := startScriptedServer(t, tt.replies...)
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

// TestStatusOfNoAnswer sends statuses that no final answer has.
func TestStatusOfNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "101", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			is := is.New(t)
			s := startScriptedServer(t, "HTTP/1.1 "+status+" X\r\nTiller-Refused: NotRun\r\nContent-Length: 0\r\n\r\n")
			client := newClient()
			defer client.Close()
			_, err := client.Do(context.Background(), request(s, http.MethodPost, "body"))
			var failed *fault.Error
			is.True(errors.As(err, &failed))
			is.Equal(failed.Verdict, fault.MayHaveRun)
			is.Equal(failed.Status, http.StatusBadGateway)
			is.Equal(failed.Reason, target.ReasonNoStatus)
			is.Equal(s.runs.Load(), int64(1))
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
		{"redirect is not followed", "HTTP/1.1 307 X\r\nLocation: /y\r\nContent-Length: 0\r\n\r\n", fault.Ran},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := startScriptedServer(t, tt.reply)
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

// TestCancelledConnectionIsNotReused guards against a cancelled request that spoils the
// next one, for example because the reply to the former is taken for the answer to the
// latter. The request is cancelled before it is sent.
func TestCancelledConnectionIsNotReused(t *testing.T) {
	is := is.New(t)
	s := startScriptedServer(t, okReply)
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

// post sends a request and reads its whole answer, after which the connection is idle.
func post(t *testing.T, client *target.Client, s *scriptedServer) {
	t.Helper()
	answer, err := client.Do(context.Background(), request(s, http.MethodPost, "body"))
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, answer.Body)
	_ = answer.Body.Close()
}

// TestCloseDoubtfulKeepsConnectionsThatAnswered guards against closing working
// connections when a request on another one gets no answer. A connection works if an
// answer arrived on it after that request was sent. Any other may be dead as well.
func TestCloseDoubtfulKeepsConnectionsThatAnswered(t *testing.T) {
	tests := []struct {
		name string
		// since is the time passed to CloseDoubtful, relative to the last answer.
		since time.Duration
		conns int64
	}{
		{name: "answered after since", since: -time.Minute, conns: 1},
		{name: "no answer after since", since: time.Minute, conns: 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := startScriptedServer(t, okReply)
			client := newClient()
			defer client.Close()
			for range 2 {
				post(t, client, s)
				client.CloseDoubtful(time.Now(), time.Now().Add(tt.since), s.listener.Addr().String())
			}
			is.Equal(s.conns.Load(), tt.conns)
			is.Equal(s.runs.Load(), int64(2))
		})
	}
}

// connectionIdleTime is enough for net/http to notice that an answer is complete.
const connectionIdleTime = 50 * time.Millisecond

// TestCloseDoubtfulKeepsConnectionsToOthers guards against new connections to all targets each
// time that one target is slow. Those to other targets stay if enough old connections have
// just carried answers.
func TestCloseDoubtfulKeepsConnectionsToOthers(t *testing.T) {
	tests := []struct {
		name string
		// answering is the number of other targets that answer after the late request was
		// sent, and ago how long before the check they did so.
		answering int
		ago       time.Duration
		// conns is the number of connections to each of the others in the end, and late that
		// to the target of the late request.
		conns, late int64
	}{
		{name: "others answer", answering: 3, conns: 1, late: 2},
		{name: "too few others answer", answering: 2, conns: 2, late: 2},
		{name: "others answered long ago", answering: 3, ago: time.Second, conns: 2, late: 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			client := newClient()
			defer client.Close()
			late, idle := startScriptedServer(t, okReply), startScriptedServer(t, okReply)
			servers := []*scriptedServer{late, idle}
			for range tt.answering {
				servers = append(servers, startScriptedServer(t, okReply))
			}
			for _, s := range servers {
				post(t, client, s)
			}
			time.Sleep(connectionIdleTime)
			since := time.Now()
			for _, s := range servers[2:] {
				post(t, client, s)
			}
			time.Sleep(connectionIdleTime)
			client.CloseDoubtful(time.Now().Add(tt.ago), since, late.listener.Addr().String())
			post(t, client, late)
			post(t, client, idle)
			is.Equal(late.conns.Load(), tt.late)
			is.Equal(idle.conns.Load(), tt.conns)
		})
	}
}

// TestCloseExpiredObeysTheIdleTimeoutOfTheTarget guards against requests on a connection
// that the target closes at the same moment, after the idle timeout that it stated.
func TestCloseExpiredObeysTheIdleTimeoutOfTheTarget(t *testing.T) {
	tests := []struct {
		name   string
		header string
		after  time.Duration
		conns  int64
	}{
		{name: "idle for less", header: "Keep-Alive: timeout=5\r\n", after: time.Second, conns: 1},
		{name: "idle timeout almost over", header: "Keep-Alive: max=7, timeout=5\r\n", after: 4500 * time.Millisecond, conns: 2},
		{name: "no timeout stated", header: "", after: time.Hour, conns: 1},
		{name: "malformed", header: "Keep-Alive: timeout=soon\r\n", after: time.Hour, conns: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := startScriptedServer(t, strings.Replace(okReply, "Content-Length", tt.header+"Content-Length", 1))
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
