package choose

import (
	"time"
)

// The policy Speed sends a request to the open target with the lowest cost, which is the
// expected latency times a penalty for errors and other disadvantages of the target.
// Targets report how much slower than usual they work at the moment, and entry hosts
// share these reports and the number of requests that each has at a target.

const (
	// costTolerance is the relative difference up to which two costs count as equal, so that
	// the least recently used target is taken.
	costTolerance = 0.05
	// fastSlowdown is the slowdown up to which a target counts as fast.
	fastSlowdown = 2
	// hedgeDelayFactor times the expected latency is the delay before a hedge; few good attempts
	// take longer.
	hedgeDelayFactor = 2.2
	// upperLatencyFactor times the mean latency is more than most requests of a class take; the
	// work varies by a third.
	upperLatencyFactor = 1.4
	// minGrantRateShare is the least grant rate to expect, as a share of the rate of the fast
	// slots. It applies at the start of a burst after an idle time, when few grants were measured.
	minGrantRateShare = 0.2
	// patienceGain is the weight of one less patient request in the longest patience of its class.
	// About a hundred of them lower it noticeably.
	patienceGain = 0.01
	// suspectFactor times the expected latency is the time without an answer after which the
	// connection is suspect.
	suspectFactor = 6
)

func (r *pending) objective() time.Duration {
	if r.Objective > 0 {
		return r.Objective
	}
	return r.Deadline.Sub(r.arrived)
}

// due is the time by which an answer meets the objective, which counts from the caller's
// first try.
func (r *pending) due() time.Time {
	return r.arrived.Add(r.objective() - r.spent)
}

// spentBefore estimates the time that the caller has spent on earlier tries as the
// difference between its patience and the longest patience of its class. The longest
// patience decays when callers become less patient.
func (p *Pool) spentBefore(r *pending) time.Duration {
	longest := p.longestPatience[r.Class]
	if r.Patience >= longest {
		p.longestPatience[r.Class] = r.Patience
		return 0
	}
	if r.Patience == 0 {
		return 0
	}
	spent := longest - r.Patience
	p.longestPatience[r.Class] = longest - time.Duration(patienceGain*float64(spent))
	return spent
}

// CanMeetObjective reports whether an answer to a request that arrives now can be within its
// objective, which counts from the caller's first try. It does not change the pool.
func (p *Pool) CanMeetObjective(class string, patience, objective time.Duration) bool {
	return patience == 0 || objective == 0 || p.longestPatience[class]-patience < objective
}

// candidate is a target with the forecast of one more request. It may be compared for
// several requests of one dispatch.
type candidate struct {
	*targetState

	forecast forecast
	// open says that the target can start a request at once.
	open bool
}

// comparison holds the targets that accept work during one dispatch.
type comparison struct {
	candidates []candidate
	// limited is the number of targets that are left out because of their limits.
	limited int
	// byClass caches one choice for each class until the next grant. Only requests that have no
	// attempt yet use it.
	byClass map[string]choice
}

// compare returns the targets that accept work and whose limits allow it. If none accepts
// work, ejected ones are included.
func (p *Pool) compare(now time.Time) comparison {
	c := comparison{candidates: p.candidates[:0], byClass: p.choices}
	clear(c.byClass)
	p.addCandidates(now, &c, func(s *targetState) bool { return s.acceptsWork(now) })
	if len(c.candidates)+c.limited == 0 {
		p.addCandidates(now, &c, func(s *targetState) bool { return !s.isLeaving() })
	}
	p.candidates = c.candidates
	return c
}

// addCandidates adds the targets for which accepts returns true.
func (p *Pool) addCandidates(now time.Time, c *comparison, accepts func(s *targetState) bool) {
	for _, s := range p.targets {
		switch {
		case !accepts(s) || s.isHeldOff(now):
		case p.limitAllows(now, s):
			c.candidates = append(c.candidates, p.candidate(now, s))
		default:
			c.limited++
		}
	}
}

