package choose_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"gitlab.com/curranttiller/curranttiller/pkg/choose"
	"gitlab.com/curranttiller/curranttiller/pkg/limit"
	"gitlab.com/curranttiller/curranttiller/pkg/spec"
)

// A replay runs the pools of several hosts with simulated targets and callers on a
// simulated clock. Targets slow down and become saturated, and callers retry.

// requestClass is a class of requests and the value of an answer to one of them.
type requestClass struct {
	name      string
	perSecond float64
	work      time.Duration
	objective time.Duration
	deadline  time.Duration
	// limit is the time limit of a host for the request; zero means the caller's deadline.
	limit      time.Duration
	priority   int
	value      float64
	idempotent bool
}

// workload is a load of requests and the targets that run it.
type workload struct {
	hosts, targets, domains int
	slots, queue            int
	// slowShare is the probability that a target takes slowFactor times as long. Each target is
	// drawn again every period.
	slowShare, slowFactor float64
	period                time.Duration
	// saturationSlowdown is the factor by which work takes longer if it starts with all slots busy.
	saturationSlowdown float64
	// lost is the share of answers that never arrive, and shed the share of attempts that targets
	// decline even with slots free.
	lost, shed float64
	// limit is the number of requests a second that the first limited targets take from all
	// hosts together, from limitFrom to limitTo. All hosts are told by the answers.
	limit              float64
	limited            int
	limitFrom, limitTo time.Duration
	// ignoresLimits makes the hosts ignore the limits.
	ignoresLimits bool
	// leaving is the number of targets, counted from the last, whose answers say from
	// leavingFrom on that they leave. ignoresLeaving makes the hosts ignore that.
	leaving        int
	leavingFrom    time.Duration
	ignoresLeaving bool
	// turningAway is the number of targets, counted from the first, that are overloaded from
	// holdOffFrom to holdOffTo. They decline all attempts and hold the host off for holdOff.
	// ignoresHoldOff makes the hosts ignore that.
	turningAway            int
	holdOff                time.Duration
	holdOffFrom, holdOffTo time.Duration
	ignoresHoldOff         bool
	// disturb is called every 100 ms and may change the state of hosts and targets.
	disturb func(s *simulation)
	// load multiplies the arrival rates during length.
	load    float64
	length  time.Duration
	classes []requestClass
	// organisations divide the arrivals of each class among them. Without any, requests have none.
	organisations []organisation
	surges        []surge
	// ignoresOrganisations makes the hosts unaware of them.
	ignoresOrganisations bool
	// impatient is the share of callers that return at once after a refusal, up to repeats times.
	impatient float64
	repeats   int
	// ailing is the number of targets that take ailingFactor times as long from ailingFrom on
	// and don't report it.
	ailing       int
	ailingFactor float64
	ailingFrom   time.Duration
	// resetsWhenFull makes full targets end an attempt without an answer.
	resetsWhenFull bool
	// settings may change the settings of the pools.
	settings func(settings *choose.Settings)
	// hedged is called for each early hedge.
	hedged func()
}

// organisation is a customer with a share of the usual arrivals.
type organisation struct {
	name     string
	share    float64
	priority int
}

// surge multiplies the arrivals of a class and an organisation for a time. Empty names stand
// for all.
type surge struct {
	class, organisation string
	factor              float64
	from, to            time.Duration
}

// rate is the number of requests a second of a class that an organisation sends now.
func (s *simulation) rate(class *requestClass, org *organisation) float64 {
	rate := class.perSecond * s.workload.load * org.share
	for _, u := range s.workload.surges {
		if (u.class == "" || u.class == class.name) && (u.organisation == "" || u.organisation == org.name) && s.now >= u.from && s.now < u.to {
			rate *= u.factor
		}
	}
	return rate
}

// classResult counts the outcomes of the requests of one class.
type classResult struct {
	arrived, inTime, late, refused, failed int
	// mayHaveRun counts the requests that failed after an attempt without an answer, and may
	// not be sent again.
	mayHaveRun       int
	earned, possible float64
	// waitedValue is the value of refused requests, weighted by their wait before the refusal. The
	// weight is 0 up to an eighth of the objective, and 1 from three quarters of the time limit.
	waitedValue float64
}

