package peer_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rotisserie/eris"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"gitlab.com/curranttiller/curranttiller/internal/peer"
	"gitlab.com/curranttiller/curranttiller/internal/peerpb"
	"gitlab.com/curranttiller/curranttiller/internal/route"
	"gitlab.com/curranttiller/curranttiller/pkg/facts"
	"gitlab.com/curranttiller/curranttiller/pkg/fault"
	"gitlab.com/curranttiller/curranttiller/pkg/ledger"
)

// echo answers a forwarded request with its own body, or cuts the answer in the middle.
type echo struct {
	cut bool
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
	if e.cut || err != nil {
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
	server := peer.NewServer(handler, new(atomic.Int64))
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

func TestCutAnswerIsNotWhole(t *testing.T) {
	is := is.New(t)
	_, err := forward(startServer(t, echo{cut: true}), "body")
	is.True(errors.Is(err, route.ErrTruncated))
}

func TestUnreachableHostDidNotRunIt(t *testing.T) {
	is := is.New(t)
	_, err := forward("127.0.0.1:1", "body")
	is.Equal(fault.VerdictOf(err), fault.NotRun)
}

// TestOtherVersionIsRefused speaks a protocol that this version does not know, and sends nonsense.
func TestOtherVersionIsRefused(t *testing.T) {
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
	is.NoErr(err) // counts without a partner are left out
}

func TestFactsOfATopic(t *testing.T) {
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

// configured tells a large and repetitive fact, as configurations are.
type configured struct {
	echo
}

const configuredBytes = 200 << 10

func (configured) Facts(*peer.FactsRequest) (peer.FactsReply, bool) {
	return peer.FactsReply{Delta: facts.Delta{Through: 1, Facts: []facts.Fact{{Key: "config", Value: []byte(strings.Repeat(`{"path-prefix":"/a/"},`, configuredBytes/22))}}}}, true
}

// TestLargeFactsTravelCompressed replays many hosts that ask one for a new
// configuration at once: uncompressed, they fill its link for seconds.
func TestLargeFactsTravelCompressed(t *testing.T) {
	is := is.New(t)
	address := startServer(t, configured{})
	received := new(atomic.Int64)
	pool := peer.NewPool(received)
	defer pool.Close()
	_, err := pool.Facts(t.Context(), address, &peer.FactsRequest{Topic: "known"})
	is.NoErr(err)
	is.True(received.Load() < configuredBytes/8)
}
