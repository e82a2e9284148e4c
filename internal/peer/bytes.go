package peer

import (
	"context"
	"sync/atomic"

	"google.golang.org/grpc/stats"
)

// byteCounter is a gRPC stats handler that counts the bytes of control calls, which are
// all calls except Forward, as sent over the network.
type byteCounter struct {
	bytes *atomic.Int64
}

const forwardMethod = "/curranttiller.peer.Peer/Forward"

// isForwardKey is the context key of a bool that is true for Forward.
type isForwardKey struct{}

// TagRPC records in the context whether the call is Forward.
func (byteCounter) TagRPC(ctx context.Context, info *stats.RPCTagInfo) context.Context {
	return context.WithValue(ctx, isForwardKey{}, info.FullMethodName == forwardMethod)
}

// HandleRPC counts the messages in both directions and the received headers and
// trailers. gRPC does not report the size of headers and trailers that are sent.
func (c byteCounter) HandleRPC(ctx context.Context, s stats.RPCStats) {
	if isForward, _ := ctx.Value(isForwardKey{}).(bool); isForward {
		return
	}
	switch event := s.(type) {
	case *stats.InPayload:
		c.bytes.Add(int64(event.WireLength))
	case *stats.OutPayload:
		c.bytes.Add(int64(event.WireLength))
	case *stats.InHeader:
		c.bytes.Add(int64(event.WireLength))
	case *stats.InTrailer:
		c.bytes.Add(int64(event.WireLength))
	}
}

// TagConn implements stats.Handler.
func (byteCounter) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context {
	return ctx
}

// HandleConn implements stats.Handler.
func (byteCounter) HandleConn(context.Context, stats.ConnStats) {}
