package choose

import (
	"slices"
	"time"
)

// The policy Speed sends a request to the target that is expected to answer
// first. Targets say how slow they are at the moment; hosts tell each other what
// they heard and how many requests they have at each target.

const (
	// usualGain and grantedGain smooth the slowdown over the reports of a second or so.
	usualGain   = 0.02
	grantedGain = 0.05
	// coldSlowdown is what a target that has just started is expected to add.
	coldSlowdown = 2
	// errorCost weighs the share of errors of a target: a failed request costs several good ones.
	errorCost = 8
	// fullShare is the share of busy slots from which some targets slow down, and fullCost what that may add.
	fullShare = 0.75
	fullCost  = 0.5
	// farCost is the relative cost of a target in another failure domain.
	farCost = 0.3
	// alike is how close two costs are for the longest rest to decide.
	alike = 0.05
	// waitRatio is how much faster a busy target must be for a request to wait for it.
	waitRatio = 2.5
	// waitShare is the part of the objective that a request may wait for a faster target.
	waitShare = 0.25
	// guessShare is the part of the objective that work is taken to need while nothing is known of its class.
	guessShare = 0.35
	// hedgeLate is how many times the expected latency an attempt must take before it is hedged, and hedgeShare the part of the objective.
	hedgeLate  = 2
	hedgeShare = 0.4
	// silentLate is how many times the expected latency an answer may take before its connection is doubted.
	silentLate = 6
	// overdue is how many times the expected latency an attempt may be out before its target counts as slower.
	overdue = 2.5
)

// work is the median time that a class of requests takes at the usual speed.
func (p *Pool) work(r *pending) time.Duration {
	if known, found := p.classes[r.Class]; found && known.median > 0 {
		return known.median
	}
	return time.Duration(guessShare * float64(r.objective()))
}

func (r *pending) objective() time.Duration {
	if r.Objective > 0 {
		return r.Objective
	}
	return r.Deadline.Sub(r.arrived)
}

// slots is the number of requests that the target works on at once.
func (p *Pool) slots(s *state) int {
	if s.Slots > 0 {
		return s.Slots
	}
	return p.settings.Slots
}

// occupancy is the number of requests at the target, as far as it is known.
func (s *state) occupancy(now time.Time) int {
	return s.inFlight + max(s.pace.remoteInFlight(now), s.foreignLoad(now))
}

// slowdown is how many times its usual time work is expected to take at a target.
func (p *Pool) slowdown(now time.Time, s *state) float64 {
	expected := s.pace.expected(now, p.usual)
	if now.Before(s.ColdUntil) {
		expected *= coldSlowdown
	}
	if drag := s.pace.dragged(now); drag > dragNotable {
		expected *= drag
	}
	return expected
}

// cost compares targets: the slowdown with everything that speaks against a target.
func (p *Pool) cost(now time.Time, s *state) float64 {
	cost := p.slowdown(now, s)
	if late := s.overdue(now); late > overdue {
		cost *= late / overdue
	}
	busy := float64(s.occupancy(now)+1) / float64(max(p.slots(s), 1))
	if busy > fullShare {
		cost *= 1 + fullCost*min(busy-fullShare, 1-fullShare)/(1-fullShare)
	}
	if busy > 1 {
		cost *= busy
	}
	if s.FailureDomain != p.settings.FailureDomain {
		cost *= 1 + farCost
	}
	return cost * (1 + errorCost*s.pace.errorShare(now))
}

// overdue is how many times its expected latency the oldest attempt at the target has been out.
func (s *state) overdue(now time.Time) float64 {
	if len(s.sent) == 0 || s.pace.oldestExpected <= 0 {
		return 0
	}
	return float64(now.Sub(s.sent[0])) / float64(s.pace.oldestExpected)
}

