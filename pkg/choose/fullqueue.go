package choose

import "time"

// Targets of some services reset connections instead of declining requests while their queue
// is full. A request that may run only once is then lost, because it may have run. Load
// pattern: many hosts choose the same target at once, since their knowledge of each other's
// requests is old, and slow targets keep requests whose slots count as free.

const (
	// fullQueuePeriod is how long a host expects full queues after a target has ended an
	// attempt at once without an answer.
	fullQueuePeriod = 10 * time.Second
	// atOnceShare is the share of the expected latency up to which an attempt ends at once.
	// Connections that break while the target works end later.
	atOnceShare = 0.25
	// queuePerSlot is the number of requests per slot that the hosts together leave at a
	// target while full queues are expected.
	queuePerSlot = 4
)

// observeFullQueue records that a target has ended an attempt at once without an answer.
func (p *Pool) observeFullQueue(now time.Time, a *attempt, outcome Outcome) {
	isAtOnce := float64(now.Sub(a.sent)) < atOnceShare*float64(a.expectedLatency)
	if p.hasOrganisations && outcome.Kind == Errored && outcome.Report == nil && isAtOnce {
		p.fullQueueAt = now
	}
}

// hasOwnRoom reports whether this host may have another request at the target while full
// queues are expected. Each host may have its part of queuePerSlot requests per slot,
// suspect ones included, so that the hosts don't fill the queue together whatever they know
// of each other. Every host may have one, so this holds for up to queuePerSlot hosts per slot.
func (p *Pool) hasOwnRoom(now time.Time, s *targetState) bool {
	if now.Sub(p.fullQueueAt) >= fullQueuePeriod {
		return true
	}
	hosts := max(p.sharingHosts, 1)
	return len(s.attemptTimes) < max((queuePerSlot*p.slots(s)+hosts-1)/hosts, 1)
}
