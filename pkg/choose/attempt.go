package choose

import (
	"slices"
	"time"

	"gitlab.com/curranttiller/curranttiller/pkg/spec"
)

// hedgeAfter is the delay after which to hedge a request under policies other than Speed.
// It is zero if the request must not be hedged or the latency of the service is unknown.
func (p *Pool) hedgeAfter(r *pending) time.Duration {
	if !r.Idempotent || r.NoExtraAttempts || p.settings.HedgeQuantile >= 1 || r.hasUsedAllAttempts() {
		return 0
	}
	return p.latencies.hedgeDelay
}

// Hedge grants another attempt of a request that has a late one in flight, if an
// untried target is usable. It does nothing while other requests wait, while the load
// exceeds Settings.BusyShare or while the budget for extra attempts is spent. The policy
// Speed queues the request if no target can start it at once, and the other policies do
// not hedge while hedges waste too much work.
func (p *Pool) Hedge(now time.Time, id uint64) Actions {
	r, found := p.requests[id]
	if !found || r.hasUsedAllAttempts() || p.outlastsStop(now, r) || p.load > p.settings.BusyShare || p.waiting.len() > 0 {
		return Actions{}
	}
	p.refreshDepartures(now)
	if p.settings.Policy == spec.PolicySpeed {
		if !p.mayHedge(r) {
			return Actions{}
		}
		return p.hedgeBySpeed(now, r)
	}
	target, _ := p.pick(now, r)
	if target == nil || r.hasTried(target.Name) || target.isEjected(now) || p.wastedWork.exceedsLimit() || !p.extraBudget.SpendAbove(p.hedgeReserve()) {
		return Actions{}
	}
	return Actions{Grants: []Grant{p.grant(now, r, target, CauseHedge+" of a late answer")}}
}

// Retry puts a request back at the head of its priority in the queue after a failed
// attempt, or beside a suspect one as a rescue, and reports whether that is allowed. It
// must not be called for a request that is not idempotent and may have run. A rescue is
// allowed also above Settings.BusyShare and with Request.NoExtraAttempts. It does not
// spend from the budget for extra attempts unless Settings.ChargeRescues is set, because
// a dead connection causes at most one rescue.
func (p *Pool) Retry(now time.Time, id uint64, isRescue bool) (Actions, bool) {
	r, found := p.requests[id]
	if !found || r.hasUsedAllAttempts() || p.outlastsStop(now, r) {
		return Actions{}, false
	}
	if p.refreshDepartures(now); !p.hasActiveTarget() {
		return Actions{}, false
	}
	if isRescue && p.settings.ChargeRescues && !p.extraBudget.SpendAbove(p.priorityReserve(r)) {
		return Actions{}, false
	}
	if !isRescue && (r.NoExtraAttempts || p.load > p.settings.BusyShare || !p.extraBudget.SpendAbove(p.priorityReserve(r))) {
		return Actions{}, false
	}
	if !p.waiting.has(id) {
		p.waiting.pushFront(r)
	}
	return p.dispatch(now), true
}

// Finish ends the attempt with the given number, from 1, and frees its slot. It must be
// called once for each grant, and does nothing for an attempt that was never granted or
// whose request was released.
func (p *Pool) Finish(now time.Time, id uint64, number int, outcome Outcome) Actions {
	s := p.endAttempt(id, number)
	if s == nil {
		return Actions{}
	}
	p.markObserved(s)
	outcome = p.weighRejection(&p.requests[id].attempts[number-1], p.requests[id].Class, outcome)
	if p.settings.Policy == spec.PolicySpeed {
		p.learnFromOutcome(now, p.requests[id], number, outcome)
	}
	p.observeFullQueue(now, &p.requests[id].attempts[number-1], outcome)
	p.observeLimit(now, &p.requests[id].attempts[number-1], outcome)
	if outcome.Report != nil {
		s.recordReport(now, *outcome.Report)
	}
	p.wastedWork.add(outcome)
	if !p.requests[id].IsPaced || outcome.Kind == Errored || outcome.Kind == Declined {
		p.recordOutcome(now, s, outcome)
	}
	return p.dispatch(now)
}

// endAttempt frees the slot of an attempt and returns its target, or nil if there is
// no such attempt.
func (p *Pool) endAttempt(id uint64, number int) *targetState {
	r, found := p.requests[id]
	if !found || number < 1 || number > len(r.attempts) {
		return nil
	}
	ended := &r.attempts[number-1]
	ended.ended = true
	if !r.IsPaced {
		ended.target.finishAttempt(ended.sent)
	}
	if !ended.suspect {
		p.releaseSlot(ended.target)
	}
	return ended.target
}

