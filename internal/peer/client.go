package peer

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/encoding/gzip"
	"google.golang.org/grpc/keepalive"

	"gitlab.com/curranttiller/curranttiller/internal/peerpb"
	"gitlab.com/curranttiller/curranttiller/internal/route"
	"gitlab.com/curranttiller/curranttiller/pkg/fault"
	"gitlab.com/curranttiller/curranttiller/pkg/ledger"
)

const (
	connectTimeout    = time.Second
	backoffBase       = 100 * time.Millisecond
	maxBackoff        = 2 * time.Second
	backoffMultiplier = 1.6
	backoffJitter     = 0.2
	maxHTTPStatus     = 599
)

// Pool calls other entry hosts and holds the connections to them. It is safe for
// concurrent use.
type Pool struct {
	mu sync.Mutex
	// conns has the address of the other host as its key.
	conns map[string]*grpc.ClientConn
	// controlBytes is shared with the owner of the pool.
	controlBytes *atomic.Int64
}

// NewPool returns a pool without connections. It adds the bytes of control calls to
// controlBytes.
func NewPool(controlBytes *atomic.Int64) *Pool {
	return &Pool{conns: make(map[string]*grpc.ClientConn), controlBytes: controlBytes}
}

// Close closes all connections, so that calls in progress fail.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, conn := range p.conns {
		_ = conn.Close()
		delete(p.conns, address)
	}
}

// Disconnect closes the connection to an address, because it may be dead. Calls in progress
// on it fail, and the next call opens a new one.
func (p *Pool) Disconnect(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if conn, found := p.conns[address]; found {
		_ = conn.Close()
		delete(p.conns, address)
	}
}

// CloseExcept closes all connections but those to the given addresses.
func (p *Pool) CloseExcept(addresses map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, conn := range p.conns {
		if !addresses[address] {
			_ = conn.Close()
			delete(p.conns, address)
		}
	}
}

func (p *Pool) connect(address string) (*grpc.ClientConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if conn, found := p.conns[address]; found {
		return conn, nil
	}
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepAliveTime, Timeout: keepAliveTimeout}),
		grpc.WithStatsHandler(byteCounter{p.controlBytes}),
		grpc.WithReadBufferSize(bufferBytes),
		grpc.WithWriteBufferSize(bufferBytes),
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
		grpc.WithNoProxy(),
		grpc.WithMaxHeaderListSize(maxCallHeadBytes),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes), grpc.ForceCodecV2(newBoundedCodec())),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: backoffBase, Multiplier: backoffMultiplier, Jitter: backoffJitter, MaxDelay: maxBackoff},
			MinConnectTimeout: connectTimeout,
		}),
	)
	if err != nil {
		return nil, eris.Wrapf(err, "connecting to entry host %s", address)
	}
	p.conns[address] = conn
	return conn, nil
}

func (p *Pool) client(address string) (peerpb.PeerClient, error) {
	conn, err := p.connect(address)
	if err != nil {
		return nil, err
	}
	return peerpb.NewPeerClient(conn), nil
}

// Heartbeat sends a heartbeat to the host at an address and returns its reply.
func (p *Pool) Heartbeat(ctx context.Context, address string, heartbeat *Heartbeat) (Heartbeat, error) {
	client, err := p.client(address)
	if err != nil {
		return Heartbeat{}, err
	}
	reply, err := client.Heartbeat(ctx, heartbeatToWire(heartbeat))
	if err != nil {
		return Heartbeat{}, eris.Wrapf(err, "heartbeat to %s", address)
	}
	return heartbeatFromWire(reply), nil
}

// Documents requests the documents in force from the host at an address. The reply leaves
// out the texts of the versions in stored.
func (p *Pool) Documents(ctx context.Context, address string, stored []ledger.Version) (Documents, error) {
	client, err := p.client(address)
	if err != nil {
		return Documents{}, err
	}
	reply, err := client.Documents(ctx, &peerpb.DocumentsRequest{Protocol: Protocol, Known: versionsToWire(stored, nil)})
	if err != nil {
		return Documents{}, eris.Wrapf(err, "requesting documents from %s", address)
	}
	return documentsFromWire(reply), nil
}

