// Package plat is a client of the platform on which the load balancer runs, and defines
// the messages of its protocol. The protocol is HTTP, and the replies are JSON.
//
// A platform offers append-only logs, called streams, and a list of hosts. The records
// of a stream have consecutive offsets and are deleted after a retention time. The
// stream of documents holds the settings of each service. The list names the entry
// hosts, which are the processes of the load balancer, and the targets, which are the
// backend servers of the services. A change appears on the list with a delay that may be
// some seconds.
//
// docs/PLATFORM.md specifies the protocol.
package plat
