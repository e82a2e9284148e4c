package peer_test

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"
	"github.com/rotisserie/eris"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"gitlab.com/curranttiller/curranttiller/internal/gate"
	"gitlab.com/curranttiller/curranttiller/internal/peer"
	"gitlab.com/curranttiller/curranttiller/internal/peerpb"
	"gitlab.com/curranttiller/curranttiller/internal/route"
	"gitlab.com/curranttiller/curranttiller/pkg/admit"
	"gitlab.com/curranttiller/curranttiller/pkg/facts"
	"gitlab.com/curranttiller/curranttiller/pkg/fault"
	"gitlab.com/curranttiller/curranttiller/pkg/ledger"
)

// maxAnswerBytes is more than a host sends on a connection with one answer.
const maxAnswerBytes = 400

// echo is a handler that answers a forwarded request with its own body.
type echo struct {
	// truncatesAnswer makes Serve fail before the part that marks the end of the answer.
	truncatesAnswer bool
}

func (echo) Heartbeat(received *peer.Heartbeat) peer.Heartbeat { return *received }

func (echo) Documents(map[ledger.Version]bool) peer.Documents { return peer.Documents{} }

func (echo) Facts(q *peer.FactsRequest) (peer.FactsReply, bool) {
	delta := facts.Delta{Through: q.From + 1, Facts: []facts.Fact{{Key: "k", Offset: q.From, Value: []byte("v")}}}
	return peer.FactsReply{Delta: delta, RedirectTo: q.Requester.Address}, q.Topic == "known"
}

func (e echo) Serve(_ context.Context, request *route.Request, w http.ResponseWriter) error {
	w.Header().Set("X-Path", request.URI)
	w.WriteHeader(http.StatusTeapot)
	_, err := io.Copy(w, request.Body)
	if e.truncatesAnswer || err != nil {
		return route.ErrTruncated
	}
	return nil
}

func startServer(t *testing.T, handler peer.Handler) (address string) {
	t.Helper()
	var config net.ListenConfig
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := peer.NewServer(handler, gate.New("peer", gate.Limits{Limits: admit.Limits{Connections: 100, Bytes: 64 << 20}}, metrics.NewSet(), slog.New(slog.DiscardHandler)), new(atomic.Int64))
	server.Start(listener)
	t.Cleanup(func() { server.Close(time.Second) })
	return listener.Addr().String()
}

func forward(address, body string) (*httptest.ResponseRecorder, error) {
	pool := peer.NewPool(new(atomic.Int64))
	defer pool.Close()
	w := httptest.NewRecorder()
	request := &route.Request{
		Service: "s", Method: http.MethodPost, URI: "/x", Header: http.Header{"A": {"b"}},
		Body: strings.NewReader(body), ContentLength: int64(len(body)), Deadline: time.Now().Add(5 * time.Second),
	}
	err := pool.Forward(context.Background(), address, request, w)
	return w, err
}

func TestForward(t *testing.T) {
	is := is.New(t)
	large := strings.Repeat("0123456789", 100_000)
	w, err := forward(startServer(t, echo{}), large)
	is.NoErr(err)
	is.Equal(w.Code, http.StatusTeapot)
	is.Equal(w.Header().Get("X-Path"), "/x")
	is.Equal(w.Body.String() == large, true)
}

// TestForwardReportsTruncatedAnswer guards against a truncated answer that the entry host
// passes on to the caller as a complete one.
func TestForwardReportsTruncatedAnswer(t *testing.T) {
	is := is.New(t)
	_, err := forward(startServer(t, echo{truncatesAnswer: true}), "body")
	is.True(errors.Is(err, route.ErrTruncated))
}

