// Package choose decides, for one service at one entry host, which target gets
// each request and when.
//
// # Requests and attempts
//
// Callers send requests to entry hosts, and entry hosts forward them to targets.
// A target is a server process of the service. It works on a fixed number of
// requests at once, which are its slots. Sending a request to a target is an
// attempt.
//
// A grant is the decision to send an attempt to a target. The attempt occupies one
// of the target's slots until it ends. A refusal is the decision to send no
// further attempt of a request. While neither is decided, the request waits in a queue.
// The queue is ordered by priority. Within a priority, new requests join at the end, and
// requests that need another attempt at the head.
//
// A retry follows an attempt that has failed. A hedge is sent to another target
// while the first attempt is still in flight but late. Retries and hedges are
// the extra attempts. They spend tokens of one bucket, to which each request adds
// a fixed fraction of a token, so that they cannot multiply the load of a failing
// service. Hedges leave a part of the tokens to retries. Only idempotent requests
// are hedged.
//
// An attempt is marked as suspect if its answer is so late that the connection may
// be dead. It no longer occupies a slot then. A rescue is a further attempt of a request
// with a suspect attempt, on a new connection. Rescues spend tokens only if
// [Settings].ChargeRescues is set.
//
// The latency objective of a request is the latency that its answer should not
// exceed. A request can still be answered after its objective, but not after its
// deadline. Requests with similar latencies form a class.
//
// # Targets
//
// The targets of a service are divided among some of the entry hosts. Each of
// these holds its part of the targets and probes them. The other targets are
// spares to it. Sharing hosts are the entry hosts that send requests to the same
// targets.
//
// Targets report their load in answers to requests and to probes. The slowdown of
// a target is the factor by which requests take longer there than usual. The work of
// a request is the latency that it has at a target of slowdown 1. The mean slowdown is
// the average of what the targets report. The unreported slowdown is the factor by
// which a target is slower than it reports. The saturation slowdown is the factor by
// which work takes longer at targets with all slots busy than at those with a free one.
//
// Foreign load is the number of requests that other entry hosts have at a target, as
// its reports show it. An observation is what one entry host has measured at a target
// itself. Entry hosts share their observations.
//
// A cold target has just started and works more slowly than usual for a while. A
// target that joins a pool in use begins with a concurrency limit of one request,
// which grows by one with each answer up to the number of slots.
//
// A target is ejected after three errors without an answer to a request in between.
// Failed probes count as errors, and successful ones don't count as answers. Under all
// policies but Speed, three consecutive slow answers eject it too. An answer is slow if
// its latency exceeds both 5 times the median and twice the 95th percentile of the
// service's latencies. For a time that doubles with each ejection in succession, an
// ejected target gets requests only if no other target is usable.
//
// A target is on trial from its ejection until a request gets an answer from it that is not
// slow, which may come before or after the end of the ejection. While it is on trial,
// another error or failed probe ejects it again, and so does another slow answer unless the
// policy is Speed. After the ejection, a target on trial is chosen only for idempotent
// requests, one at a time. Policies other than Speed choose it for other requests too if no
// other target is usable.
//
// A target stays in use if fewer than a third of the targets would remain without it.
// It is not ejected for slow answers while a fifth or more of the targets are ejected,
// because then the service as a whole is slow.
//
// A target may name a limit, the number of requests a second that it takes from all entry
// hosts together. Package limit decides whether this host may send it an attempt or a probe.
// Targets that it doesn't allow are left out of the choice. If all usable targets name
// limits, requests that would be late by the time they are allowed are refused.
//
// A target may hold off one host, which then sends it nothing for the time that the target
// has named, and returns gently. Until a target is known to be warm, all hosts together send
// it no more than [Settings].ColdPerSecond, again by package limit.
//
// # Policies
//
// The policy of the service determines which target a request is sent to:
//
//   - Held: the target with the lowest expected latency among those with a free
//     slot.
//   - Speed: the target that is expected to answer first, by its reported slowdown
//     and the observations of other entry hosts. Requests that can still meet
//     their latency objective go first.
//   - Reports: the target with the lowest reported load.
//   - TwoChoices: two random targets are drawn, and the one with fewer requests in
//     flight is used.
//   - RoundRobin: the targets in rotation.
//   - Random: a random target.
//
// Under Held and Speed, a request waits in the queue until a target can start it, and
// only then is the target chosen. Held also sends up to [Settings].Overcommit requests
// to a target that has no free slot, and they wait there. The other policies choose a
// target for each request on arrival. They are baselines for comparison. All policies
// but Speed use spares only if no held target is usable.
//
// # Organisations
//
// An organisation has a share of the time of the targets, which its usual requests
// determine. Its requests within that share go before those of others beyond theirs. From
// the first request on that has an organisation, the policy Speed grants requests in the
// order that order.go states.
//
// # Use
//
// A [Pool] is a state machine without goroutines, timers and I/O. The entry host passes
// in the time, the seed of random choices and the results of attempts and probes,
// and carries out the grants and refusals that each call returns.
package choose