// freeBySpeed reports whether the target can start a request at once.
func (p *Pool) freeBySpeed(now time.Time, s *state) bool {
	most := p.slots(s)
	if s.inFlight > 0 {
		most = min(most, s.limit)
	}
	return s.occupancy(now) < max(most, 1)
}

// candidate is a target in a comparison that may serve several requests.
type candidate struct {
	*state

	cost float64
	open bool
}

// candidates lists the targets that may take work, with their costs.
func (p *Pool) candidates(now time.Time) []candidate {
	list := p.compared[:0]
	for _, s := range p.targets {
		if s.wantsWork(now) {
			list = append(list, candidate{state: s, cost: p.cost(now, s), open: p.freeBySpeed(now, s)})
		}
	}
	if len(list) == 0 {
		for _, s := range p.targets {
			if !s.Leaving && !s.draining {
				list = append(list, candidate{state: s, cost: p.cost(now, s), open: p.freeBySpeed(now, s)})
			}
		}
	}
	p.compared = list
	return list
}

// choice is the outcome of a comparison of the targets.
type choice struct {
	free *candidate
	// bestCost is the lowest cost of any target, busy ones included.
	bestCost float64
	// usable and open count the targets that may take the request, and those that can start it at once.
	usable, open int
}

// choose compares the candidates for a request. Targets already tried are left
// out while others remain.
func choose(list []candidate, r *pending) choice {
	c := chooseFrom(list, func(s *candidate) bool { return s.allows(r) && !r.hasTried(s.Name) })
	if c.usable > 0 {
		return c
	}
	return chooseFrom(list, func(s *candidate) bool { return s.allows(r) })
}

func chooseFrom(list []candidate, allows func(s *candidate) bool) choice {
	var c choice
	for i := range list {
		s := &list[i]
		if !allows(s) {
			continue
		}
		c.usable++
		if c.bestCost == 0 || s.cost < c.bestCost {
			c.bestCost = s.cost
		}
		if !s.open {
			continue
		}
		c.open++
		if c.free == nil || s.isCheaper(c.free) {
			c.free = s
		}
	}
	return c
}

// isCheaper lets the longest rest decide between targets that cost nearly the same.
func (c *candidate) isCheaper(than *candidate) bool {
	if c.cost < than.cost*(1-alike) || c.cost > than.cost*(1+alike) {
		return c.cost < than.cost
	}
	return c.used < than.used
}

// arriveBySpeed refuses at once what could be answered only too late, while
// others wait that can still be answered in time.
func (p *Pool) arriveBySpeed(now time.Time, r *pending) Actions {
	if wait := p.waitBefore(r); wait > 0 && p.isLateByWaiting(now, wait, r) {
		return Actions{Refusals: []Refusal{{Request: r.ID, Reason: ReasonQueueFull, RetryAfter: wait}}}
	}
	if p.isHopeless(now, r) {
		return refuse(r.ID, ReasonDeadline)
	}
	p.requests[r.ID] = r
	p.waiting.pushBack(r)
	return p.dispatch(now)
}

// waitBefore is the time until the waiting requests that go before r have slots.
func (p *Pool) waitBefore(r *pending) time.Duration {
	ahead := time.Duration(0)
	for other := range p.waiting.all {
		if other.Priority <= r.Priority {
			ahead += p.work(other)
		}
	}
	slots := 0
	for _, s := range p.targets {
		if !s.Leaving && !s.draining {
			slots += p.slots(s)
		}
	}
	return time.Duration(float64(ahead) * p.granted / float64(max(slots, 1)))
}

// isLateByWaiting reports whether a request that could be answered in time if it
// started now will not be after a wait. One that is late anyway has until its deadline.
func (p *Pool) isLateByWaiting(now time.Time, wait time.Duration, r *pending) bool {
	if p.isInTime(now, r) {
		return !p.isInTime(now.Add(wait), r)
	}
	return now.Add(wait + p.work(r)).After(r.Deadline)
}

