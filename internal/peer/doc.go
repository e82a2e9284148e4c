// Package peer connects entry hosts with each other over gRPC: heartbeats, documents and forwarded requests.
package peer