// Facts requests the facts of a topic from the host at an address. The reply may redirect
// the request to another address.
func (p *Pool) Facts(ctx context.Context, address string, request *FactsRequest) (FactsReply, error) {
	client, err := p.client(address)
	if err != nil {
		return FactsReply{}, err
	}
	message := &peerpb.FactsRequest{
		Protocol: Protocol, Topic: request.Topic, From: request.From, Era: request.Era,
		AskerAddress: request.Requester.Address, FailureDomain: request.Requester.FailureDomain, Insists: request.Requester.RedirectFailed,
	}
	// Many hosts request a new configuration from one host at the same time, and its text
	// compresses well.
	reply, err := client.Facts(ctx, message, grpc.UseCompressor(gzip.Name))
	if err != nil {
		return FactsReply{}, eris.Wrapf(err, "requesting facts of topic %s from %s", request.Topic, address)
	}
	return factsFromWire(reply), nil
}

// Forward sends a caller's request to the host at an address and copies the answer to w.
// The error is a *fault.Error if nothing was written to w, and route.ErrTruncated if the
// answer broke off after its header was written.
func (p *Pool) Forward(ctx context.Context, address string, request *route.Request, w http.ResponseWriter) error {
	conn, err := p.connect(address)
	if err != nil {
		return fault.Wrap(err, fault.NotRun, http.StatusServiceUnavailable, "EntryHostUnreachable")
	}
	if err := waitUntilReady(ctx, conn); err != nil {
		return fault.Wrap(err, fault.NotRun, http.StatusServiceUnavailable, "EntryHostUnreachable")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := peerpb.NewPeerClient(conn).Forward(ctx)
	if err != nil {
		return fault.Wrap(err, fault.NotRun, http.StatusServiceUnavailable, "EntryHostUnreachable")
	}
	head := &peerpb.ForwardPart{Part: &peerpb.ForwardPart_Head{Head: requestToWire(request, time.Now())}}
	if err := stream.Send(head); err != nil {
		return fault.Wrap(err, fault.MayHaveRun, http.StatusBadGateway, "EntryHostLost")
	}
	// The answer may be complete before the whole body is sent, so sendBody may outlast
	// Forward. It ends because reading the body fails once the caller's request has ended.
	go sendBody(stream, request.Body, cancel)
	return copyAnswer(stream, w)
}

// waitUntilReady waits until the connection is established. If the host can't be reached,
// it fails before any part of a request is sent, so the verdict NotRun is certain.
func waitUntilReady(ctx context.Context, conn *grpc.ClientConn) error {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	for state := conn.GetState(); state != connectivity.Ready; state = conn.GetState() {
		if state == connectivity.TransientFailure || state == connectivity.Shutdown {
			return eris.Errorf("connection is in state %s", state)
		}
		conn.Connect()
		if !conn.WaitForStateChange(ctx, state) {
			return ctx.Err()
		}
	}
	return nil
}

// sendBody streams the body of a request. If reading the body fails, it cancels the call.
func sendBody(stream grpc.BidiStreamingClient[peerpb.ForwardPart, peerpb.ForwardPart], body io.Reader, cancel func()) {
	buffer := make([]byte, bodyPartBytes)
	for body != nil {
		n, err := body.Read(buffer)
		if n > 0 && stream.Send(&peerpb.ForwardPart{Part: &peerpb.ForwardPart_Body{Body: buffer[:n]}}) != nil {
			return
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			cancel()
			return
		}
	}
	_ = stream.Send(&peerpb.ForwardPart{Part: &peerpb.ForwardPart_End{End: true}})
	_ = stream.CloseSend()
}

// copyAnswer receives the answer to a forwarded request and writes it to w.
func copyAnswer(stream grpc.BidiStreamingClient[peerpb.ForwardPart, peerpb.ForwardPart], w http.ResponseWriter) error {
	part, err := stream.Recv()
	if err != nil {
		return fault.Wrap(err, fault.MayHaveRun, http.StatusBadGateway, "EntryHostLost")
	}
	head := part.GetHead()
	if head == nil || head.GetStatus() < http.StatusOK || head.GetStatus() > maxHTTPStatus {
		return fault.New(fault.MayHaveRun, http.StatusBadGateway, "EntryHostAnsweredBadly")
	}
	for name, values := range headersFromWire(head.GetHeaders()) {
		w.Header()[name] = values
	}
	w.WriteHeader(int(head.GetStatus()))
	_, err = io.Copy(w, &partReader{receive: stream.Recv})
	if err != nil {
		return route.ErrTruncated
	}
	return nil
}
