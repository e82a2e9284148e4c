package peer

import (
	"context"

	"google.golang.org/grpc/codes"
	grpcpeer "google.golang.org/grpc/peer"
	"google.golang.org/grpc/stats"
	"google.golang.org/grpc/status"
	"google.golang.org/grpc/tap"

	"gitlab.com/curranttiller/curranttiller/internal/gate"
)

// callGuard is a gRPC stats handler that tells a gate of the calls on its connections.
type callGuard struct{}

// callKey is the context key of the *gate.Call of a call.
type callKey struct{}

// admitCall refuses a call for which there is no room.
func admitCall(ctx context.Context, info *tap.Info) (context.Context, error) {
	client, _ := grpcpeer.FromContext(ctx)
	address, isGuarded := client.Addr.(gate.CallAddr)
	if !isGuarded {
		return ctx, nil
	}
	call, ok := address.NewCall()
	if !ok {
		return nil, status.Errorf(codes.ResourceExhausted, "host has no room for a call of %s", info.FullMethodName)
	}
	return context.WithValue(ctx, callKey{}, call), nil
}

// TagRPC implements stats.Handler.
func (callGuard) TagRPC(ctx context.Context, info *stats.RPCTagInfo) context.Context {
	return context.WithValue(ctx, isForwardKey{}, info.FullMethodName == forwardMethod)
}

// HandleRPC implements stats.Handler. The messages of Forward are released one after the other,
// those of other calls when the call ends.
func (callGuard) HandleRPC(ctx context.Context, s stats.RPCStats) {
	call, isGuarded := ctx.Value(callKey{}).(*gate.Call)
	if !isGuarded {
		return
	}
	switch event := s.(type) {
	case *stats.InPayload:
		isForward, _ := ctx.Value(isForwardKey{}).(bool)
		call.Read(event.WireLength, event.Length, !isForward)
	case *stats.OutPayload:
		call.Write(event.WireLength)
	case *stats.End:
		call.End()
	}
}

// TagConn implements stats.Handler.
func (callGuard) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context {
	return ctx
}

// HandleConn implements stats.Handler.
func (callGuard) HandleConn(context.Context, stats.ConnStats) {}
