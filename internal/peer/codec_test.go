package peer

import (
	"testing"

	"github.com/matryer/is"
	"google.golang.org/grpc/mem"
	"google.golang.org/protobuf/proto"

	"gitlab.com/curranttiller/curranttiller/internal/peerpb"
)

// TestBoundedCodec checks that messages of usual parts pass at any length, and that those of
// very many empty parts don't, also if the parts are nested.
func TestBoundedCodec(t *testing.T) {
	row := &peerpb.Member{Name: "entry1", Incarnation: 7, FailureDomain: "d1", CallerAddress: "192.0.2.1:8144", PeerAddress: "192.0.2.1:8146"}
	field := &peerpb.Header{Name: "a", Value: "b"}
	head := func(fields []*peerpb.Header) proto.Message {
		return &peerpb.ForwardPart{Part: &peerpb.ForwardPart_Head{Head: &peerpb.ForwardHead{Headers: fields}}}
	}
	tests := []struct {
		name    string
		message proto.Message
		into    proto.Message
		refused bool
	}{
		{name: "a table of many hosts", message: &peerpb.HeartbeatMessage{Members: repeated(row, 20_000)}, into: &peerpb.HeartbeatMessage{}},
		{name: "empty rows", message: &peerpb.HeartbeatMessage{Members: repeated(&peerpb.Member{}, 20_000)}, into: &peerpb.HeartbeatMessage{}, refused: true},
		{name: "a head with as many fields as callers may send", message: head(repeated(field, 8191)), into: &peerpb.ForwardPart{}},
		{name: "empty fields in a head", message: head(repeated(&peerpb.Header{}, 20_000)), into: &peerpb.ForwardPart{}, refused: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			encoded, err := proto.Marshal(tt.message)
			is.NoErr(err)
			err = newBoundedCodec().Unmarshal(mem.BufferSlice{mem.SliceBuffer(encoded)}, tt.into)
			is.Equal(err != nil, tt.refused)
			is.True(tt.refused || proto.Equal(tt.message, tt.into))
		})
	}
}

func repeated[T any](part T, count int) []T {
	parts := make([]T, count)
	for i := range parts {
		parts[i] = part
	}
	return parts
}
