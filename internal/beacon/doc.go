// Package beacon encodes, sends and receives beacons, the UDP datagrams that the
// entry hosts of a load balancer exchange.
//
// An entry host is a host that takes requests from callers and passes them on
// to targets, the backend servers of a service. With a beacon, an entry host
// reports to its peers
//
//   - how far it has read each topic of the log that holds the configuration
//     and the targets, so that a peer that is behind can fetch the rest from it,
//   - what it has measured at the targets, such as its requests in flight and the
//     slowdown, so that peers rank targets by the load of all entry hosts,
//   - if it is a relay, a host that passes reports on between groups of hosts,
//     which steered hosts are alive. Steered hosts are the entry hosts whose
//     addresses callers receive from the directory, and in a large installation
//     not all of them send beacons to each other.
//
// Beacons are neither acknowledged nor sent again. The next one reports the current
// values, so a lost beacon only delays an update.
package beacon