func (r *classResult) add(other *classResult) {
	r.arrived += other.arrived
	r.inTime += other.inTime
	r.late += other.late
	r.refused += other.refused
	r.failed += other.failed
	r.mayHaveRun += other.mayHaveRun
	r.earned += other.earned
	r.possible += other.possible
	r.waitedValue += other.waitedValue
}

// served is the share of the requests that were answered.
func (r *classResult) served() float64 {
	return float64(r.inTime+r.late) / max(float64(r.arrived), 1)
}

// timely is the share of the requests that were answered within their objective.
func (r *classResult) timely() float64 {
	return float64(r.inTime) / max(float64(r.arrived), 1)
}

// share is the earned share of the possible value.
func (r *classResult) share() float64 {
	return r.earned / max(r.possible, 1)
}

type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || (e[i].at == e[j].at && e[i].seq < e[j].seq)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simulation is the state of a replay.
type simulation struct {
	workload workload
	rng      *rand.Rand
	queue    events
	seq      int
	now      time.Duration
	hosts    []*simHost
	targets  []*simTarget
	byName   map[string]*simTarget
	results  map[string]*classResult
	// byOrganisation holds the results of each organisation.
	byOrganisation map[string]*classResult
	nextID         uint64
	sends          int
	// declined counts the attempts that targets declined.
	declined int
	// latencies are the times from the first try to the answers.
	latencies []time.Duration
	// returns are the times at which refused callers came back.
	returns []time.Duration
}

func (s *simulation) schedule(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.queue, event{at: s.now + d, seq: s.seq, do: do})
}

func (s *simulation) clock() time.Time {
	return testStart.Add(s.now)
}

// replay runs a workload to its end and returns the simulation with the results.
func replay(w workload, seed uint64) *simulation {
	s := &simulation{workload: w, rng: rand.New(rand.NewPCG(seed, 7)), byName: make(map[string]*simTarget), results: make(map[string]*classResult), byOrganisation: make(map[string]*classResult)}
	for i := range w.targets {
		t := &simTarget{sim: s, index: i, name: fmt.Sprintf("t%03d", i), domain: fmt.Sprintf("d%d", i%w.domains)}
		s.targets = append(s.targets, t)
		s.byName[t.name] = t
		t.redrawSpeed(time.Duration(s.rng.Float64() * float64(w.period)))
	}
	for i := range w.hosts {
		s.hosts = append(s.hosts, newSimHost(s, i))
	}
	organisations := w.organisations
	if len(organisations) == 0 {
		organisations = []organisation{{share: 1}}
	}
	for i := range organisations {
		s.byOrganisation[organisations[i].name] = &classResult{}
	}
	for i := range w.classes {
		class := &w.classes[i]
		s.results[class.name] = &classResult{}
		for j := range organisations {
			s.arrivals(class, &organisations[j])
		}
	}
	if w.disturb != nil {
		s.repeatDisturbance()
	}
	for len(s.queue) > 0 && s.now < w.length+3*time.Second {
		next := heap.Pop(&s.queue).(event)
		s.now = next.at
		next.do()
	}
	return s
}

func (s *simulation) repeatDisturbance() {
	s.workload.disturb(s)
	s.schedule(100*time.Millisecond, s.repeatDisturbance)
}

// named is what a target states about its limit.
func (t *simTarget) named() *limit.Named {
	w := &t.sim.workload
	if t.index >= w.limited || t.sim.now < w.limitFrom || t.sim.now >= w.limitTo || w.ignoresLimits {
		return &limit.Named{}
	}
	return &limit.Named{PerSecond: w.limit}
}

// isLeaving reports whether the answers of a target say that it leaves.
func (t *simTarget) isLeaving() bool {
	w := &t.sim.workload
	return t.index >= w.targets-w.leaving && t.sim.now >= w.leavingFrom
}

func (s *simulation) total() classResult {
	var all classResult
	for _, result := range s.results {
		all.add(result)
	}
	return all
}

func (s *simulation) arrivals(class *requestClass, org *organisation) {
	gap := time.Duration(s.rng.ExpFloat64() / s.rate(class, org) * float64(time.Second))
	s.schedule(gap, func() {
		if s.now > s.workload.length {
			return
		}
		c := &simCaller{sim: s, class: class, org: org, started: s.now, retries: 1}
		if s.workload.impatient > 0 && s.rng.Float64() < s.workload.impatient {
			c.isImpatient = true
			c.retries = s.workload.repeats
		}
		// The factor is log-normal with a mean of 1. Its logarithm has a standard deviation of 0.3.
		c.work = time.Duration(float64(class.work) * math.Exp(0.3*s.rng.NormFloat64()-0.045))
		c.record(func(r *classResult) {
			r.arrived++
			r.possible += class.value
		})
		c.submit()
		s.arrivals(class, org)
	})
}

