// Package steer divides callers, targets and control messages among the entry hosts of a fleet.
//
// An entry host forwards the requests of callers to the targets of a service.
// Every host computes the same division from the same list of living hosts, so
// that hosts agree on it without sending messages about it. In a fleet with a store,
// all steered hosts are the holders of every service. Without a store, the holders of
// each service are chosen by rendezvous hashing, so that the loss of a host changes
// only the services that it held. The targets of these services are then divided anew.
// While the lists of two hosts differ, a target may have two holders or none. That
// only slows requests down, because a target queues the requests that exceed its
// slots, and hosts can send requests also to targets that they do not hold.
//
// These terms are used here:
//
//   - A slot is room for one request that a target runs.
//   - The capacity of a host is the number of slots, summed over targets, that it
//     can keep busy with requests. Hosts with a larger capacity are called stronger.
//   - A steered host is an entry host that callers are directed to.
//   - A holder of a service is an entry host that sends requests to its targets
//     itself. Each holder holds a part of the targets, which it probes. Under
//     spec.PolicyHeld and spec.PolicySpeed it prefers them to the others for its requests.
//   - An observation is a value that a host has measured at a target, such as the
//     number of its own requests in flight there.
//   - A cell is a group of steered hosts of one failure domain that share all
//     their observations. A failure domain with up to eight steered hosts has no cells.
//   - A topic is a log of records in the fleet's store. Hosts report to each other
//     the offset up to which they have read it.
//   - A relay is a host that receives these offsets, and the list of the steered
//     hosts that are alive. It passes them on to the other hosts of its failure
//     domain and to the relays of other domains.
//   - The fan-out of a host is the set of hosts to which it sends beacons, small
//     periodic messages with its observations and the offsets of the topics.
package steer
