package choose

import (
	"slices"
	"time"

	"gitlab.com/curranttiller/curranttiller/pkg/spec"
)

func (p *Pool) hedgeAfter(r *pending) time.Duration {
	if !r.Idempotent || r.NoExtraAttempts || p.settings.HedgeQuantile >= 1 || r.hasUsedAllAttempts() {
		return 0
	}
	return p.latencies.hedgeDelay
}

// Hedge asks for a second attempt of a request that is still out.
func (p *Pool) Hedge(now time.Time, id uint64) Actions {
	r, found := p.requests[id]
	if !found || r.hasUsedAllAttempts() || p.load > p.settings.BusyShare || p.waiting.len() > 0 {
		return Actions{}
	}
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

// Retry puts a request back at the head of the queue after a failed attempt,
// and reports whether that is allowed. A rescue from a connection that went
// silent is not counted against the budget, since every connection can need only one.
func (p *Pool) Retry(now time.Time, id uint64, isRescue bool) (Actions, bool) {
	r, found := p.requests[id]
	if !found || r.hasUsedAllAttempts() {
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

// Finish ends one attempt, which counts from one, and frees its slot.
func (p *Pool) Finish(now time.Time, id uint64, number int, outcome Outcome) Actions {
	s := p.endAttempt(id, number)
	if s == nil {
		return Actions{}
	}
	p.markObserved(s)
	if p.settings.Policy == spec.PolicySpeed {
		p.learnFromOutcome(now, p.requests[id], number, outcome)
	}
	if outcome.Report != nil {
		s.recordReport(now, *outcome.Report)
	}
	p.wastedWork.add(outcome)
	p.recordOutcome(now, s, outcome)
	return p.dispatch(now)
}

func (p *Pool) endAttempt(id uint64, number int) *targetState {
	r, found := p.requests[id]
	if !found || number < 1 || number > len(r.attempts) {
		return nil
	}
	ended := r.attempts[number-1]
	ended.target.finishAttempt(ended.sent)
	if !ended.suspect {
		p.releaseSlot(ended.target)
	}
	return ended.target
}

// hungFactor is how many times the expected latency an attempt must have been out to count as failed when it is suspect; slow answers take less.
const hungFactor = 3

// MarkSuspect frees the slots of a request's attempts, which are so late that their
// connections may have gone silent. The targets stay under suspicion until the attempts end.
func (p *Pool) MarkSuspect(now time.Time, id uint64) Actions {
	r, found := p.requests[id]
	if !found {
		return Actions{}
	}
	for i := range r.attempts {
		a := &r.attempts[i]
		if !a.suspect && a.target.isInFlight(a.sent) {
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
		// A target that declines with slots free is not full, it fails.
		if outcome.Report == nil || outcome.Report.Running+outcome.Report.Waiting >= p.slots(s) {
			s.limit = max(s.inFlight, 1)
		}
	case Cancelled:
		s.lastAnswer = now
		s.lastLatency = max(outcome.Latency, p.latencies.median)
	case Unused:
	}
}

// tryEjectSlow ejects a slow target unless many are out of use already: then it
// is the service that is slow.
func (p *Pool) tryEjectSlow(now time.Time, s *targetState) {
	out := 0
	for _, other := range p.targets {
		if other.isEjected(now) {
			out++
		}
	}
	if out*slowEjectionDivisor < len(p.targets) {
		p.tryEject(now, s, "slow answers in a row")
	}
}

// tryEject ejects a target if enough others remain.
func (p *Pool) tryEject(now time.Time, s *targetState, cause string) {
	remaining := 0
	for _, other := range p.targets {
		if other != s && other.acceptsWork(now) && !other.onTrial {
			remaining++
		}
	}
	if remaining >= 1 && remaining*usableTargetsDivisor >= len(p.targets) {
		s.eject(now, cause)
		p.ejected = append(slices.DeleteFunc(p.ejected, func(o *targetState) bool { return o == s }), s)
	}
}

// Release forgets a request, which must have no attempt in flight any more.
func (p *Pool) Release(now time.Time, id uint64) Actions {
	p.waiting.remove(id)
	delete(p.requests, id)
	if p.settings.Policy == spec.PolicySpeed {
		// The slots of its attempts were given on when they ended.
		return Actions{}
	}
	return p.dispatch(now)
}

// Ejection is a target that is out of use for a while.
type Ejection struct {
	Target string
	Cause  string
}

// Ejections returns the targets that are out of use.
func (p *Pool) Ejections(now time.Time) []Ejection {
	p.ejected = slices.DeleteFunc(p.ejected, func(s *targetState) bool { return s.removed || !s.isEjected(now) })
	ejections := make([]Ejection, 0, len(p.ejected))
	for _, s := range p.ejected {
		ejections = append(ejections, Ejection{Target: s.Name, Cause: s.ejectCause})
	}
	return ejections
}

// HasTarget reports whether a target is among those that the pool may use.
func (p *Pool) HasTarget(target string) bool {
	return p.find(target) != nil
}