// simCaller is one call with a number of retries, one unless the caller is impatient.
type simCaller struct {
	sim         *simulation
	class       *requestClass
	org         *organisation
	started     time.Duration
	work        time.Duration
	retries     int
	isImpatient bool
}

// record applies a change to the results of the class and of the organisation.
func (c *simCaller) record(change func(r *classResult)) {
	change(c.sim.results[c.class.name])
	change(c.sim.byOrganisation[c.org.name])
}

func (c *simCaller) submit() {
	host := c.sim.hosts[c.sim.rng.IntN(len(c.sim.hosts))]
	c.sim.schedule(time.Millisecond, func() { host.arrive(c) })
}

func (c *simCaller) left() time.Duration {
	return c.started + c.class.deadline - c.sim.now
}

func (c *simCaller) answered() {
	took := c.sim.now - c.started
	c.sim.latencies = append(c.sim.latencies, took)
	c.record(func(r *classResult) {
		if took <= c.class.objective {
			r.inTime++
			r.earned += c.class.value
		} else {
			r.late++
			r.earned += c.class.value / 10
		}
	})
}

// refused retries after the time that the host asked for, at least 30 ms, but after no more
// than a third of the remaining time. Impatient callers retry at once.
func (c *simCaller) refused(retryAfter time.Duration) {
	wait := min(max(retryAfter, 30*time.Millisecond), c.left()/3)
	if c.isImpatient {
		wait = min(time.Millisecond, wait)
	}
	if c.retries == 0 || wait <= 0 {
		c.record(func(r *classResult) { r.refused++ })
		return
	}
	c.retries--
	c.sim.returns = append(c.sim.returns, c.sim.now+wait)
	c.sim.schedule(wait, c.submit)
}

func (c *simCaller) failed(mayRetry bool) {
	if !mayRetry || c.retries == 0 || c.left() <= 0 {
		c.record(func(r *classResult) { r.failed++ })
		return
	}
	c.retries--
	c.submit()
}

// simHost is an entry host with its pool and the requests in it.
type simHost struct {
	sim      *simulation
	name     string
	domain   string
	pool     *choose.Pool
	requests map[uint64]*simRequest
	// isCut says that the host exchanges nothing with the others, and frozenUntil is when it
	// runs again.
	isCut       bool
	frozenUntil time.Duration
	// toldLeaving is when the host got the first answer of each target that leaves, and
	// sentToLeaving are the times from then until the arrivals of the requests that it sent there.
	toldLeaving   map[string]time.Duration
	sentToLeaving []time.Duration
}

// simRequest is a request at a host.
type simRequest struct {
	caller   *simCaller
	id       uint64
	arrived  time.Duration
	deadline time.Duration
	attempts map[int]*simAttempt
	rescued  bool
}

func newSimHost(s *simulation, index int) *simHost {
	h := &simHost{sim: s, name: fmt.Sprintf("h%d", index), domain: fmt.Sprintf("d%d", index%s.workload.domains), requests: make(map[uint64]*simRequest), toldLeaving: make(map[string]time.Duration)}
	settings := choose.Settings{
		Policy: spec.PolicySpeed, Slots: s.workload.slots, AttemptsAtMost: 2, ExtraAttemptShare: 0.18, ExtraBurst: 37, HedgeQuantile: 0.95,
		BusyShare: 0.9, QuietAfter: 100 * time.Millisecond, FailureDomain: h.domain, ChargeRescues: true,
	}
	if s.workload.settings != nil {
		s.workload.settings(&settings)
	}
	h.pool = choose.New(settings, uint64(index), testStart)
	h.pool.SetSharingHosts(s.workload.hosts)
	h.setView(index, s.workload.hosts, s.workload.hosts)
	s.schedule(time.Duration(index)*3*time.Millisecond, h.tick)
	s.schedule(time.Duration(index)*5*time.Millisecond, h.sendObservations)
	return h
}