// hungFactor is the multiple of the expected latency from which a suspect attempt
// counts as an error of the target. Answers that are only late rarely take that long. An
// attempt can become suspect at a lower age if its deadline is near or an earlier attempt
// is overdue.
const hungFactor = 3

// MarkSuspect marks those attempts of a request that are in flight as suspect and frees
// their slots. They are so late that their connections may be dead. Until they end,
// their age still raises the expected latency or the cost of their targets.
func (p *Pool) MarkSuspect(now time.Time, id uint64) Actions {
	r, found := p.requests[id]
	if !found {
		return Actions{}
	}
	for i := range r.attempts {
		a := &r.attempts[i]
		if !a.suspect && !a.ended && a.target.isInFlight(a.sent) {
			a.suspect = true
			p.releaseSlot(a.target)
			if a.expectedLatency > 0 && now.Sub(a.sent) >= hungFactor*a.expectedLatency {
				a.target.estimate.addError(now)
				p.markObserved(a.target)
			}
		}
	}
	return p.dispatch(now)
}

// recordOutcome updates the state of a target at the end of an attempt, and ejects
// the target if it has failed or been slow too often.
func (p *Pool) recordOutcome(now time.Time, s *targetState, outcome Outcome) {
	switch outcome.Kind {
	case Answered:
		s.recordAnswer(now, outcome.Latency, p.latencies.slowThreshold(), p.slots(s))
		p.latencies.add(now, outcome.Latency)
		if p.settings.Policy != spec.PolicySpeed && (s.slowInRow >= slowAnswersToEject || (s.slowInRow > 0 && s.onTrial)) {
			p.tryEjectSlow(now, s)
		}
	case Errored:
		s.errorsInRow++
		if s.errorsInRow >= errorsToEject || s.onTrial {
			p.tryEject(now, s, "errors in a row")
		}
	case Declined:
		// A target that declines a request although it reports free slots is faulty
		// and not full, so its limit stays.
		if outcome.Report == nil || outcome.Report.Running+outcome.Report.Waiting >= p.slots(s) {
			s.limit = max(s.inFlight, 1)
		}
	case Cancelled:
		s.lastLatencyAt = now
		s.lastLatency = max(outcome.Latency, p.latencies.median)
	case Unused:
	}
}

// tryEjectSlow ejects a slow target unless a fifth or more of the targets are ejected
// already, because then the service as a whole is slow.
func (p *Pool) tryEjectSlow(now time.Time, s *targetState) {
	ejected := 0
	for _, other := range p.targets {
		if other.isEjected(now) {
			ejected++
		}
	}
	if ejected*slowEjectionDivisor < len(p.targets) {
		p.tryEject(now, s, "slow answers in a row")
	}
}

// tryEject ejects a target if enough others remain in use.
func (p *Pool) tryEject(now time.Time, s *targetState, cause string) {
	remaining := 0
	for _, other := range p.targets {
		if other != s && other.acceptsWork(now) && !other.onTrial {
			remaining++
		}
	}
	if remaining >= 1 && remaining*usableTargetsDivisor >= len(p.targets) {
		s.eject(now, cause)
		// It may be down, and start again.
		p.assumeCold(now, s.ejectedUntil, s)
		p.ejected = append(slices.DeleteFunc(p.ejected, func(o *targetState) bool { return o == s }), s)
	}
}

// Release removes a request, which must have no attempt in flight any more.
func (p *Pool) Release(now time.Time, id uint64) Actions {
	p.waiting.remove(id)
	p.remove(id)
	if p.settings.Policy == spec.PolicySpeed {
		// The slots of its attempts were granted to other requests when the attempts ended.
		return Actions{}
	}
	return p.dispatch(now)
}

// Ejection describes a target that is ejected.
type Ejection struct {
	Target string
	// Cause says what the target was ejected for.
	Cause string
}

// Ejections returns the targets that are ejected now, in the order of their ejection.
func (p *Pool) Ejections(now time.Time) []Ejection {
	p.ejected = slices.DeleteFunc(p.ejected, func(s *targetState) bool { return s.removed || !s.isEjected(now) })
	ejections := make([]Ejection, 0, len(p.ejected))
	for _, s := range p.ejected {
		ejections = append(ejections, Ejection{Target: s.Name, Cause: s.ejectCause})
	}
	return ejections
}

// HasTarget reports whether a target is in the list that SetTargets has set.
func (p *Pool) HasTarget(target string) bool {
	return p.find(target) != nil
}
