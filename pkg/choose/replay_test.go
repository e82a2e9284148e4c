package choose_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"gitlab.com/curranttiller/curranttiller/pkg/choose"
	"gitlab.com/curranttiller/curranttiller/pkg/spec"
)

// A replay drives pools of several hosts against targets that slow down and fill
// up, with callers that come, wait and come back, all on a simulated clock.

// requestClass is a class of requests with what an answer is worth.
type requestClass struct {
	name      string
	perSecond float64
	work      time.Duration
	objective time.Duration
	deadline  time.Duration
	// limit is how long a host may take; zero means up to the deadline.
	limit      time.Duration
	priority   int
	worth      float64
	idempotent bool
}

// workload is a load with the targets that it meets.
type workload struct {
	hosts, targets, domains int
	slots, queue            int
	// slowShare of the targets work slowFactor times as long, drawn anew every period.
	slowShare, slowFactor float64
	period                time.Duration
	// fullFactor is how many times as long work takes that starts with all slots busy.
	fullFactor float64
	// lost is the share of answers that never come, and shed that of attempts that are declined with slots free.
	lost, shed float64
	// load multiplies the rates over the length.
	load   float64
	length time.Duration
	kinds  []requestClass
}

// classResult counts what became of the requests of one class.
type classResult struct {
	asked, inTime, late, refused, failed int
	earned, owed                         float64
	// held is the worth of refused requests by how long they waited: nothing up to an
	// eighth of their objective, all from three quarters of their time.
	held float64
}

// share is the part of the worth owed that was earned.
func (t *classResult) share() float64 {
	return t.earned / max(t.owed, 1)
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

// simulation is a replay under way.
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
	nextID   uint64
	sends    int
}

func (w *simulation) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.queue, event{at: w.now + d, seq: w.seq, do: do})
}

func (w *simulation) clock() time.Time {
	return testStart.Add(w.now)
}

// replay plays a pattern and returns the tallies of its classes.
func replay(p workload, seed uint64) *simulation {
	w := &simulation{workload: p, rng: rand.New(rand.NewPCG(seed, 7)), byName: make(map[string]*simTarget), results: make(map[string]*classResult)}
	for i := range p.targets {
		t := &simTarget{world: w, name: fmt.Sprintf("t%03d", i), domain: fmt.Sprintf("d%d", i%p.domains)}
		w.targets = append(w.targets, t)
		w.byName[t.name] = t
		t.redraw(time.Duration(w.rng.Float64() * float64(p.period)))
	}
	for i := range p.hosts {
		w.hosts = append(w.hosts, newSimHost(w, i))
	}
	for i := range p.kinds {
		k := &p.kinds[i]
		w.results[k.name] = &classResult{}
		w.arrivals(k)
	}
	for len(w.queue) > 0 && w.now < p.length+3*time.Second {
		next := heap.Pop(&w.queue).(event)
		w.now = next.at
		next.do()
	}
	return w
}

func (w *simulation) total() classResult {
	var all classResult
	for _, t := range w.results {
		all.asked += t.asked
		all.inTime += t.inTime
		all.late += t.late
		all.refused += t.refused
		all.failed += t.failed
		all.earned += t.earned
		all.owed += t.owed
		all.held += t.held
	}
	return all
}

func (w *simulation) arrivals(k *requestClass) {
	gap := time.Duration(w.rng.ExpFloat64() / (k.perSecond * w.workload.load) * float64(time.Second))
	w.after(gap, func() {
		if w.now > w.workload.length {
			return
		}
		t := w.results[k.name]
		t.asked++
		t.owed += k.worth
		c := &simCaller{world: w, kind: k, began: w.now, retries: 1}
		c.work = time.Duration(float64(k.work) * math.Exp(0.3*w.rng.NormFloat64()-0.045))
		c.submit()
		w.arrivals(k)
	})
}

// simCaller is one caller with its retry.
type simCaller struct {
	world   *simulation
	kind    *requestClass
	began   time.Duration
	work    time.Duration
	retries int
}

func (c *simCaller) submit() {
	host := c.world.hosts[c.world.rng.IntN(len(c.world.hosts))]
	c.world.after(time.Millisecond, func() { host.arrive(c) })
}

func (c *simCaller) left() time.Duration {
	return c.began + c.kind.deadline - c.world.now
}

func (c *simCaller) answered() {
	t := c.world.results[c.kind.name]
	switch took := c.world.now - c.began; {
	case took <= c.kind.objective:
		t.inTime++
		t.earned += c.kind.worth
	default:
		t.late++
		t.earned += c.kind.worth / 10
	}
}

// refused comes back once, at the time that the host named or a third of what is left.
func (c *simCaller) refused(retryAfter time.Duration) {
	wait := min(max(retryAfter, 30*time.Millisecond), c.left()/3)
	if c.retries == 0 || wait <= 0 {
		c.world.results[c.kind.name].refused++
		return
	}
	c.retries--
	c.world.after(wait, c.submit)
}

