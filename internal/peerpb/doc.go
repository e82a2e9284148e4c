// Package peerpb is the generated code of the protocol between entry hosts; its source is proto/peer.proto.
package peerpb
