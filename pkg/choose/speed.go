package choose

import (
	"time"
)

// The policy Speed sends a request to the target that is expected to answer
// first. Targets say how slow they are at the moment; hosts tell each other what
// they heard and how many requests they have at each target.

const (
	// alike is how close two expected latencies are for the longest rest to decide.
	latencyTolerance = 0.05
	// fastSlowdown is the slowdown up to which a target counts as fast.
	fastSlowdown = 2
	// hedgeLate is how many times the expected latency an attempt must take before it is hedged; few good ones take longer.
	hedgeDelayFactor = 2.2
	// likelyFactor is how many times the mean latency most requests of a class stay below; work varies by a third.
	upperLatencyFactor = 1.4
	// flowFloor is the part of the fast slots' rate that is expected at least, for the start of a burst after a rest.
	minGrantRateShare = 0.2
	// patienceFade is how far one less patient caller moves what is known of its class; some hundred of them change it.
	patienceGain = 0.01
	// silentLate is how many times the expected latency an answer may take before its connection is suspect.
	suspectFactor = 6
)

func (r *pending) objective() time.Duration {
	if r.Objective > 0 {
		return r.Objective
	}
	return r.Deadline.Sub(r.arrived)
}

// due is when the answer is worth less, counted from the caller's first try.
func (r *pending) due() time.Time {
	return r.arrived.Add(r.objective() - r.spent)
}

// spentBefore is the time that the caller has spent on earlier tries: what its
// patience lacks of the longest of its class. The longest follows callers that
// become less patient.
func (p *Pool) spentBefore(r *pending) time.Duration {
	longest := p.longest[r.Class]
	if r.Patience >= longest {
		p.longest[r.Class] = r.Patience
		return 0
	}
	if r.Patience == 0 {
		return 0
	}
	spent := longest - r.Patience
	p.longest[r.Class] = longest - time.Duration(patienceGain*float64(spent))
	return spent
}

// candidate is a target in a comparison that may serve several requests.
type candidate struct {
	*state

	forecast forecast
	open     bool
}

// comparison holds the targets that may take work.
type comparison struct {
	candidates []candidate
	// byClass holds the choice for requests of a class that were not tried yet, until a target is taken.
	byClass map[string]choice
}

// compare lists the targets that may take work, with what is expected of them.
func (p *Pool) compare(now time.Time) comparison {
	c := comparison{candidates: p.compared[:0], byClass: p.choices}
	clear(c.byClass)
	for _, s := range p.targets {
		if s.acceptsWork(now) {
			c.candidates = append(c.candidates, p.candidate(now, s))
		}
	}
	if len(c.candidates) == 0 {
		for _, s := range p.targets {
			if !s.Leaving && !s.draining {
				c.candidates = append(c.candidates, p.candidate(now, s))
			}
		}
	}
	p.compared = c.candidates
	return c
}

func (p *Pool) candidate(now time.Time, s *state) candidate {
	occupancy := s.occupancy(now)
	return candidate{state: s, forecast: p.forecast(now, s, occupancy), open: p.isOpen(s, occupancy)}
}

func (c *comparison) open() int {
	open := 0
	for i := range c.candidates {
		if c.candidates[i].open {
			open++
		}
	}
	return open
}

// choice is the outcome of a comparison for one request.
type choice struct {
	target *candidate
	// latency is expected of the free target, and best the lowest of any target, busy ones included.
	latency, best time.Duration
	// cost is the latency with the penalty of the free target.
	cost float64
	// usable and open count the targets that may take the request, and those that can start it at once.
	usable, open int
}

// choose returns the target for a request; those of a class that were not tried
// yet have the same, which matters when many wait.
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

// compareFor compares the targets for a request. Targets already tried are left
// out while others remain.
func (c *comparison) compareFor(r *pending, work time.Duration) choice {
	chosen := c.chooseAmong(work, func(s *candidate) bool { return s.allows(r) && !r.hasTried(s.Name) })
	if chosen.usable > 0 {
		return chosen
	}
	return c.chooseAmong(work, func(s *candidate) bool { return s.allows(r) })
}