// setView sets the targets of a host. It holds those of the host with the given index, and
// knows a number of hosts of which some are alive.
func (h *simHost) setView(index, known, alive int) {
	s := h.sim
	h.pool.SetFleetSize(known, alive)
	targets := make([]choose.Target, 0, len(s.targets))
	perDomain := max(s.workload.hosts/s.workload.domains, 1)
	for i, t := range s.targets {
		isHeld := t.domain == h.domain && (i/s.workload.domains)%perDomain == index/s.workload.domains%perDomain
		targets = append(targets, choose.Target{Name: t.name, FailureDomain: t.domain, Slots: s.workload.slots, Spare: !isHeld, OwnsLimit: i%s.workload.hosts == index || alive == 1})
	}
	h.apply(h.pool.SetTargets(s.clock(), targets))
}

func (h *simHost) tick() {
	if h.sim.now < h.frozenUntil {
		h.sim.schedule(h.frozenUntil-h.sim.now, h.tick)
		return
	}
	h.apply(h.pool.Tick(h.sim.clock()))
	for _, name := range h.pool.Probes(h.sim.clock()) {
		t := h.sim.byName[name]
		t.arrivals = append(t.arrivals, h.sim.now)
		sent := h.sim.clock()
		h.sim.schedule(2*h.networkDelay(t), func() {
			h.pool.ProbedLimit(h.sim.clock(), name, sent, *t.named())
			h.apply(h.pool.Probed(h.sim.clock(), name, t.report()))
		})
	}
	h.sim.schedule(20*time.Millisecond, h.tick)
}

// sendObservations sends the host's observations and the limits of targets to all other
// hosts every 50 ms.
func (h *simHost) sendObservations() {
	now := h.sim.clock()
	observations := h.pool.Observations(now, 100*time.Millisecond)
	limits := h.pool.Limits(now)
	departures := h.pool.Departures()
	for _, other := range h.sim.hosts {
		if other != h && !h.isCut && !other.isCut && h.sim.now >= h.frozenUntil {
			h.sim.schedule(time.Millisecond, func() {
				other.apply(other.pool.ReceiveObservations(other.sim.clock(), h.name, observations))
				actions, _ := other.pool.ReceiveLimits(other.sim.clock(), limits)
				other.apply(actions)
				actions, _ = other.pool.ReceiveDepartures(other.sim.clock(), departures)
				other.apply(actions)
			})
		}
	}
	h.sim.schedule(50*time.Millisecond, h.sendObservations)
}

func (h *simHost) networkDelay(t *simTarget) time.Duration {
	if t.domain == h.domain {
		return 100 * time.Microsecond
	}
	return 900 * time.Microsecond
}

func (h *simHost) arrive(c *simCaller) {
	if h.sim.now < h.frozenUntil {
		h.sim.schedule(h.frozenUntil-h.sim.now, func() { h.arrive(c) })
		return
	}
	timeLimit := c.left()
	if c.class.limit > 0 {
		timeLimit = min(timeLimit, c.class.limit)
	}
	if timeLimit <= 0 {
		c.failed(false)
		return
	}
	h.sim.nextID++
	r := &simRequest{caller: c, id: h.sim.nextID, arrived: h.sim.now, deadline: h.sim.now + timeLimit, attempts: make(map[int]*simAttempt)}
	h.requests[r.id] = r
	h.sim.schedule(timeLimit, func() { h.expire(r) })
	org := *c.org
	if h.sim.workload.ignoresOrganisations {
		org = organisation{}
	}
	h.apply(h.pool.Arrive(h.sim.clock(), choose.Request{
		ID: r.id, Idempotent: c.class.idempotent, Deadline: testStart.Add(r.deadline), Patience: c.left(), Class: c.class.name, Priority: c.class.priority, Objective: c.class.objective,
		Organisation: org.name, OrganisationPriority: org.priority,
	}))
}

func (h *simHost) isPending(r *simRequest) bool {
	return h.requests[r.id] == r
}

func (h *simHost) expire(r *simRequest) {
	if !h.isPending(r) {
		return
	}
	h.close(r)
	r.caller.failed(r.caller.class.idempotent)
}

// close cancels the attempts in flight and releases the request.
func (h *simHost) close(r *simRequest) {
	delete(h.requests, r.id)
	for number, attempt := range r.attempts {
		attempt.target.cancel(attempt)
		h.apply(h.pool.Finish(h.sim.clock(), r.id, number, choose.Outcome{Kind: choose.Cancelled, Latency: h.sim.now - attempt.sent}))
	}
	h.apply(h.pool.Release(h.sim.clock(), r.id))
}

