// Package steer divides callers, targets and control messages among the entry hosts of a fleet.
//
// An entry host forwards the requests of callers to the targets of a service.
// Every host computes the same division from the same list of living hosts, so
// that hosts agree on it without sending messages about it. Rendezvous hashing
// keeps changes small, so that the loss of a host moves only what that host had.
// While the lists of two hosts differ, both may hold the same target. That costs
// only speed, because a target queues the requests that exceed its slots.
//
// These terms are used here:
//
//   - A slot is room for one request that a target runs.
//   - The capacity of a host is the number of targets' slots that it can serve.
//     Hosts with a larger capacity are called stronger.
//   - A steered host is an entry host that callers are directed to.
//   - A holder of a service is an entry host that sends requests to its targets
//     itself. Each holder holds a part of the targets, which means that it probes
//     them, and in most cases sends requests to them first.
//   - An observation is what a host measured at a target itself, such as its own
//     requests in flight there.
//   - A cell is a group of steered hosts of one failure domain that share all
//     their observations. Only a failure domain with many of them has cells.
//   - A relay is a host that passes on the offsets of topics, and which steered
//     hosts are alive, to its failure domain and to the relays of others.
//   - A topic is a log of records in the fleet's store. Hosts report to each other
//     up to which offset they have read it.
//   - The fan-out of a host is the set of hosts to which it sends beacons, small
//     periodic messages with its observations and the offsets of its topics.
package steer
