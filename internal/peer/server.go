package peer

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"gitlab.com/curranttiller/curranttiller/internal/peerpb"
	"gitlab.com/curranttiller/curranttiller/internal/route"
	"gitlab.com/curranttiller/curranttiller/pkg/facts"
	"gitlab.com/curranttiller/curranttiller/pkg/ledger"
)

const (
	maxMessageBytes = 4 << 20
	// bufferBytes is the size of a connection's buffers; control messages are short.
	bufferBytes        = 4 << 10
	bodyPartBytes      = 32 << 10
	keepAliveTime      = 10 * time.Second
	keepAliveTimeout   = 3 * time.Second
	minClientKeepAlive = 5 * time.Second
)

// Handler is what a host does for its peers.
type Handler interface {
	// Heartbeat takes a peer's table and returns the host's own.
	Heartbeat(heartbeat *Heartbeat) Heartbeat
	// Documents returns the host's claim and the texts of versions that are not in stored.
	Documents(stored map[ledger.Version]bool) Documents
	// Facts returns what the host knows of a topic, and false if the topic is unknown.
	Facts(request *FactsRequest) (FactsReply, bool)
	// Serve answers a forwarded request; an error means that the answer was cut.
	Serve(ctx context.Context, request *route.Request, w http.ResponseWriter) error
}

// Server accepts the connections of other entry hosts.
type Server struct {
	peerpb.UnimplementedPeerServer

	handler Handler
	grpc    *grpc.Server
	done    sync.WaitGroup
}

// NewServer returns a server for a handler; controlBytes counts the bytes of control calls.
func NewServer(handler Handler, controlBytes *atomic.Int64) *Server {
	s := &Server{handler: handler}
	s.grpc = grpc.NewServer(
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.ReadBufferSize(bufferBytes),
		grpc.WriteBufferSize(bufferBytes),
		grpc.StatsHandler(byteCounter{controlBytes}),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepAliveTime, Timeout: keepAliveTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minClientKeepAlive, PermitWithoutStream: true}),
	)
	peerpb.RegisterPeerServer(s.grpc, s)
	return s
}

// Start serves a listener until Close.
func (s *Server) Start(listener net.Listener) {
	s.done.Go(func() { _ = s.grpc.Serve(listener) })
}

// Close stops accepting, waits up to wait for calls in flight and then cuts them.
func (s *Server) Close(wait time.Duration) {
	timer := time.AfterFunc(wait, s.grpc.Stop)
	defer timer.Stop()
	s.grpc.GracefulStop()
	s.done.Wait()
}

func checkProtocol(protocol uint32) error {
	if protocol != Protocol {
		return status.Errorf(codes.FailedPrecondition, "protocol %d is not spoken here, only %d", protocol, Protocol)
	}
	return nil
}

// Heartbeat implements peerpb.PeerServer.
func (s *Server) Heartbeat(_ context.Context, message *peerpb.HeartbeatMessage) (*peerpb.HeartbeatMessage, error) {
	if err := checkProtocol(message.GetProtocol()); err != nil {
		return nil, err
	}
	received := heartbeatFromWire(message)
	reply := s.handler.Heartbeat(&received)
	return heartbeatToWire(&reply), nil
}

// Documents implements peerpb.PeerServer.
func (s *Server) Documents(_ context.Context, request *peerpb.DocumentsRequest) (*peerpb.DocumentsReply, error) {
	if err := checkProtocol(request.GetProtocol()); err != nil {
		return nil, err
	}
	stored := make(map[ledger.Version]bool)
	for _, v := range request.GetKnown() {
		stored[ledger.Version{Service: v.GetService(), Version: v.GetVersion()}] = true
	}
	d := s.handler.Documents(stored)
	return &peerpb.DocumentsReply{
		Through: d.Snapshot.Through,
		Current: d.Current,
		InForce: versionsToWire(d.Snapshot.InForce, d.Texts),
	}, nil
}

// Facts implements peerpb.PeerServer.
func (s *Server) Facts(_ context.Context, request *peerpb.FactsRequest) (*peerpb.FactsReply, error) {
	if err := checkProtocol(request.GetProtocol()); err != nil {
		return nil, err
	}
	answer, found := s.handler.Facts(&FactsRequest{Topic: request.GetTopic(), From: request.GetFrom(), Requester: facts.Requester{
		Address: request.GetAskerAddress(), FailureDomain: request.GetFailureDomain(), RedirectFailed: request.GetInsists(),
	}})
	if !found {
		return nil, status.Errorf(codes.NotFound, "topic %s is not known here", request.GetTopic())
	}
	return factsToWire(&answer), nil
}

// Forward implements peerpb.PeerServer.
func (s *Server) Forward(stream grpc.BidiStreamingServer[peerpb.ForwardPart, peerpb.ForwardPart]) error {
	part, err := stream.Recv()
	if err != nil {
		return err
	}
	head := part.GetHead()
	if head == nil {
		return status.Error(codes.InvalidArgument, "a forwarded request begins with its head")
	}
	if err := checkProtocol(head.GetProtocol()); err != nil {
		return err
	}
	request := requestFromWire(head, time.Now())
	request.Body = &partReader{receive: stream.Recv}
	w := &partWriter{stream: stream, header: make(http.Header)}
	ctx, cancel := context.WithDeadline(stream.Context(), request.Deadline)
	defer cancel()
	if err := s.handler.Serve(ctx, request, w); err != nil {
		return status.Error(codes.Aborted, err.Error())
	}
	return w.finish()
}

// partReader reads the body parts of a stream up to the part that ends the body.
type partReader struct {
	receive func() (*peerpb.ForwardPart, error)
	unread  []byte
	atEnd   bool
}

// Read returns io.EOF only after the explicit end, so that a cut body does not look whole.
func (r *partReader) Read(p []byte) (int, error) {
	for len(r.unread) == 0 {
		if r.atEnd {
			return 0, io.EOF
		}
		if err := r.next(); err != nil {
			return 0, err
		}
	}
	n := copy(p, r.unread)
	r.unread = r.unread[n:]
	return n, nil
}

func (r *partReader) next() error {
	part, err := r.receive()
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	if err != nil {
		return err
	}
	r.unread = part.GetBody()
	r.atEnd = part.GetEnd()
	return nil
}

// partWriter is an http.ResponseWriter that streams the answer to a peer.
type partWriter struct {
	stream grpc.BidiStreamingServer[peerpb.ForwardPart, peerpb.ForwardPart]
	header http.Header
	status int
}

// Header returns the head to be sent.
func (w *partWriter) Header() http.Header {
	return w.header
}

// WriteHeader sends the head.
func (w *partWriter) WriteHeader(code int) {
	if w.status != 0 {
		return
	}
	w.status = code
	head := &peerpb.ForwardHead{Protocol: Protocol, Status: uint32(code), Headers: headersToWire(w.header)}
	_ = w.stream.Send(&peerpb.ForwardPart{Part: &peerpb.ForwardPart_Head{Head: head}})
}

// Write sends a piece of the body in parts of bounded size.
func (w *partWriter) Write(p []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	sent := 0
	for sent < len(p) {
		piece := p[sent:min(sent+bodyPartBytes, len(p))]
		if err := w.stream.Send(&peerpb.ForwardPart{Part: &peerpb.ForwardPart_Body{Body: piece}}); err != nil {
			return sent, err
		}
		sent += len(piece)
	}
	return sent, nil
}

func (w *partWriter) finish() error {
	w.WriteHeader(http.StatusOK)
	return w.stream.Send(&peerpb.ForwardPart{Part: &peerpb.ForwardPart_End{End: true}})
}