func (h *simHost) apply(actions choose.Actions) {
	for _, grant := range actions.Grants {
		h.grant(grant)
	}
	for _, refusal := range actions.Refusals {
		r, found := h.requests[refusal.Request]
		if !found || len(r.attempts) > 0 {
			continue
		}
		h.close(r)
		h.recordWait(r)
		r.caller.refused(refusal.RetryAfter)
	}
}

func (h *simHost) recordWait(r *simRequest) {
	class := r.caller.class
	waited := float64(h.sim.now - r.arrived)
	free := float64(class.objective) / 8
	full := 0.75 * float64(r.deadline-r.arrived)
	r.caller.record(func(result *classResult) {
		result.waitedValue += class.value * min(max((waited-free)/max(full-free, 1), 0), 1)
	})
}

func (h *simHost) grant(grant choose.Grant) {
	r, found := h.requests[grant.Request]
	if !found {
		h.apply(h.pool.Finish(h.sim.clock(), grant.Request, grant.Attempt, choose.Outcome{Kind: choose.Unused}))
		return
	}
	if h.sim.workload.hedged != nil && strings.Contains(grant.Cause, "probably late") {
		h.sim.workload.hedged()
	}
	t := h.sim.byName[grant.Target]
	attempt := &simAttempt{host: h, request: r, number: grant.Attempt, target: t, sent: h.sim.now}
	r.attempts[grant.Attempt] = attempt
	h.sim.sends++
	if told, found := h.toldLeaving[t.name]; found {
		h.sentToLeaving = append(h.sentToLeaving, r.arrived-told)
	}
	h.sim.schedule(h.networkDelay(t), func() { t.receive(attempt) })
	if grant.HedgeAfter > 0 {
		h.sim.schedule(grant.HedgeAfter, func() {
			if h.isPending(r) {
				h.apply(h.pool.Hedge(h.sim.clock(), r.id))
			}
		})
	}
	if !r.rescued {
		late := min(max(250*time.Millisecond, grant.SuspectAfter), (r.deadline-h.sim.now)/2)
		h.sim.schedule(late, func() { h.rescue(r) })
	}
}

// receiveAnswer applies the answer to an attempt.
func (h *simHost) receiveAnswer(attempt *simAttempt, outcome choose.Outcome, isLeaving bool) {
	if name := attempt.target.name; isLeaving {
		if _, found := h.toldLeaving[name]; !found {
			h.toldLeaving[name] = h.sim.now
		}
		if !h.sim.workload.ignoresLeaving {
			h.apply(h.pool.ObserveDeparture(h.sim.clock(), name, time.Time{}, testStart.Add(attempt.sent)))
		}
	}
	h.finishAttempt(attempt, outcome)
}

// receiveHoldOff applies the time that a target has named when it turned a request away.
func (h *simHost) receiveHoldOff(t *simTarget) {
	if !h.sim.workload.ignoresHoldOff {
		h.pool.ObserveHoldOff(h.sim.clock(), t.name, time.Time{}, h.sim.workload.holdOff)
	}
}

func (h *simHost) rescue(r *simRequest) {
	if !h.isPending(r) || r.rescued {
		return
	}
	r.rescued = true
	h.apply(h.pool.MarkSuspect(h.sim.clock(), r.id))
	if r.caller.class.idempotent {
		actions, _ := h.pool.Retry(h.sim.clock(), r.id, true)
		h.apply(actions)
	}
}

func (h *simHost) finishAttempt(attempt *simAttempt, outcome choose.Outcome) {
	r := attempt.request
	if !h.isPending(r) || r.attempts[attempt.number] != attempt {
		return
	}
	outcome.Latency = h.sim.now - attempt.sent
	delete(r.attempts, attempt.number)
	h.apply(h.pool.Finish(h.sim.clock(), r.id, attempt.number, outcome))
	if outcome.Kind == choose.Answered {
		h.close(r)
		r.caller.answered()
		return
	}
	if outcome.Kind == choose.Errored && !r.caller.class.idempotent {
		h.close(r)
		r.caller.record(func(result *classResult) { result.mayHaveRun++ })
		return
	}
	if actions, allowed := h.pool.Retry(h.sim.clock(), r.id, false); allowed {
		h.apply(actions)
		return
	}
	if len(r.attempts) == 0 && h.isPending(r) {
		h.close(r)
		r.caller.refused(0)
	}
}