// isInTime reports whether a request that starts at a time is expected to meet its objective.
func (p *Pool) isInTime(start time.Time, r *pending) bool {
	return !start.Add(time.Duration(float64(p.work(r)) * p.granted)).After(r.arrived.Add(r.objective()))
}

// dispatchBySpeed grants the requests that can still meet their objective, and
// then the others, as long as targets are free.
func (p *Pool) dispatchBySpeed(now time.Time) Actions {
	var actions Actions
	if p.waiting.len() > 0 {
		list := p.candidates(now)
		p.dispatchSome(now, list, true, &actions)
		p.dispatchSome(now, list, false, &actions)
	}
	p.noteLoad(now)
	return actions
}

// dispatchSome grants the waiting requests that can, or cannot, meet their objective any more.
func (p *Pool) dispatchSome(now time.Time, list []candidate, inTime bool, actions *Actions) {
	if !slices.ContainsFunc(list, func(c candidate) bool { return c.open }) {
		return
	}
	for r := range p.waiting.all {
		if p.isInTime(now, r) != inTime {
			continue
		}
		c := choose(list, r)
		if c.free == nil {
			return
		}
		if p.waitsForFaster(now, r, c) {
			continue
		}
		p.waiting.remove(r.ID)
		cost := c.free.cost
		grant := p.grant(now, r, c.free.state, "expected to answer first")
		grant.Usable = c.usable
		grant.Open = c.open
		grant.Best = c.bestCost
		actions.Grants = append(actions.Grants, grant)
		p.granted += grantedGain * (cost - p.granted)
		c.free.cost = p.cost(now, c.free.state)
		c.free.open = p.freeBySpeed(now, c.free.state)
	}
}

// expireBySpeed refuses the waiting requests that no target could answer before their deadline.
func (p *Pool) expireBySpeed(now time.Time) Actions {
	var actions Actions
	for r := range p.waiting.all {
		if p.isHopeless(now, r) {
			p.waiting.remove(r.ID)
			actions.Refusals = append(actions.Refusals, Refusal{Request: r.ID, Reason: ReasonDeadline})
		}
	}
	return actions
}

// isHopeless reports whether even the fastest target would answer after the deadline.
func (p *Pool) isHopeless(now time.Time, r *pending) bool {
	return !now.Add(p.work(r) / 2).Before(r.Deadline)
}

// waitsForFaster reports whether a request does better to wait for a busy target
// than to start at the free one, which is slow at the moment.
func (p *Pool) waitsForFaster(now time.Time, r *pending, c choice) bool {
	if c.free.cost < waitRatio*c.bestCost {
		return false
	}
	objective := r.objective()
	expected := time.Duration(float64(p.work(r)) * c.free.cost)
	if !now.Add(expected).After(r.arrived.Add(objective)) {
		return false
	}
	return now.Sub(r.arrived) < time.Duration(waitShare*float64(objective))
}

// grantBySpeed states when a request whose answer is late is to be hedged.
func (p *Pool) grantBySpeed(r *pending, target *state, cause string) Grant {
	last := r.attempts[len(r.attempts)-1]
	expected := time.Duration(float64(p.work(r)) * last.slowdown)
	if len(target.sent) == 1 {
		target.pace.oldestExpected = expected
	}
	grant := Grant{
		Request: r.ID, Target: target.Name, Attempt: len(r.attempts), Cause: cause, SilentAfter: silentLate * expected,
		Slowdown: last.slowdown, HeardAgo: target.pace.age(last.sent), Waited: last.sent.Sub(r.arrived), Expected: expected,
	}
	if r.Idempotent && !r.Single && !r.isSpent() && p.settings.HedgeQuantile < 1 {
		grant.HedgeAfter = max(hedgeLate*expected, time.Duration(hedgeShare*float64(r.objective())))
	}
	return grant
}

