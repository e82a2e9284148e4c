package choose

import (
	"math"
	"slices"
	"time"

	"gitlab.com/curranttiller/curranttiller/pkg/limit"
	"gitlab.com/curranttiller/curranttiller/pkg/spec"
)

// TargetLimit is what an entry host knows of the limit of a target.
type TargetLimit struct {
	Target string
	State  limit.State
}

// SetFleetSize sets the number of entry hosts that this host knows, itself included, and
// of those that are alive. This host's part of the limits of targets depends on them.
func (p *Pool) SetFleetSize(known, alive int) {
	p.knownHosts = known
	p.aliveHosts = alive
}

func (p *Pool) limitRole(s *targetState) limit.Role {
	return limit.Role{IsOwner: s.OwnsLimit, Known: p.knownHosts, Alive: p.aliveHosts}
}

// hasLimit reports whether the target names a limit.
func (s *targetState) hasLimit() bool {
	return s.limiter != nil && s.limiter.State().IsInForce()
}

// limitAllows reports whether a target may get a request of this host now.
func (p *Pool) limitAllows(now time.Time, s *targetState) bool {
	if s.isHeldOff(now) || (s.isCold(now) && !s.warmUp.limiter.Allows(now, p.limitRole(s))) {
		return false
	}
	return s.limiter == nil || s.limiter.Allows(now, p.limitRole(s))
}

// limitAllowsProbe reports whether the limit of a target allows a probe. An ejected target
// gets no requests, so its probes need not leave anything to these.
func (p *Pool) limitAllowsProbe(now time.Time, s *targetState) bool {
	if s.isHeldOff(now) {
		return false
	}
	if s.isEjected(now) && s.OwnsLimit {
		return p.limitAllows(now, s)
	}
	if s.isCold(now) && !s.warmUp.limiter.AllowsProbe(now, p.limitRole(s)) {
		return false
	}
	return s.limiter == nil || s.limiter.AllowsProbe(now, p.limitRole(s))
}

// spendLimit counts a request or a probe that is sent to a target.
func (p *Pool) spendLimit(now time.Time, s *targetState) {
	if s.limiter != nil {
		s.limiter.Spend(now, p.limitRole(s))
	}
	if s.isCold(now) {
		s.warmUp.limiter.Spend(now, p.limitRole(s))
	}
}

// maySend reports whether a target accepts work and its limit allows a request now.
func (p *Pool) maySend(now time.Time, s *targetState) bool {
	return s.acceptsWork(now) && p.limitAllows(now, s)
}

// limiterOf returns the limiter of a target, which it creates if there is none.
func (p *Pool) limiterOf(s *targetState) *limit.Limiter {
	if s.limiter == nil {
		s.limiter = limit.New(p.rng.ExpFloat64)
		p.limited = append(p.limited, s)
	}
	return s.limiter
}

// observeLimit applies what the answer to an attempt states about the limit of its target.
// Only an answer that the target has run states that there is no limit, because others
// may come from something between.
func (p *Pool) observeLimit(now time.Time, a *attempt, outcome Outcome) {
	if outcome.Limit == nil || (outcome.Limit.PerSecond == 0 && (outcome.Kind != Answered || a.target.limiter == nil)) {
		return
	}
	p.recordLimitChange(a.target, p.limiterOf(a.target).Observe(now, a.sent, *outcome.Limit))
}

// ProbedLimit applies what the answer to a probe that was sent at the given time states
// about the limit of a target.
func (p *Pool) ProbedLimit(now time.Time, target string, sent time.Time, named limit.Named) {
	s := p.find(target)
	if s == nil || (s.limiter == nil && named.PerSecond == 0) {
		return
	}
	p.recordLimitChange(s, p.limiterOf(s).ObserveProbe(now, sent, named))
}

// ReceiveLimits applies what another host knows of the limits of targets. It reports
// whether a limit has changed.
func (p *Pool) ReceiveLimits(now time.Time, limits []TargetLimit) (Actions, bool) {
	isChanged := false
	for i := range limits {
		s := p.find(limits[i].Target)
		if s == nil || (s.limiter == nil && !limits[i].State.IsInForce()) {
			continue
		}
		if p.limiterOf(s).Receive(limits[i].State) {
			p.recordLimitChange(s, true)
			isChanged = true
		}
	}
	if !isChanged {
		return Actions{}, false
	}
	return p.dispatch(now), true
}

func (p *Pool) recordLimitChange(s *targetState, isChanged bool) {
	if isChanged && !s.removed {
		p.limitChanges = append(p.limitChanges, TargetLimit{Target: s.Name, State: s.limiter.State()})
	}
}

// TakeLimitChanges returns the changes of limits since the last call.
func (p *Pool) TakeLimitChanges() []TargetLimit {
	changes := p.limitChanges
	p.limitChanges = nil
	return changes
}

// Limits returns what this host knows of the limits of targets, to share it with others.
func (p *Pool) Limits(now time.Time) []TargetLimit {
	p.limited = slices.DeleteFunc(p.limited, func(s *targetState) bool {
		if s.limiter.State().IsShared(now) {
			return false
		}
		s.limiter = nil
		return true
	})
	limits := make([]TargetLimit, 0, len(p.limited))
	for _, s := range p.limited {
		limits = append(limits, TargetLimit{Target: s.Name, State: s.limiter.State()})
	}
	return limits
}