// simTarget is a target with slots and a queue.
type simTarget struct {
	sim     *simulation
	index   int
	name    string
	domain  string
	isSlow  bool
	running []*simAttempt
	waiting []*simAttempt
	// arrivals are the times of requests and probes.
	arrivals []time.Duration
}

// simAttempt is an attempt at a target.
type simAttempt struct {
	host    *simHost
	request *simRequest
	number  int
	target  *simTarget
	sent    time.Duration
	removed bool
}

func (t *simTarget) redrawSpeed(delay time.Duration) {
	t.isSlow = t.sim.rng.Float64() < t.sim.workload.slowShare
	t.sim.schedule(delay, func() { t.redrawSpeed(t.sim.workload.period) })
}

func (t *simTarget) slowdown() float64 {
	if t.isSlow {
		return t.sim.workload.slowFactor
	}
	return 1
}

func (t *simTarget) report() *choose.Report {
	return &choose.Report{Running: len(t.running), Waiting: len(t.waiting), Slowdown: t.slowdown()}
}

func (t *simTarget) receive(attempt *simAttempt) {
	t.arrivals = append(t.arrivals, t.sim.now)
	switch {
	case attempt.removed:
	case t.isTurningAway():
		t.decline(attempt)
		t.sim.schedule(attempt.host.networkDelay(t), func() { attempt.host.receiveHoldOff(t) })
	case t.sim.rng.Float64() < t.sim.workload.shed:
		t.decline(attempt)
	case len(t.running) < t.sim.workload.slots:
		t.start(attempt)
	case len(t.waiting) < t.sim.workload.queue:
		t.waiting = append(t.waiting, attempt)
	default:
		t.decline(attempt)
	}
}

func (t *simTarget) isTurningAway() bool {
	w := &t.sim.workload
	return t.index < w.turningAway && t.sim.now >= w.holdOffFrom && t.sim.now < w.holdOffTo
}

func (t *simTarget) decline(attempt *simAttempt) {
	t.sim.declined++
	outcome, isLeaving := choose.Outcome{Kind: choose.Declined, Report: t.report(), Limit: t.named()}, t.isLeaving()
	if t.sim.workload.resetsWhenFull {
		outcome, isLeaving = choose.Outcome{Kind: choose.Errored}, false
	}
	t.sim.schedule(attempt.host.networkDelay(t), func() { attempt.host.receiveAnswer(attempt, outcome, isLeaving) })
}

func (t *simTarget) start(attempt *simAttempt) {
	t.running = append(t.running, attempt)
	factor := t.slowdown()
	if len(t.running) >= t.sim.workload.slots {
		factor *= t.sim.workload.saturationSlowdown
	}
	if w := &t.sim.workload; t.index < w.ailing && t.sim.now >= w.ailingFrom {
		factor *= w.ailingFactor
	}
	t.sim.schedule(time.Duration(factor*float64(attempt.request.caller.work)), func() { t.finish(attempt) })
}

func (t *simTarget) finish(attempt *simAttempt) {
	if attempt.removed {
		return
	}
	t.remove(attempt)
	if t.sim.rng.Float64() < t.sim.workload.lost {
		return
	}
	report, named, isLeaving := t.report(), t.named(), t.isLeaving()
	t.sim.schedule(attempt.host.networkDelay(t), func() {
		attempt.host.receiveAnswer(attempt, choose.Outcome{Kind: choose.Answered, Report: report, Limit: named}, isLeaving)
	})
}

func (t *simTarget) cancel(attempt *simAttempt) {
	if !attempt.removed {
		t.remove(attempt)
	}
}

// remove takes out an attempt and starts the next one from the queue.
func (t *simTarget) remove(attempt *simAttempt) {
	attempt.removed = true
	is := func(other *simAttempt) bool { return other == attempt }
	t.waiting = slices.DeleteFunc(t.waiting, is)
	before := len(t.running)
	t.running = slices.DeleteFunc(t.running, is)
	if len(t.running) < before && len(t.waiting) > 0 {
		next := t.waiting[0]
		t.waiting = t.waiting[1:]
		t.start(next)
	}
}