func (c *comparison) chooseAmong(work time.Duration, allows func(s *candidate) bool) choice {
	var chosen choice
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

// isBetter lets the longest rest decide between targets that cost nearly the same.
func (c *candidate) isBetter(cost float64, than *choice) bool {
	if cost < than.cost*(1-latencyTolerance) || cost > than.cost*(1+latencyTolerance) {
		return cost < than.cost
	}
	return c.used < than.target.used
}

// arriveBySpeed refuses at once what could be answered only too late, because
// others wait already.
func (p *Pool) arriveBySpeed(now time.Time, r *pending) Actions {
	r.spent = p.spentBefore(r)
	if wait := p.queueingDelay(now, r); wait > 0 && p.becomesLate(now, wait, r) {
		if p.canMeetObjective(now, r) {
			p.contended = now
		}
		return Actions{Refusals: []Refusal{{Request: r.ID, Reason: ReasonQueueFull, RetryAfter: wait}}}
	}
	if p.missesDeadline(now, r) {
		return refuse(r.ID, ReasonDeadline)
	}
	p.requests[r.ID] = r
	p.waiting.pushBack(r)
	return p.dispatch(now)
}

// waitBefore is the time until the waiting requests that go before r have slots:
// as fast as slots were granted lately, and no faster than by this host's part of
// the fast targets.
func (p *Pool) queueingDelay(now time.Time, r *pending) time.Duration {
	if p.waiting.len() == 0 {
		return 0
	}
	ahead := time.Duration(0)
	for other := range p.waiting.all {
		if other.Priority <= r.Priority && p.canMeetObjective(now, other) {
			ahead += p.fastLatency(other)
		}
	}
	slots := 0
	for _, s := range p.targets {
		if !s.Leaving && !s.draining && s.pace.expectedSlowdown(now, p.usual) <= fastSlowdown {
			slots += p.usefulSlots(s)
		}
	}
	rate := float64(max(slots, 1)) / float64(max(p.sharingHosts, 1))
	measured := p.flow.availableTo(now, r.Priority)
	return time.Duration(float64(ahead) / max(min(rate, measured), minGrantRateShare*rate))
}

// quick is the latency to expect of a fast target.
func (p *Pool) fastLatency(r *pending) time.Duration {
	return p.work(r)
}

// isLateByWaiting reports whether a request that could be answered in time if it
// started now will not be after a wait. One that is late anyway has until its deadline.
func (p *Pool) becomesLate(now time.Time, wait time.Duration, r *pending) bool {
	if p.canMeetObjective(now, r) {
		return !p.canMeetObjective(now.Add(wait), r)
	}
	return now.Add(wait + p.work(r)).After(r.Deadline)
}

// isInTime reports whether a request that starts at a time is likely to meet its objective.
func (p *Pool) canMeetObjective(start time.Time, r *pending) bool {
	return p.timeliness(start, r) != late
}

// timeliness is what can be hoped of a request that starts at a time.
type timeliness int

const (
	// ample is for requests that meet their objective unless their work is long.
	ample timeliness = iota
	// tight is for those that meet it if their work is short.
	tight
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

// likely is the latency that most requests stay below whose mean is given.
func upperLatency(mean time.Duration) time.Duration {
	return time.Duration(upperLatencyFactor * float64(mean))
}

// isHopeless reports whether even the fastest target would answer after the deadline.
func (p *Pool) missesDeadline(now time.Time, r *pending) bool {
	return !now.Add(p.work(r) / 2).Before(r.Deadline)
}

// dispatchBySpeed grants the requests that can still meet their objective, and
// then the others, as long as targets are free and nobody else presses for them.
func (p *Pool) dispatchBySpeed(now time.Time) Actions {
	var actions Actions
	if p.waiting.len() > 0 {
		c := p.compare(now)
		p.dispatchGroup(now, &c, ample, &actions)
		p.dispatchGroup(now, &c, tight, &actions)
		p.updateContention(now)
		p.dispatchGroup(now, &c, late, &actions)
	}
	p.updateLoad(now)
	return actions
}

// dispatchSome grants the waiting requests of one timeliness. Among those that are
// tight, the ones that came last have the best chance.
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
		if r.shouldWaitForFaster(now, chosen) || !p.isWorthSlot(now, r, c, chosen) {
			continue
		}
		p.waiting.remove(r.ID)
		actions.Grants = append(actions.Grants, p.grantChosen(now, r, chosen, "expected to answer first"))
	}
}