func (c *simCaller) failed(mayRepeat bool) {
	if !mayRepeat || c.retries == 0 || c.left() <= 0 {
		c.world.results[c.kind.name].failed++
		return
	}
	c.retries--
	c.submit()
}

// simHost is a host: its pool and the requests in it.
type simHost struct {
	world    *simulation
	name     string
	domain   string
	pool     *choose.Pool
	requests map[uint64]*simRequest
}

// simRequest is a request at a host.
type simRequest struct {
	caller   *simCaller
	id       uint64
	arrived  time.Duration
	deadline time.Duration
	jobs     map[int]*simJob
	rescued  bool
}

func newSimHost(w *simulation, index int) *simHost {
	h := &simHost{world: w, name: fmt.Sprintf("h%d", index), domain: fmt.Sprintf("d%d", index%w.workload.domains), requests: make(map[uint64]*simRequest)}
	h.pool = choose.New(choose.Settings{
		Policy: spec.PolicySpeed, Slots: w.workload.slots, AttemptsAtMost: 2, ExtraAttemptShare: 0.18, ExtraBurst: 37, HedgeQuantile: 0.95,
		BusyShare: 0.9, QuietAfter: 100 * time.Millisecond, FailureDomain: h.domain, ChargeRescues: true,
	}, uint64(index), testStart)
	h.pool.SetSharingHosts(w.workload.hosts)
	targets := make([]choose.Target, 0, len(w.targets))
	perDomain := max(w.workload.hosts/w.workload.domains, 1)
	for i, t := range w.targets {
		isHeld := t.domain == h.domain && (i/w.workload.domains)%perDomain == index/w.workload.domains%perDomain
		targets = append(targets, choose.Target{Name: t.name, FailureDomain: t.domain, Slots: w.workload.slots, Spare: !isHeld})
	}
	h.pool.SetTargets(testStart, targets)
	w.after(time.Duration(index)*3*time.Millisecond, h.tick)
	w.after(time.Duration(index)*5*time.Millisecond, h.beacon)
	return h
}

func (h *simHost) tick() {
	h.take(h.pool.Tick(h.world.clock()))
	for _, name := range h.pool.Probes(h.world.clock()) {
		t := h.world.byName[name]
		h.world.after(2*h.distance(t), func() {
			h.take(h.pool.Probed(h.world.clock(), name, t.report()))
		})
	}
	h.world.after(20*time.Millisecond, h.tick)
}

func (h *simHost) beacon() {
	observations := h.pool.Observations(h.world.clock(), 100*time.Millisecond)
	for _, other := range h.world.hosts {
		if other != h {
			h.world.after(time.Millisecond, func() { other.take(other.pool.ReceiveObservations(other.world.clock(), h.name, observations)) })
		}
	}
	h.world.after(50*time.Millisecond, h.beacon)
}

func (h *simHost) distance(t *simTarget) time.Duration {
	if t.domain == h.domain {
		return 100 * time.Microsecond
	}
	return 900 * time.Microsecond
}

func (h *simHost) arrive(c *simCaller) {
	limit := c.left()
	if c.kind.limit > 0 {
		limit = min(limit, c.kind.limit)
	}
	if limit <= 0 {
		c.failed(false)
		return
	}
	h.world.nextID++
	r := &simRequest{caller: c, id: h.world.nextID, arrived: h.world.now, deadline: h.world.now + limit, jobs: make(map[int]*simJob)}
	h.requests[r.id] = r
	h.world.after(limit, func() { h.expire(r) })
	h.take(h.pool.Arrive(h.world.clock(), choose.Request{
		ID: r.id, Idempotent: c.kind.idempotent, Deadline: testStart.Add(r.deadline), Patience: c.left(), Class: c.kind.name, Priority: c.kind.priority, Objective: c.kind.objective,
	}))
}

func (h *simHost) isOpen(r *simRequest) bool {
	return h.requests[r.id] == r
}

func (h *simHost) expire(r *simRequest) {
	if !h.isOpen(r) {
		return
	}
	h.close(r)
	r.caller.failed(r.caller.kind.idempotent)
}

// close cancels what is still out and forgets the request.
func (h *simHost) close(r *simRequest) {
	delete(h.requests, r.id)
	for number, job := range r.jobs {
		job.target.cancel(job)
		h.take(h.pool.Finish(h.world.clock(), r.id, number, choose.Outcome{Kind: choose.Cancelled, Latency: h.world.now - job.sent}))
	}
	h.take(h.pool.Release(h.world.clock(), r.id))
}

func (h *simHost) take(actions choose.Actions) {
	for _, grant := range actions.Grants {
		h.grant(grant)
	}
	for _, refusal := range actions.Refusals {
		r, found := h.requests[refusal.Request]
		if !found || len(r.jobs) > 0 {
			continue
		}
		h.close(r)
		h.noteHeld(r)
		r.caller.refused(refusal.RetryAfter)
	}
}

