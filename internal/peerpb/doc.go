// Package peerpb is generated from proto/peer.proto, which defines the gRPC service
// and the messages that the entry hosts of a load balancer exchange.
package peerpb