// limitSupply is what the limits of targets allow if every usable target names one.
type limitSupply struct {
	// ready is the number of requests that this host may send now, and perSecond how many
	// more it may send each second. fraction is the mean of what the targets have saved for
	// the next request.
	ready, perSecond, fraction float64
	// fleetPerSecond is the number of requests a second that all hosts may send.
	fleetPerSecond float64
	// unlimitedIn is the time until the ejection, the hold-off or the warm-up of a target
	// without a limit ends; negative if there is no such target.
	unlimitedIn time.Duration
}

// limitSupply returns what the limits allow, and whether every usable target names one.
func (p *Pool) limitSupply(now time.Time) (limitSupply, bool) {
	supply := limitSupply{unlimitedIn: -1}
	if len(p.limited)+len(p.cold) == 0 {
		return supply, false
	}
	count := 0
	for _, s := range p.targets {
		switch {
		case s.isLeaving():
		case (s.hasLimit() || s.isCold(now)) && !s.isHeldOff(now):
			ready, perSecond, fleetPerSecond := p.supplyOf(now, s)
			whole, fraction := math.Modf(max(ready, 0))
			count++
			supply.ready += whole
			supply.perSecond += perSecond
			supply.fraction += (fraction - supply.fraction) / float64(count)
			supply.fleetPerSecond += fleetPerSecond
			if !s.hasLimit() {
				supply.expectUnlimited(s.warmUp.until.Sub(now))
			}
		case s.isEjected(now) || s.isHeldOff(now):
			supply.expectUnlimited(s.usableIn(now))
		default:
			return supply, false
		}
	}
	return supply, supply.fleetPerSecond > 0
}

// supplyOf returns what the limit of a target or its rate while cold allows, whichever is
// less.
func (p *Pool) supplyOf(now time.Time, s *targetState) (ready, perSecond, fleetPerSecond float64) {
	ready, perSecond, fleetPerSecond = math.Inf(1), math.Inf(1), math.Inf(1)
	include := func(l *limit.Limiter) {
		limitReady, limitPerSecond := l.Supply(now, p.limitRole(s))
		ready, perSecond = min(ready, limitReady), min(perSecond, limitPerSecond)
		fleetPerSecond = min(fleetPerSecond, l.State().PerSecond)
	}
	if s.hasLimit() {
		include(s.limiter)
	}
	if s.isCold(now) {
		include(s.warmUp.limiter)
	}
	return ready, perSecond, fleetPerSecond
}

// expectUnlimited records that a target is usable without a limit after a time.
func (s *limitSupply) expectUnlimited(in time.Duration) {
	if s.unlimitedIn < 0 || in < s.unlimitedIn {
		s.unlimitedIn = in
	}
}

// usableIn returns the time until the ejection and the hold-off of a target are over.
func (s *targetState) usableIn(now time.Time) time.Duration {
	in := s.ejectedUntil.Sub(now)
	if s.isHeldOff(now) {
		in = max(in, s.holdOff.until.Sub(now))
	}
	return in
}

// wait returns the time until the limits allow a request at this host behind others.
func (s *limitSupply) wait(ahead int) time.Duration {
	missing := float64(ahead+1) - s.ready
	if missing <= 0 {
		return 0
	}
	wait := maxLimitWait
	if seconds := (missing - s.fraction) / s.perSecond; seconds < maxLimitWait.Seconds() {
		wait = time.Duration(seconds * float64(time.Second))
	}
	if s.unlimitedIn >= 0 {
		wait = min(wait, s.unlimitedIn)
	}
	return wait
}

// maxLimitWait is the longest wait that is distinguished. It exceeds every deadline.
const maxLimitWait = time.Hour

// refusal refuses a request behind others. The caller may return as soon as the limits
// allow that many requests from all hosts, because it will probably ask another host,
// whose part of the limits may be unused.
func (s *limitSupply) refusal(id uint64, ahead int) Refusal {
	retryAfter := time.Duration(float64(ahead+1) / s.fleetPerSecond * float64(time.Second))
	return Refusal{Request: id, Reason: ReasonLimitReached, RetryAfter: min(s.wait(ahead), retryAfter)}
}

// waitingBefore is the number of waiting requests that are granted before a new one.
func (p *Pool) waitingBefore(r *pending) int {
	ahead := 0
	for other := range p.waiting.all {
		if other.precedence.compare(r.precedence) <= 0 {
			ahead++
		}
	}
	return ahead
}

// refuseByLimit refuses a new request if all usable targets name limits and it would be
// late once it may be sent.
func (p *Pool) refuseByLimit(now time.Time, r *pending, ahead int) (Refusal, bool) {
	supply, isLimited := p.limitSupply(now)
	if !isLimited || !p.isLateAfter(now, supply.wait(ahead), r) {
		return Refusal{}, false
	}
	return supply.refusal(r.ID, ahead), true
}

// expireByLimit refuses the waiting requests that would be late once the limits of the
// targets allow them.
func (p *Pool) expireByLimit(now time.Time) Actions {
	var actions Actions
	supply, isLimited := p.limitSupply(now)
	if !isLimited {
		return actions
	}
	ahead := 0
	for r := range p.waiting.all {
		if !p.isLateAfter(now, supply.wait(ahead), r) {
			ahead++
			continue
		}
		p.waiting.remove(r.ID)
		actions.Refusals = append(actions.Refusals, supply.refusal(r.ID, ahead))
	}
	return actions
}

// isLateAfter reports whether a wait makes a request late: after its objective under the
// policy Speed, and under others too late to be answered before its deadline.
func (p *Pool) isLateAfter(now time.Time, wait time.Duration, r *pending) bool {
	if wait <= 0 {
		return false
	}
	if p.settings.Policy == spec.PolicySpeed {
		return p.becomesLate(now, wait, r)
	}
	return !now.Add(wait + p.latencies.median/2).Before(r.Deadline)
}