func (p *Pool) candidate(now time.Time, s *targetState) candidate {
	occupancy := s.occupancy(now)
	isOpen := p.isOpen(s, occupancy) && p.limitAllows(now, s) && p.hasOwnRoom(now, s)
	return candidate{targetState: s, forecast: p.forecast(now, s, occupancy), open: isOpen}
}

// open returns the number of targets that can start a request at once.
func (c *comparison) open() int {
	open := 0
	for i := range c.candidates {
		if c.candidates[i].open {
			open++
		}
	}
	return open
}

// choice is the result of a comparison for one request.
type choice struct {
	// target is the open target with the lowest cost, nil if none is open.
	target *candidate
	// latency is the expected latency at target, and best is the lowest expected latency of all
	// usable targets, busy ones included.
	latency, best time.Duration
	// cost is latency times the penalty of target, in nanoseconds.
	cost float64
	// usable counts the targets that may get the request, and open those of them that can start it
	// at once.
	usable, open int
	// limited counts the targets that are left out because of their limits.
	limited int
}

// choose returns the choice for a request. Requests without attempts share the choice of
// their class, which keeps dispatch fast while many wait. The shared choice is not checked
// against allows again, although some requests of a class may be idempotent and others not.
func (c *comparison) choose(r *pending, work time.Duration) choice {
	if len(r.attempts) > 0 {
		return c.compareFor(r, work)
	}
	chosen, found := c.byClass[r.Class]
	if !found {
		chosen = c.compareFor(r, work)
		c.byClass[r.Class] = chosen
	}
	return chosen
}

// compareFor compares the targets for one request. Targets that it has tried are left
// out while others remain.
func (c *comparison) compareFor(r *pending, work time.Duration) choice {
	chosen := c.chooseAmong(work, func(s *candidate) bool { return s.allows(r) && !r.hasTried(s.Name) })
	if chosen.usable > 0 {
		return chosen
	}
	return c.chooseAmong(work, func(s *candidate) bool { return s.allows(r) })
}

func (c *comparison) chooseAmong(work time.Duration, allows func(s *candidate) bool) choice {
	chosen := choice{limited: c.limited}
	for i := range c.candidates {
		s := &c.candidates[i]
		if !allows(s) {
			continue
		}
		latency := s.forecast.latency(work)
		chosen.usable++
		if chosen.best == 0 || latency < chosen.best {
			chosen.best = latency
		}
		if !s.open {
			continue
		}
		chosen.open++
		cost := float64(latency) * s.forecast.penalty
		if chosen.target == nil || s.isBetter(cost, &chosen) {
			chosen.target = s
			chosen.latency = latency
			chosen.cost = cost
		}
	}
	return chosen
}

// isBetter reports whether the candidate costs less than the chosen one, or about the
// same and was used less recently.
func (c *candidate) isBetter(cost float64, than *choice) bool {
	if cost < than.cost*(1-costTolerance) || cost > than.cost*(1+costTolerance) {
		return cost < than.cost
	}
	return c.lastGrant < than.target.lastGrant
}

// arriveBySpeed queues a request, or refuses it at once if the queueing delay would make
// it late or no target could meet its deadline.
func (p *Pool) arriveBySpeed(now time.Time, r *pending) Actions {
	r.spent = p.spentBefore(r)
	r.precedence.standing = p.standingOf(now, r)
	refusal, isRefused := p.refuseBySpeed(now, r)
	if isRefused {
		if refusal.Reason == ReasonQueueFull && p.canMeetObjective(now, r) {
			p.contendedAt = now
		}
		return Actions{Refusals: []Refusal{refusal}}
	}
	p.add(r)
	p.waiting.pushBack(r)
	return p.dispatch(now)
}

