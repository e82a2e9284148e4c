// Package beacon encodes, sends and receives beacons, the UDP datagrams that the
// entry hosts of a load balancer exchange.
//
// An entry host is a host that takes requests from callers and passes them on
// to targets, the backend servers of a service. The configuration and the list of
// targets come from the topics of a store. A topic is a log whose records have offsets.
// With a beacon, an entry host reports to its peers
//
//   - the offset up to which it has read each topic. A peer that has read less can
//     fetch the missing records from it.
//   - what it has observed of the targets. This is the number of its own requests in
//     flight there, the share of its requests and probes that fail, and the slowdown
//     that the target reported. Peers can then rank targets by the load of all entry
//     hosts.
//   - what it knows of the limits that targets name for all entry hosts together.
//   - which steered hosts are alive. Steered hosts are the entry hosts to which the
//     directory, a lookup service of the load balancer, directs callers. In a large
//     installation not all of them send beacons to each other. Only relays report
//     this, which are entry hosts that pass reports on between groups of hosts.
//
// Beacons are neither acknowledged nor sent again. The next one reports the current
// values, so a lost beacon only delays an update.
package beacon
