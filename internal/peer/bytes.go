package peer

import (
	"context"
	"sync/atomic"

	"google.golang.org/grpc/stats"
)

// byteCounter counts the bytes of control calls on the wire; forwarded requests are not control.
type byteCounter struct {
	bytes *atomic.Int64
}

// forwardMethod is the call that carries callers' requests.
const forwardMethod = "/curranttiller.peer.Peer/Forward"

type isForwardKey struct{}

// TagRPC marks the calls that are not counted.
func (byteCounter) TagRPC(ctx context.Context, info *stats.RPCTagInfo) context.Context {
	return context.WithValue(ctx, isForwardKey{}, info.FullMethodName == forwardMethod)
}

// HandleRPC counts headers and payloads both ways.
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

// TagConn returns the context unchanged.
func (byteCounter) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context {
	return ctx
}

// HandleConn does nothing.
func (byteCounter) HandleConn(context.Context, stats.ConnStats) {}