// refuseBySpeed decides whether a new request is refused at once.
func (p *Pool) refuseBySpeed(now time.Time, r *pending) (Refusal, bool) {
	if refusal, isRefused := p.refuseByLimit(now, r, p.waitingBefore(r)); isRefused {
		return refusal, true
	}
	if refusal, isRefused := p.refuseByHoldOff(now, r); isRefused {
		return refusal, true
	}
	if wait := p.queueingDelay(now, r); wait > 0 && p.becomesLate(now, wait, r) {
		return Refusal{Request: r.ID, Reason: ReasonQueueFull, RetryAfter: p.returnAfter(now, wait, r)}, true
	}
	if p.missesDeadline(now, r) {
		return Refusal{Request: r.ID, Reason: r.deadlineReason()}, true
	}
	return Refusal{}, false
}

// queueingDelay estimates the time until r gets a slot. It divides the work of the waiting
// requests that go before r by the measured grant rate, but by no more than this host's share
// of the slots of fast targets and by no less than minGrantRateShare of that share. Targets
// that name a limit count as the part of a slot that the limit lets this host use.
func (p *Pool) queueingDelay(now time.Time, r *pending) time.Duration {
	if p.waiting.len() == 0 {
		return 0
	}
	ahead := time.Duration(0)
	for other := range p.waiting.all {
		if other.precedence.compare(r.precedence) <= 0 && p.canMeetObjective(now, other) {
			ahead += p.fastLatency(other)
		}
	}
	slots, limitedSlots := 0, 0.0
	for _, s := range p.targets {
		switch {
		case s.isLeaving() || s.isHeldOff(now) || s.estimate.expectedSlowdown(now, p.meanSlowdown) > fastSlowdown:
		case s.hasLimit() || s.isCold(now):
			_, perSecond, _ := p.supplyOf(now, s)
			limitedSlots += min(perSecond*p.work(r).Seconds(), float64(p.usefulSlots(s)))
		default:
			slots += p.usefulSlots(s)
		}
	}
	rate := float64(slots)/float64(max(p.sharingHosts, 1)) + limitedSlots
	if rate == 0 {
		rate = 1 / float64(max(p.sharingHosts, 1))
	}
	measured := p.grantedWork.availableTo(now, r.precedence)
	return time.Duration(float64(ahead) / max(min(rate, measured), minGrantRateShare*rate))
}

// fastLatency is the expected latency at a target of slowdown 1.
func (p *Pool) fastLatency(r *pending) time.Duration {
	return p.work(r)
}

// becomesLate reports whether a request that could meet its objective now could no
// longer do so after a wait. For one that is late already, the deadline counts instead.
func (p *Pool) becomesLate(now time.Time, wait time.Duration, r *pending) bool {
	if p.canMeetObjective(now, r) {
		return !p.canMeetObjective(now.Add(wait), r)
	}
	return now.Add(wait + p.work(r)).After(r.Deadline)
}

// canMeetObjective reports whether a request that starts at the given time is likely to
// meet its objective.
func (p *Pool) canMeetObjective(start time.Time, r *pending) bool {
	return p.timeliness(start, r) != late
}

// timeliness says how likely a request is to meet its objective.
type timeliness int

const (
	// ample is for requests that meet it unless their work takes unusually long.
	ample timeliness = iota
	// tight is for requests that meet it if their work takes no longer than the mean.
	tight
	// late is for requests that probably miss it.
	late
)

func (p *Pool) timeliness(start time.Time, r *pending) timeliness {
	left := r.due().Sub(start)
	fastLatency := p.fastLatency(r)
	switch {
	case left >= upperLatency(fastLatency):
		return ample
	case left >= fastLatency:
		return tight
	default:
		return late
	}
}

// upperLatency returns a latency that most requests of a class with the given mean stay
// below.
func upperLatency(mean time.Duration) time.Duration {
	return time.Duration(upperLatencyFactor * float64(mean))
}

// missesDeadline reports whether even a fast target would answer after the deadline.
// Only half of the mean work is counted, because some requests need less than the mean.
func (p *Pool) missesDeadline(now time.Time, r *pending) bool {
	return !now.Add(p.work(r) / 2).Before(r.Deadline)
}