// waitsForFaster reports whether a request does better to wait for a busy target
// than to start at the free one, which would answer too late or not at all.
func (r *pending) shouldWaitForFaster(now time.Time, chosen choice) bool {
	if now.Add(chosen.latency).After(r.Deadline) {
		return true
	}
	left := r.due().Sub(now)
	return chosen.latency > left && chosen.best <= left
}

// grantChosen grants a request and accounts for it in the comparison.
func (p *Pool) grantChosen(now time.Time, r *pending, chosen choice, cause string) Grant {
	grant := p.grant(now, r, chosen.target.state, cause)
	grant.UsableTargets = chosen.usable
	grant.OpenTargets = chosen.open
	grant.BestLatency = chosen.best
	grant.SaturationSlowdown = p.full
	grant.ExpectedLatency = chosen.latency
	sent := &r.attempts[len(r.attempts)-1]
	sent.expected = chosen.latency
	sent.wasSlow = chosen.target.isSlow()
	p.flow.add(now, r.Priority, p.work(r))
	if len(chosen.target.sent) == 1 {
		chosen.target.pace.oldestExpectedLatency = chosen.latency
	}
	grant.SuspectAfter = suspectFactor * chosen.latency
	if r.Idempotent && !r.NoExtraAttempts && !r.hasUsedAllAttempts() && p.settings.HedgeQuantile < 1 {
		grant.HedgeAfter = time.Duration(hedgeDelayFactor * float64(chosen.latency))
	}
	*chosen.target = p.candidate(now, chosen.target.state)
	clear(p.choices)
	return grant
}

// grantBySpeed states what the choice of the target rests on.
func (p *Pool) newSpeedGrant(r *pending, target *state, cause string) Grant {
	sent := r.attempts[len(r.attempts)-1].sent
	return Grant{
		Request: r.ID, Target: target.Name, Attempt: len(r.attempts), Cause: cause,
		Slowdown: target.pace.slowdown, SlowdownAge: target.pace.reportAge(sent), Waited: sent.Sub(r.arrived),
	}
}

// expireBySpeed refuses the waiting requests that no target could answer before
// their deadline, and those that have become late while others can still be
// answered in time.
func (p *Pool) expireBySpeed(now time.Time) Actions {
	var actions Actions
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
			actions.Refusals = append(actions.Refusals, Refusal{Request: r.ID, Reason: ReasonDeadline})
		case timely > 0 && !p.canMeetObjective(now, r):
			p.waiting.remove(r.ID)
			actions.Refusals = append(actions.Refusals, Refusal{Request: r.ID, Reason: ReasonQueueFull})
		}
	}
	return actions
}

// mayHedge reports whether a request may have another attempt beside one that is
// out. Few good answers take as long as the hedge waits, so that a late one is
// mostly lost or stuck, under load as well; the budget bounds the rest.
func (p *Pool) mayHedge(r *pending) bool {
	return r.Idempotent && !r.NoExtraAttempts && !r.hasUsedAllAttempts() && len(r.attempts) > 0
}

// hedgeBySpeed sends a late request to another target if that would answer
// before the deadline; without an open one it waits at the head of the queue.
func (p *Pool) hedgeBySpeed(now time.Time, r *pending) Actions {
	c := p.compare(now)
	chosen := c.choose(r, p.work(r))
	if chosen.target == nil && !p.waiting.has(r.ID) && p.extra.SpendAbove(p.hedgeReserve()+p.priorityReserve(r)) {
		p.waiting.pushFront(r)
		return Actions{}
	}
	if !p.allowHedge(now, r, chosen) {
		return Actions{}
	}
	return Actions{Grants: []Grant{p.grantChosen(now, r, chosen, CauseHedge+" of a late answer")}}
}

// canHedge reports whether another attempt would answer before the deadline, and spends it.
func (p *Pool) allowHedge(now time.Time, r *pending, chosen choice) bool {
	if chosen.target == nil || r.hasTried(chosen.target.Name) || chosen.target.isEjected(now) {
		return false
	}
	return now.Add(chosen.latency).Before(r.Deadline) && p.extra.SpendAbove(p.hedgeReserve()+p.priorityReserve(r))
}
