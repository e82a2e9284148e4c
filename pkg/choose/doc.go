// Package choose decides, for one service at one entry host, which target gets
// each request and when.
//
// # Terms
//
// A target is a server process that answers requests of the service. It works on
// a fixed number of requests at once, its slots. An entry host receives requests
// of callers and forwards them to targets. Each run of a request at a target is
// an attempt.
//
// A grant is the decision to send an attempt to a target, and it takes one of
// the target's slots until the attempt ends. A refusal is the decision not to
// run the request. A request that gets neither waits in the queue of the pool.
//
// An attempt after the first one is a retry if the previous attempt failed, and
// a hedge if the previous attempt is still in flight but unusually late. Retries
// and hedges are the extra attempts. They share a token bucket that holds a
// fixed share of the number of requests, so that they cannot multiply the load of a
// failing service. A part of the bucket is reserved for retries. Only idempotent
// requests are hedged.
//
// A rescue is an attempt on a new connection because the first connection may be
// dead. The attempt on the first connection is then marked as suspect and stops
// occupying a slot.
//
// # Targets
//
// A holder of a target is an entry host that is assigned to probe it. For other
// hosts the target is a spare. Sharing hosts are the entry hosts that send
// requests to the same targets with equal priority.
//
// The slowdown of a target is the factor by which work takes longer there than
// usual. Targets report it with their answers and in answers to probes. An
// observation is what one entry host has measured at a target itself; hosts
// exchange their observations. Foreign load is the number of requests at a
// target that other hosts sent. The saturation slowdown is the factor by which
// work takes longer at targets with all slots busy.
//
// A target is ejected after several errors in a row, or after several slow
// answers in a row under every policy but Speed. It gets no requests for a time
// that doubles with each ejection. It is on trial afterwards and gets one
// idempotent request at a time until it has answered one quickly. Targets are
// not ejected where too few would remain in use.
//
// A target that joins a pool in use is cold. Its concurrency limit starts at one
// request and grows by one with each answer up to the number of slots.
//
// # Policies
//
// The policy names how a target is chosen:
//
//   - Held: the request waits until a target has a free slot, and goes to the one
//     with the lowest expected latency. Spares are used only if no own target
//     is usable.
//   - Speed: the request goes to the target that is expected to answer first,
//     by the slowdown that targets report and the observations of other hosts.
//     Requests that can still meet their latency objective go first.
//   - Reports: the target with the lowest reported load.
//   - TwoChoices: the target with fewer requests in flight of two random ones.
//   - RoundRobin: the next target in a fixed order.
//   - Random: any target with equal probability.
//
// Held and Speed bind late: a request waits in the pool until a target can start
// it. The other policies bind early and grant each request at once. They serve
// as baselines in measurements.
//
// # Use
//
// A [Pool] is a state machine without goroutines, timers or input and output.
// The current time, a seed for random choices and the results of attempts are
// arguments, and every call returns the grants and refusals that follow from it.
// They may concern other requests than the one in the call.
package choose
