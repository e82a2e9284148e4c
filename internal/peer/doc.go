// Package peer is the gRPC client and server through which the entry hosts of a load
// balancer exchange messages. An entry host takes the requests of callers and passes
// them on to targets, the backend servers of a service.
//
// With Heartbeat, hosts exchange the heartbeat counters and the missing rows of their
// membership tables (package member). With Documents, a host gets the settings of the
// services from another one if it can't read them from the platform (package ledger),
// which is the system that the load balancer runs on. Some platforms have a store of
// topics, which are logs of records with keys. With Facts, a host gets the newest records
// of a topic from another host, so that few hosts have to read the store (package facts).
// With Forward, it passes a caller's request on to another host and streams the answer
// back. The first three are called control calls, and the package counts their bytes.
//
// A Pool makes the calls and a Server answers them. A Server refuses calls of another
// protocol version.
package peer
