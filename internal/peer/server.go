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

	"gitlab.com/curranttiller/curranttiller/internal/gate"
	"gitlab.com/curranttiller/curranttiller/internal/peerpb"
	"gitlab.com/curranttiller/curranttiller/internal/route"
	"gitlab.com/curranttiller/curranttiller/pkg/facts"
	"gitlab.com/curranttiller/curranttiller/pkg/ledger"
)

const (
	// maxMessageBytes is the size of the largest reply, and maxRequestBytes that of the largest
	// request: a table of thousands of rows, or the head of a forwarded request.
	maxMessageBytes = 4 << 20
	maxRequestBytes = 2 << 20
	// maxCallHeadBytes is the size of the largest head of a call, and maxCalls the largest
	// number of calls on a connection.
	maxCallHeadBytes = 16 << 10
	maxCalls         = 1000
	// helloTimeout is how long a client may take to begin the protocol.
	helloTimeout = 5 * time.Second
	// bufferBytes is the size of a connection's read buffer and of its write buffer. It is
	// below gRPC's default because control messages are short.
	bufferBytes        = 4 << 10
	bodyPartBytes      = 32 << 10
	keepAliveTime      = 10 * time.Second
	keepAliveTimeout   = 3 * time.Second
	minClientKeepAlive = 5 * time.Second
)

// Handler answers the calls of other entry hosts.
type Handler interface {
	// Heartbeat merges the sender's table into the host's and returns the reply.
	Heartbeat(heartbeat *Heartbeat) Heartbeat
	// Documents returns the documents in force. It leaves out the texts of the versions in
	// stored, because the requester has them.
	Documents(stored map[ledger.Version]bool) Documents
	// Facts returns the requested facts of a topic or a redirect. It returns false if the
	// host does not have the topic.
	Facts(request *FactsRequest) (FactsReply, bool)
	// Serve answers a forwarded request. It returns an error if the answer is truncated.
	Serve(ctx context.Context, request *route.Request, w http.ResponseWriter) error
}

// Server is the gRPC server for other entry hosts.
type Server struct {
	peerpb.UnimplementedPeerServer

	handler Handler
	grpc    *grpc.Server
	gate    *gate.Gate
	done    sync.WaitGroup
}

// NewServer returns a server that is not started yet, whose connections a gate bounds. It adds
// the bytes of control calls to controlBytes.
func NewServer(handler Handler, hosts *gate.Gate, controlBytes *atomic.Int64) *Server {
	s := &Server{handler: handler, gate: hosts}
	s.grpc = grpc.NewServer(
		grpc.MaxRecvMsgSize(maxRequestBytes),
		grpc.MaxHeaderListSize(maxCallHeadBytes),
		grpc.MaxConcurrentStreams(maxCalls),
		grpc.ConnectionTimeout(helloTimeout),
		grpc.ForceServerCodecV2(newBoundedCodec()),
		grpc.InTapHandle(admitCall),
		grpc.StatsHandler(callGuard{}),
		grpc.ReadBufferSize(bufferBytes),
		grpc.WriteBufferSize(bufferBytes),
		grpc.StatsHandler(byteCounter{controlBytes}),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepAliveTime, Timeout: keepAliveTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minClientKeepAlive, PermitWithoutStream: true}),
	)
	peerpb.RegisterPeerServer(s.grpc, s)
	return s
}

// Start accepts connections from a listener until Close. It does not block.
func (s *Server) Start(listener net.Listener) {
	s.done.Go(func() { _ = s.grpc.Serve(s.gate.GuardCalls(listener)) })
}

// Close refuses new calls and lets those in progress finish. It aborts the calls that
// are still in progress after the duration wait.
func (s *Server) Close(wait time.Duration) {
	timer := time.AfterFunc(wait, s.grpc.Stop)
	defer timer.Stop()
	s.grpc.GracefulStop()
	s.done.Wait()
}

func checkProtocol(protocol uint32) error {
	if protocol != Protocol {
		return status.Errorf(codes.FailedPrecondition, "protocol version %d is not supported, want %d", protocol, Protocol)
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
	if !areShort(request.GetAskerAddress(), request.GetFailureDomain()) {
		return nil, status.Error(codes.InvalidArgument, "address or failure domain of the requester is too long")
	}
	reply, found := s.handler.Facts(&FactsRequest{Topic: request.GetTopic(), From: request.GetFrom(), Era: request.GetEra(), Requester: facts.Requester{
		Address: request.GetAskerAddress(), FailureDomain: request.GetFailureDomain(), RedirectFailed: request.GetInsists(),
	}})
	if !found {
		return nil, status.Errorf(codes.NotFound, "topic %s is not available at this host", request.GetTopic())
	}
	return factsToWire(&reply), nil
}

// Forward implements peerpb.PeerServer.
func (s *Server) Forward(stream grpc.BidiStreamingServer[peerpb.ForwardPart, peerpb.ForwardPart]) error {
	part, err := stream.Recv()
	if err != nil {
		return err
	}
	head := part.GetHead()
	if head == nil {
		return status.Error(codes.InvalidArgument, "first part of a forwarded request has no head")
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

// partReader reads a body from the parts of a stream.
type partReader struct {
	receive func() (*peerpb.ForwardPart, error)
	unread  []byte
	atEnd   bool
}

// Read returns io.EOF only after the part that marks the end, so that a truncated body
// does not look complete.
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

// next receives the next part.
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

// Header implements http.ResponseWriter.
func (w *partWriter) Header() http.Header {
	return w.header
}

// WriteHeader implements http.ResponseWriter. Errors of sending it are returned by the next
// Write or by finish.
func (w *partWriter) WriteHeader(code int) {
	if w.status != 0 {
		return
	}
	w.status = code
	head := &peerpb.ForwardHead{Protocol: Protocol, Status: uint32(code), Headers: headersToWire(w.header)}
	_ = w.stream.Send(&peerpb.ForwardPart{Part: &peerpb.ForwardPart_Head{Head: head}})
}

// Write implements http.ResponseWriter. It sends the bytes in parts of at most
// bodyPartBytes.
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

// finish sends the part that marks the end of the body.
func (w *partWriter) finish() error {
	w.WriteHeader(http.StatusOK)
	return w.stream.Send(&peerpb.ForwardPart{Part: &peerpb.ForwardPart_End{End: true}})
}