func (h *simHost) noteHeld(r *simRequest) {
	k := r.caller.kind
	held := float64(h.world.now - r.arrived)
	free := float64(k.objective) / 8
	full := 0.75 * float64(r.deadline-r.arrived)
	h.world.results[k.name].held += k.worth * min(max((held-free)/max(full-free, 1), 0), 1)
}

func (h *simHost) grant(grant choose.Grant) {
	r, found := h.requests[grant.Request]
	if !found {
		h.take(h.pool.Finish(h.world.clock(), grant.Request, grant.Attempt, choose.Outcome{Kind: choose.Unused}))
		return
	}
	t := h.world.byName[grant.Target]
	job := &simJob{host: h, request: r, number: grant.Attempt, target: t, sent: h.world.now}
	r.jobs[grant.Attempt] = job
	h.world.sends++
	h.world.after(h.distance(t), func() { t.receive(job) })
	if grant.HedgeAfter > 0 {
		h.world.after(grant.HedgeAfter, func() {
			if h.isOpen(r) {
				h.take(h.pool.Hedge(h.world.clock(), r.id))
			}
		})
	}
	if !r.rescued {
		late := min(max(250*time.Millisecond, grant.SuspectAfter), (r.deadline-h.world.now)/2)
		h.world.after(late, func() { h.rescue(r) })
	}
}

func (h *simHost) rescue(r *simRequest) {
	if !h.isOpen(r) || r.rescued {
		return
	}
	r.rescued = true
	h.take(h.pool.MarkSuspect(h.world.clock(), r.id))
	if r.caller.kind.idempotent {
		actions, _ := h.pool.Retry(h.world.clock(), r.id, true)
		h.take(actions)
	}
}

func (h *simHost) ended(job *simJob, outcome choose.Outcome) {
	r := job.request
	if !h.isOpen(r) || r.jobs[job.number] != job {
		return
	}
	outcome.Latency = h.world.now - job.sent
	delete(r.jobs, job.number)
	h.take(h.pool.Finish(h.world.clock(), r.id, job.number, outcome))
	if outcome.Kind == choose.Answered {
		h.close(r)
		r.caller.answered()
		return
	}
	if actions, allowed := h.pool.Retry(h.world.clock(), r.id, false); allowed {
		h.take(actions)
		return
	}
	if len(r.jobs) == 0 && h.isOpen(r) {
		h.close(r)
		r.caller.refused(0)
	}
}

// simTarget is a target with slots and a queue.
type simTarget struct {
	world   *simulation
	name    string
	domain  string
	isSlow  bool
	running []*simJob
	waiting []*simJob
}

// simJob is an attempt at a target.
type simJob struct {
	host    *simHost
	request *simRequest
	number  int
	target  *simTarget
	sent    time.Duration
	gone    bool
}

func (t *simTarget) redraw(first time.Duration) {
	t.isSlow = t.world.rng.Float64() < t.world.workload.slowShare
	t.world.after(first, func() { t.redraw(t.world.workload.period) })
}

func (t *simTarget) slowdown() float64 {
	if t.isSlow {
		return t.world.workload.slowFactor
	}
	return 1
}

func (t *simTarget) report() *choose.Report {
	return &choose.Report{Running: len(t.running), Waiting: len(t.waiting), Slowdown: t.slowdown()}
}

func (t *simTarget) receive(job *simJob) {
	switch {
	case job.gone:
	case t.world.rng.Float64() < t.world.workload.shed:
		t.decline(job)
	case len(t.running) < t.world.workload.slots:
		t.start(job)
	case len(t.waiting) < t.world.workload.queue:
		t.waiting = append(t.waiting, job)
	default:
		t.decline(job)
	}
}

func (t *simTarget) decline(job *simJob) {
	report := t.report()
	t.world.after(job.host.distance(t), func() { job.host.ended(job, choose.Outcome{Kind: choose.Declined, Report: report}) })
}

func (t *simTarget) start(job *simJob) {
	t.running = append(t.running, job)
	factor := t.slowdown()
	if len(t.running) >= t.world.workload.slots {
		factor *= t.world.workload.fullFactor
	}
	t.world.after(time.Duration(factor*float64(job.request.caller.work)), func() { t.finish(job) })
}

func (t *simTarget) finish(job *simJob) {
	if job.gone {
		return
	}
	t.remove(job)
	if t.world.rng.Float64() < t.world.workload.lost {
		return
	}
	report := t.report()
	t.world.after(job.host.distance(t), func() { job.host.ended(job, choose.Outcome{Kind: choose.Answered, Report: report}) })
}

func (t *simTarget) cancel(job *simJob) {
	if !job.gone {
		t.remove(job)
	}
}

// remove takes a job out and starts the next one.
func (t *simTarget) remove(job *simJob) {
	job.gone = true
	is := func(other *simJob) bool { return other == job }
	t.waiting = slices.DeleteFunc(t.waiting, is)
	before := len(t.running)
	t.running = slices.DeleteFunc(t.running, is)
	if len(t.running) < before && len(t.waiting) > 0 {
		next := t.waiting[0]
		t.waiting = t.waiting[1:]
		t.start(next)
	}
}