// dispatchBySpeed grants the requests that can still meet their objective first. Late
// requests get the remaining slots unless slots are scarce.
func (p *Pool) dispatchBySpeed(now time.Time) Actions {
	var actions Actions
	if p.waiting.len() > 0 {
		c := p.compare(now)
		if p.hasOrganisations {
			p.dispatchByOrder(now, &c, &actions)
		} else {
			p.dispatchGroup(now, &c, ample, &actions)
			p.dispatchGroup(now, &c, tight, &actions)
			p.updateContention(now)
			p.dispatchGroup(now, &c, late, &actions)
		}
	}
	p.updateLoad(now)
	return actions
}

// dispatchGroup grants the waiting requests of one timeliness. The tight ones of a
// priority are granted newest first, because the newest are the most likely to meet
// their objective.
func (p *Pool) dispatchGroup(now time.Time, c *comparison, wanted timeliness, actions *Actions) {
	if c.open() == 0 || (wanted == late && c.isScarce(p, now)) {
		return
	}
	order := p.waiting.all
	if wanted == tight {
		order = p.waiting.newestFirst
	}
	for r := range order {
		if p.timeliness(now, r) != wanted {
			continue
		}
		chosen := c.choose(r, p.work(r))
		if chosen.target == nil {
			return
		}
		if p.waitReason(now, r, c, chosen) != "" {
			continue
		}
		p.waiting.remove(r.ID)
		actions.Grants = append(actions.Grants, p.grantChosen(now, r, chosen, "expected to answer first"))
	}
}

// The reasons for which a request waits.
const (
	// WaitQueue means that others go first.
	WaitQueue = "OthersGoFirst"
	// WaitNoOpenTarget means that no usable target has a free slot.
	WaitNoOpenTarget = "NoOpenTarget"
	// WaitRoom means that the open targets are left to requests that go first.
	WaitRoom = "RoomForOthers"
	// WaitFaster means that a busy target will probably answer in time, and no open one.
	WaitFaster = "FasterTargetBusy"
	// WaitScarce means that slots are scarce and the answer would probably be late.
	WaitScarce = "ProbablyLate"
)

// waitReason is the reason for which a request waits although it is first in the order, empty
// if it is granted.
func (p *Pool) waitReason(now time.Time, r *pending, c *comparison, chosen choice) string {
	switch {
	case chosen.target == nil:
		return WaitNoOpenTarget
	case p.hasOrganisations && !p.leavesRoom(now, r, c):
		return WaitRoom
	case r.shouldWaitForFaster(now, chosen):
		return WaitFaster
	case !p.isWorthSlot(now, r, c, chosen):
		return WaitScarce
	default:
		return ""
	}
}

// shouldWaitForFaster reports whether the open target would miss the deadline, or would
// miss the objective while a busy target could still meet it.
func (r *pending) shouldWaitForFaster(now time.Time, chosen choice) bool {
	if now.Add(chosen.latency).After(r.Deadline) {
		return true
	}
	left := r.due().Sub(now)
	return chosen.latency > left && chosen.best <= left
}

// grantChosen grants a request and updates the forecast of its target in the comparison.
func (p *Pool) grantChosen(now time.Time, r *pending, chosen choice, cause string) Grant {
	grant := p.grant(now, r, chosen.target.targetState, cause)
	grant.UsableTargets = chosen.usable
	grant.OpenTargets = chosen.open
	grant.LimitedTargets = chosen.limited
	grant.BestLatency = chosen.best
	grant.SaturationSlowdown = p.saturationSlowdown
	grant.ExpectedLatency = chosen.latency
	sent := &r.attempts[len(r.attempts)-1]
	sent.expectedLatency = chosen.latency
	sent.wasSlow = chosen.target.isSlow()
	p.grantedWork.add(now, r.precedence, p.work(r))
	if len(chosen.target.attemptTimes) == 1 {
		chosen.target.estimate.oldestExpectedLatency = chosen.latency
	}
	grant.SuspectAfter = suspectFactor * chosen.latency
	if r.Idempotent && !r.NoExtraAttempts && !r.hasUsedAllAttempts() && p.settings.HedgeQuantile < 1 {
		grant.HedgeAfter = time.Duration(hedgeDelayFactor * float64(chosen.latency))
	}
	*chosen.target = p.candidate(now, chosen.target.targetState)
	clear(p.choices)
	return grant
}

