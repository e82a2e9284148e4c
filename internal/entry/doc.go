// Package entry is the daemon of an entry host, the proxy to which callers send their
// requests. It owns the goroutines, sockets and clocks of the host. The decisions are
// made by the state machines under pkg/, which do no I/O and get the current time as
// an argument.
//
// # Requests
//
// A caller sends a request for a service to any entry host. The host queues it in the
// service's pool (pkg/choose) until the pool grants it a slot of one of the service's
// targets, which are the backend servers. A slot allows one request at a time. An
// attempt is one try of a request at one target. An attempt after the first is a retry
// after a failure, a hedge if the first is slow, or a rescue if the first connection
// may be dead, and uses a new connection. Retries and hedges are the extra attempts,
// which a budget limits. Rescues spend from this budget only under the policy Speed
// (see below). The host measures how fast a target is by requests and by probes, which
// are small requests of its own. A target with several consecutive failures is ejected, which means that it
// gets no requests for a while. The result of a request has a verdict, which says
// whether a target ran the request, may have run it or did not run it. Answers to
// requests without a route (see Platforms) carry the verdict in a header.
//
// The policy of a service decides which target a request is sent to. Under the policy
// Held this is the expected fastest one of a subset of the targets, and under the
// policy Speed the expected fastest one of all. Package choose describes these and the
// other policies.
//
// # Platforms
//
// The daemon works with one of two kinds of platform, see Adapter. On the project's
// own platform it reads a log of documents, which hold the settings of one service
// each, and a list of hosts. It has no routes, and the caller names the service. On
// a platform with a store it reads topics. A topic is a log of records with keys and
// offsets, and the newest record of a key is called a fact. The daemon follows the
// topics Configuration, which holds routes and services, and Targets. A route selects
// the service by the HTTP host and path of a request. Its terms are what it prescribes
// for its requests, such as the number of attempts. The topic EntryHosts only serves
// to find other hosts. Few hosts read the store, and the others get the facts from
// them. The offset of a topic at a host is the one below which the host has applied
// all records. The age of a topic at a host is the time since the store confirmed that
// there are no newer facts than those of the host. The hosts that don't read the store
// get the age from beacons.
//
// # Other entry hosts
//
// Entry hosts find each other through the addresses of a few hosts in the settings,
// the seeds. They exchange membership tables by gossip, in messages called heartbeats.
// The incarnation of a host is the time at which its process started. It distinguishes
// processes that ran under the same name. A table has a row for each host, with its
// addresses, its incarnation and a counter that the host raises in every heartbeat
// period. A heartbeat carries the counters of the sender's rows. Each side merges the
// counters that it receives, and sends the whole rows that the other side lacks.
//
// The holders of a service are the hosts that should serve its requests. Each of them
// holds a part of the targets, which it probes. The other targets are spares to it,
// which the policy Held uses only if no held target is usable, and the policy Speed if
// they are expected to be faster. Without a store each service has its own holders, to
// which other hosts forward requests. With a store callers are directed to the
// strongest hosts, which are those with the largest capacity in slots, spread over the
// failure domains. These are the steered hosts, and they are the holders of all
// services. The other hosts are ready to replace them.
//
// With a store, hosts also send each other beacons, which are small UDP datagrams that
// show that the sender is alive. A beacon carries the offset and age of each topic
// and, between steered hosts, observations. An observation is what the sender itself
// measured at a target. It contains the number of the sender's requests in flight
// there, the share of its attempts and probes that failed, and the slowdown that the
// target last reported to it, which is the factor by which requests take longer there
// than usual. The receivers of a host's beacons are its fan-out. A full beacon goes to
// all of them. Other beacons go only to hosts that get observations or are asked for
// them. While steered hosts are few, each sends beacons to all hosts, which is called a
// full mesh. Otherwise the steered hosts of a failure domain share all observations
// with each other, and if they are too many for that, they are divided into cells that
// do so. Outside a full mesh, a few relays in each failure domain pass on the state of
// the topics, and which steered hosts are alive, to their domain and to the relays of
// others.
//
// # Idempotency keys
//
// A non-idempotent request with an idempotency key is run at most once if it has no
// route. The key contains a token, which callers get in a directory answer. It names
// the key's home, which is an entry host and its incarnation. Other hosts forward the
// request to its home, which remembers the answer for later submissions.
package entry