// hedgeBySpeed sends a late request to another target if that would answer soon.
func (p *Pool) hedgeBySpeed(now time.Time, r *pending) Actions {
	c := choose(p.candidates(now), r)
	if c.free == nil || r.hasTried(c.free.Name) || c.free.isEjected(now) || p.waste.isSpent() {
		return Actions{}
	}
	if !now.Add(time.Duration(float64(p.work(r))*c.free.cost)).Before(r.Deadline) || !p.extra.SpendAbove(p.reserve()) {
		return Actions{}
	}
	return Actions{Grants: []Grant{p.grant(now, r, c.free.state, "hedge of a late answer")}}
}

// learnPace compares the end of an attempt with what was expected of its target.
func (p *Pool) learnPace(now time.Time, r *pending, number int, outcome Outcome) {
	a := &r.attempts[number-1]
	s := a.target
	if outcome.Report != nil && outcome.Report.Slowdown > 0 {
		p.usual += usualGain * (outcome.Report.Slowdown - p.usual)
	}
	switch outcome.Kind {
	case Answered:
		s.pace.succeeded(now)
		p.learnWork(now, r, a, outcome)
	case Errored, Declined:
		s.pace.failed(now)
	case Cancelled:
		expected := float64(p.work(r)) * max(a.slowdown, 0.1)
		if ratio := float64(outcome.Latency) / expected; ratio > overdue {
			s.pace.lag(now, ratio)
		}
	case Unused:
	}
}

// learnWork separates the work of the class from the speed that the target had
// while it ran.
func (p *Pool) learnWork(now time.Time, r *pending, a *attempt, outcome Outcome) {
	work := a.target.pace.done(now) - a.progress
	if a.target.pace.slowdown == 0 || work <= 0 {
		work = outcome.Latency
	}
	class, found := p.classes[r.Class]
	if !found {
		class = newTypical(1, now)
		p.classes[r.Class] = class
	}
	if class.median > 0 {
		a.target.pace.lag(now, float64(work)/float64(class.median))
	}
	class.add(now, work)
}

// probesBySpeed lists the targets held here of whose speed nothing was heard lately.
func (p *Pool) probesBySpeed(now time.Time) []string {
	var names []string
	for _, s := range p.targets {
		if s.Spare || s.Leaving || s.pace.probing || now.Sub(s.pace.at) < p.settings.QuietAfter {
			continue
		}
		s.pace.probing = true
		names = append(names, s.Name)
	}
	return names
}

// Sightings returns what this host has heard of the targets at first hand within
// a time, and where it has requests.
func (p *Pool) Sightings(now time.Time, within time.Duration) []Sighting {
	var seen []Sighting
	for _, s := range p.targets {
		sighting := Sighting{Target: s.Name, InFlight: s.inFlight}
		if age := now.Sub(s.pace.at); s.pace.own && age < within {
			sighting.Slowdown = s.pace.slowdown
			sighting.Age = age
		}
		if sighting.InFlight > 0 || sighting.Slowdown > 0 {
			seen = append(seen, sighting)
		}
	}
	return seen
}

// See takes what another host knows at first hand; targets that it does not name have none of its requests.
func (p *Pool) See(now time.Time, host string, sightings []Sighting) Actions {
	told := make(map[string]Sighting, len(sightings))
	for _, sighting := range sightings {
		told[sighting.Target] = sighting
	}
	for _, s := range p.targets {
		sighting := told[s.Name]
		s.pace.setRemote(host, sighting.InFlight, now)
		s.pace.hear(now.Add(-sighting.Age), sighting.Slowdown, false)
		if sighting.Slowdown > 0 {
			p.usual += usualGain * (sighting.Slowdown - p.usual)
		}
	}
	return p.dispatch(now)
}

// ProbeSkipped says that a wanted probe was not sent, because the measuring budget is spent.
func (p *Pool) ProbeSkipped(target string) {
	if s := p.find(target); s != nil {
		s.pace.probing = false
	}
}