// startCutter returns the address of a proxy to a host that passes on a number of bytes of what
// the host sends, and then ends or resets the connection.
func startCutter(t *testing.T, host string, passedBytes int64, resets bool) string {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				server, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", host)
				if err != nil {
					return
				}
				defer func() { _ = server.Close() }()
				go func() { _, _ = io.Copy(server, conn) }()
				_, _ = io.CopyN(conn, server, passedBytes)
				if resets {
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// TestForwardReportsCutConnection cuts the connection to another host after each byte of its
// answer.
func TestForwardReportsCutConnection(t *testing.T) {
	const body = "whole"
	host := startServer(t, echo{})
	for _, resets := range []bool{false, true} {
		failed, whole := 0, 0
		for passedBytes := range int64(maxAnswerBytes) {
			w, err := forward(startCutter(t, host, passedBytes, resets), body)
			if err != nil {
				failed++
				continue
			}
			whole++
			if w.Code != http.StatusTeapot || w.Body.String() != body {
				t.Errorf("after %d bytes: status %d and body %q", passedBytes, w.Code, w.Body)
			}
		}
		t.Logf("resets %v: %d failed, %d whole", resets, failed, whole)
		if failed == 0 || whole == 0 {
			t.Error("the connections are not cut within the answer")
		}
	}
}

func TestForwardToUnreachableHostIsNotRun(t *testing.T) {
	is := is.New(t)
	_, err := forward("127.0.0.1:1", "body")
	is.Equal(fault.VerdictOf(err), fault.NotRun)
}

// TestServerRefusesOtherVersionsAndMalformedMessages sends calls of other protocol
// versions and a forwarded request without a head, which are refused. Row IDs without
// counters are ignored.
func TestServerRefusesOtherVersionsAndMalformedMessages(t *testing.T) {
	is := is.New(t)
	conn, err := grpc.NewClient("passthrough:///"+startServer(t, echo{}), grpc.WithTransportCredentials(insecure.NewCredentials()))
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	client := peerpb.NewPeerClient(conn)
	_, err = client.Heartbeat(t.Context(), &peerpb.HeartbeatMessage{Protocol: peer.Protocol + 1})
	is.Equal(status.Code(err), codes.FailedPrecondition)
	_, err = client.Documents(t.Context(), &peerpb.DocumentsRequest{})
	is.Equal(status.Code(err), codes.FailedPrecondition)
	stream, err := client.Forward(t.Context())
	is.NoErr(err)
	is.NoErr(stream.Send(&peerpb.ForwardPart{Part: &peerpb.ForwardPart_End{End: true}}))
	_, err = stream.Recv()
	is.Equal(status.Code(err), codes.InvalidArgument)
	_, err = client.Heartbeat(t.Context(), &peerpb.HeartbeatMessage{Protocol: peer.Protocol, Ids: []uint32{1, 2, 3}, Counters: []uint64{1}})
	is.NoErr(err) // row IDs without a counter are ignored
}

func TestFacts(t *testing.T) {
	is := is.New(t)
	address := startServer(t, echo{})
	pool := peer.NewPool(new(atomic.Int64))
	defer pool.Close()
	answer, err := pool.Facts(t.Context(), address, &peer.FactsRequest{Topic: "known", From: 4, Requester: facts.Requester{Address: "10.0.0.1:1"}})
	got := answer.Delta
	is.Equal(answer.RedirectTo, "10.0.0.1:1")
	is.NoErr(err)
	is.Equal(got.Through, uint64(5))
	is.Equal(string(got.Facts[0].Value), "v")
	_, err = pool.Facts(t.Context(), address, &peer.FactsRequest{Topic: "unknown"})
	is.Equal(status.Code(eris.Cause(err)), codes.NotFound)
}

// largeFact is a handler whose topics have one large, repetitive fact like a configuration.
type largeFact struct {
	echo
}

const largeFactBytes = 200 << 10

func (largeFact) Facts(*peer.FactsRequest) (peer.FactsReply, bool) {
	return peer.FactsReply{Delta: facts.Delta{Through: 1, Facts: []facts.Fact{{Key: "config", Value: []byte(strings.Repeat(`{"path-prefix":"/a/"},`, largeFactBytes/22))}}}}, true
}

// TestLargeFactsAreCompressed guards against replies without compression. Many hosts
// request a new configuration from one host at the same time, and uncompressed replies
// saturate the network link of that host for seconds.
func TestLargeFactsAreCompressed(t *testing.T) {
	is := is.New(t)
	address := startServer(t, largeFact{})
	received := new(atomic.Int64)
	pool := peer.NewPool(received)
	defer pool.Close()
	_, err := pool.Facts(t.Context(), address, &peer.FactsRequest{Topic: "known"})
	is.NoErr(err)
	is.True(received.Load() < largeFactBytes/8)
}