// newSpeedGrant returns the grant of the latest attempt with the state of the target
// that led to the choice.
func (p *Pool) newSpeedGrant(r *pending, target *targetState, cause string) Grant {
	sent := r.attempts[len(r.attempts)-1].sent
	return Grant{
		Request: r.ID, Target: target.Name, TargetStartedAt: target.StartedAt, Attempt: len(r.attempts), Cause: cause,
		Slowdown: target.estimate.slowdown, SlowdownAge: target.estimate.slowdownAge(sent), Waited: sent.Sub(r.arrived),
	}
}

// expireBySpeed refuses the waiting requests that no target could answer before their
// deadline, and those that are late because of the limits of all targets. While others can
// still meet their objective, it refuses late ones too.
func (p *Pool) expireBySpeed(now time.Time) Actions {
	actions := p.expireByLimit(now)
	actions.Refusals = append(actions.Refusals, p.expireByHoldOff(now).Refusals...)
	timely := 0
	for r := range p.waiting.all {
		if p.canMeetObjective(now, r) {
			timely++
		}
	}
	for r := range p.waiting.all {
		switch {
		case p.missesDeadline(now, r):
			p.waiting.remove(r.ID)
			actions.Refusals = append(actions.Refusals, Refusal{Request: r.ID, Reason: r.deadlineReason()})
		case timely > 0 && !p.canMeetObjective(now, r):
			p.waiting.remove(r.ID)
			actions.Refusals = append(actions.Refusals, Refusal{Request: r.ID, Reason: ReasonQueueFull, RetryAfter: p.returnAfter(now, 0, r)})
		}
	}
	return actions
}

// mayHedge reports whether a request may have another attempt besides the one in flight.
// Few good answers take as long as the hedge delay, also under load, so the first
// attempt is probably lost or stuck. The budget of extra attempts limits the hedges for
// which that is not so.
func (p *Pool) mayHedge(r *pending) bool {
	return r.Idempotent && !r.NoExtraAttempts && !r.hasUsedAllAttempts() && len(r.attempts) > 0
}

// hedgeBySpeed sends another attempt of a late request to a target that would answer
// before the deadline. Without an open target the request goes to the head of the queue
// if the budget allows it.
func (p *Pool) hedgeBySpeed(now time.Time, r *pending) Actions {
	c := p.compare(now)
	chosen := c.choose(r, p.work(r))
	if chosen.target == nil && !p.waiting.has(r.ID) && p.extraBudget.SpendAbove(p.hedgeReserve()+p.priorityReserve(r)) {
		p.waiting.pushFront(r)
		return Actions{}
	}
	if !p.allowHedge(now, r, chosen) {
		return Actions{}
	}
	return Actions{Grants: []Grant{p.grantChosen(now, r, chosen, CauseHedge+" of a late answer")}}
}

// allowHedge reports whether another attempt would answer before the deadline and the
// budget allows it. It charges the budget if so.
func (p *Pool) allowHedge(now time.Time, r *pending, chosen choice) bool {
	if chosen.target == nil || r.hasTried(chosen.target.Name) || chosen.target.isEjected(now) {
		return false
	}
	return now.Add(chosen.latency).Before(r.Deadline) && p.extraBudget.SpendAbove(p.hedgeReserve()+p.priorityReserve(r))
}
