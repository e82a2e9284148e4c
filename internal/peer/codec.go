package peer

import (
	"github.com/rotisserie/eris"
	"google.golang.org/grpc/encoding"
	protocodec "google.golang.org/grpc/encoding/proto"
	"google.golang.org/grpc/mem"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

const (
	// maxSmallParts is the number of parts that any message may have, such as the rows of a
	// table. A longer message may have one more for each partBytes. An empty part takes two
	// bytes on the wire and a hundred times as many when it is decoded.
	maxSmallParts = 8192
	partBytes     = 32
)

// boundedCodec is the codec of gRPC for protocol buffers, but refuses messages that consist of
// very many small parts.
type boundedCodec struct {
	encoding.CodecV2
}

func newBoundedCodec() boundedCodec {
	return boundedCodec{encoding.GetCodecV2(protocodec.Name)}
}

// Unmarshal implements encoding.CodecV2.
func (c boundedCodec) Unmarshal(data mem.BufferSlice, v any) error {
	if message, ok := v.(proto.Message); ok && data.Len() > maxSmallParts {
		buffer := data.MaterializeToBuffer(mem.DefaultBufferPool())
		defer buffer.Free()
		left := maxSmallParts + data.Len()/partBytes
		if err := countParts(buffer.ReadOnlyData(), message.ProtoReflect().Descriptor(), &left); err != nil {
			return err
		}
	}
	return c.CodecV2.Unmarshal(data, v)
}

// countParts subtracts the number of messages within an encoded message from left. It returns
// an error if there are more, or if the message is malformed.
func countParts(encoded []byte, descriptor protoreflect.MessageDescriptor, left *int) error {
	for len(encoded) > 0 {
		number, kind, size := protowire.ConsumeTag(encoded)
		if size < 0 {
			return eris.Wrap(protowire.ParseError(size), "reading a field of a message")
		}
		encoded = encoded[size:]
		size = protowire.ConsumeFieldValue(number, kind, encoded)
		if size < 0 {
			return eris.Wrap(protowire.ParseError(size), "reading a field of a message")
		}
		value := encoded[:size]
		encoded = encoded[size:]
		field := descriptor.Fields().ByNumber(number)
		if kind != protowire.BytesType || field == nil || field.Message() == nil {
			continue
		}
		if *left--; *left < 0 {
			return eris.Errorf("message %s has too many parts", descriptor.Name())
		}
		part, _ := protowire.ConsumeBytes(value)
		if err := countParts(part, field.Message(), left); err != nil {
			return err
		}
	}
	return nil
}
