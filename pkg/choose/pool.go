package choose

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"gitlab.com/curranttiller/curranttiller/pkg/budget"
	"gitlab.com/curranttiller/curranttiller/pkg/spec"
)

const (
	// loadDecay is the time constant of the smoothed load.
	loadDecay = 500 * time.Millisecond
	// minLoadInterval is the minimum time between two updates of the smoothed load.
	minLoadInterval = 5 * time.Millisecond
	// overloadDelay is how long the expected wait must exceed Settings.QueueWaitAtMost
	// to count as an overload and not as a burst.
	overloadDelay = time.Second
	// defaultExtraBurst is the capacity of the token bucket for extra attempts if
	// Settings.ExtraBurst is zero.
	defaultExtraBurst = 20
	// defaultRetryReserve is the number of tokens that hedges leave to retries if
	// Settings.ExtraBurst is zero.
	defaultRetryReserve = 10
	// reserveShare is the share of the bucket's capacity that hedges leave to retries,
	// and that each priority leaves to the next more urgent one.
	reserveShare = 0.25
	// maxReservePriority is the priority from which the reserve for more urgent requests stops
	// growing, so that a quarter of the capacity remains for the least urgent hedges.
	maxReservePriority = 2
	// usableTargetsDivisor keeps at least a third of the targets in use when others are ejected.
	usableTargetsDivisor = 3
)

// pending is a request that has arrived and has not been released.
type pending struct {
	Request
	attempts []attempt
	arrived  time.Time
	// spent is the estimated time that the caller spent on earlier tries of the request.
	spent time.Duration
	// endsWithStop is set if Deadline is the end of the stop of the host.
	endsWithStop bool
	// precedence is the place of the request among those that wait.
	precedence precedence
	// wasTimely is set if the waiting request could still meet its objective at the last check.
	wasTimely bool
}

// attempt is an attempt of a request, which may have ended.
type attempt struct {
	target *targetState
	sent   time.Time
	// slowdown is that of the target when the attempt was sent. It is 1 if the target has
	// never reported one, and zero if the last report was too old to learn from.
	slowdown float64
	// expectedLatency was expected when the attempt was sent; zero under policies other than Speed.
	expectedLatency time.Duration
	// wasSlow is set if the target didn't count as fast when the attempt was sent.
	wasSlow bool
	// wasFull is set if no slot of the target was free after the attempt was sent.
	wasFull bool
	// slowdownAfter is the slowdown in the first report after the attempt was sent, zero before.
	// Only early hedges need it.
	slowdownAfter float64
	// suspect is set if the connection may be dead. The attempt no longer occupies a slot then.
	suspect bool
	ended   bool
}

// hasUsedAllAttempts reports whether the request has reached its maximum number of attempts.
func (r *pending) hasUsedAllAttempts() bool {
	return len(r.attempts) >= r.AttemptsAtMost
}

func (r *pending) hasTried(target string) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.target.Name == target })
}

// Pool chooses targets for the requests of one service. It is not safe for concurrent use.
type Pool struct {
	settings  Settings
	targets   []*targetState
	requests  map[uint64]*pending
	doubts    doubts
	waiting   *queue
	latencies *latencyStats
	// extraBudget is the token bucket for extra attempts.
	extraBudget *budget.RetryBudget
	// hedgeBudget is the token bucket for early hedges.
	hedgeBudget *budget.RetryBudget
	wastedWork  wastedWork
	rng         *rand.Rand
	// rotation counts the choices of the policy RoundRobin.
	rotation uint64
	// grants counts the grants, so that each has a sequence number.
	grants uint64
	// load is the smoothed share of busy slots, with each waiting request counted as a busy slot.
	load          float64
	loadUpdatedAt time.Time
	// hadTargets is set once the pool has had a target.
	hadTargets bool
	// waitAcceptableAt is when the expected wait was last within Settings.QueueWaitAtMost.
	waitAcceptableAt time.Time
	// overloaded is set from the detection of an overload until the queue is empty.
	overloaded bool
	// scratch, candidates, ranking and choices are reused by every choice to avoid allocations.
	scratch    []*targetState
	ranking    []ranked
	candidates []candidate
	choices    map[string]choice
	// byName indexes targets.
	byName map[string]*targetState
	// classes holds the work of each class of requests, for the policy Speed.
	classes map[string]*classWork
	// longestPatience is the longest Request.Patience in each class. Shorter ones lower it slowly.
	longestPatience map[string]time.Duration
	// meanSlowdown is the EWMA of the slowdowns that targets report.
	meanSlowdown float64
	// slowdownReported is set once a target has reported its slowdown.
	slowdownReported bool
	// saturationSlowdown is the factor by which work takes longer at targets with all slots busy.
	saturationSlowdown float64
	// grantedWork is the rate at which work was granted recently.
	grantedWork grantRate
	// sharingHosts is the number of entry hosts that send requests to the same targets,
	// this one included.
	sharingHosts int
	// fastSpread and slowSpread describe how latencies at fast and at slow targets vary
	// around the expected ones.
	fastSpread, slowSpread latencySpread
	// contendedAt is the last time at which a request that could have met its objective
	// became late in the queue or was refused because of the queueing delay.
	contendedAt time.Time
	// inFlight is the number of slots that attempts of this host occupy at the targets, and
	// totalSlots is the number of all slots.
	inFlight, totalSlots int
	// observed are the targets that this host may have measured recently, and
	// ejected are those that may still be ejected.
	observed, ejected []*targetState
	// held are the targets that are not spare. This host probes them.
	held []*targetState
	// peakRequests is the recent maximum of the number of requests in the pool. It was
	// reached at peakRequestsAt and decays from then on.
	peakRequests   float64
	peakRequestsAt time.Time
	started        time.Time
	// usedByHost holds for each other host the targets at which it last reported
	// requests in flight.
	usedByHost map[string][]*targetState
	// limited are the targets that name a limit or have named one recently.
	limited []*targetState
	// evacuated are the failure domains whose targets get nothing.
	evacuated map[string]bool
	// cold are the targets that aren't known to be warm or have become so recently, and
	// coldChanges the changes since the last call of TakeColdChanges.
	cold        []*targetState
	coldChanges []ColdState
	// departures are the targets that have said that they leave, by name, and
	// departureChanges those since the last call of TakeDepartureChanges.
	departures       map[string]departure
	departureChanges []Departure
	// stopsAt is when the host ends the requests without an answer; zero if it does not stop.
	stopsAt time.Time
	// limitChanges are the changes of limits since the last call of TakeLimitChanges.
	limitChanges []TargetLimit
	// knownHosts is the number of entry hosts that this host knows, itself included, and
	// aliveHosts is the number of those that are alive.
	knownHosts, aliveHosts int
	// accounts are those of the organisations, and hasOrganisations is set once a request has had one.
	accounts         accounts
	hasOrganisations bool
	// fullQueueAt is when a target last ended an attempt at once without an answer.
	fullQueueAt time.Time
	// otherDomainUsedAt is when a request was last sent to a target in another failure domain.
	otherDomainUsedAt time.Time
}

// New returns a pool without targets. The seed determines its random choices.
func New(settings Settings, seed uint64, now time.Time) *Pool {
	p := &Pool{
		settings:         settings,
		requests:         make(map[uint64]*pending),
		waiting:          newQueue(),
		latencies:        newLatencyStats(settings.HedgeQuantile, now),
		rng:              rand.New(rand.NewPCG(seed, uint64(settings.Slots))),
		loadUpdatedAt:    now,
		waitAcceptableAt: now,
		started:          now,
		choices:          make(map[string]choice),
		classes:          make(map[string]*classWork),
		longestPatience:  make(map[string]time.Duration),

		meanSlowdown:       1,
		saturationSlowdown: 1,
		sharingHosts:       1,
		knownHosts:         1,
		aliveHosts:         1,
		usedByHost:         make(map[string][]*targetState),
		departures:         make(map[string]departure),
		accounts:           newAccounts(now),
	}
	p.extraBudget = budget.NewRetryBudget(settings.ExtraAttemptShare, p.extraAttemptBurst())
	p.hedgeBudget = p.newHedgeBudget()
	return p
}

// SetSettings applies new settings. Requests keep their position in the queue. The token
// bucket for extra attempts starts empty if ExtraAttemptShare or ExtraBurst has changed.
// If only BurstHosts has changed, the bucket keeps its capacity until SetSharingHosts is
// called.
func (p *Pool) SetSettings(settings Settings, now time.Time) Actions {
	isBudgetChanged := settings.ExtraAttemptShare != p.settings.ExtraAttemptShare || settings.ExtraBurst != p.settings.ExtraBurst
	isHedgeShareChanged := settings.HedgeShare != p.settings.HedgeShare
	p.latencies.hedgeQuantile = settings.HedgeQuantile
	for _, s := range p.targets {
		if s.Slots == 0 && s.limit >= p.settings.Slots {
			s.limit = settings.Slots
		}
	}
	p.settings = settings
	p.recountTargets()
	if isHedgeShareChanged {
		p.hedgeBudget = p.newHedgeBudget()
	}
	if isBudgetChanged {
		p.extraBudget = budget.NewRetryBudget(settings.ExtraAttemptShare, p.extraAttemptBurst())
	}
	return p.dispatch(now)
}

// SetTargets replaces the list of targets and keeps the state of those that stay.
// Targets that join a pool in use start with a concurrency limit of one. For the first
// targets of a pool, the limit is at least their number of slots.
func (p *Pool) SetTargets(now time.Time, targets []Target) Actions {
	next := make([]*targetState, 0, len(targets))
	byName := make(map[string]*targetState, len(targets))
	p.held = p.held[:0]
	for _, t := range targets {
		s := p.find(t.Name)
		isNew := s == nil
		if isNew {
			s = newTargetState(t, p.initialLimit(t), now)
		}
		before := s.Target
		s.Target = t
		s.evacuated = p.evacuated[t.FailureDomain]
		p.learnListedCold(now, s, before, isNew)
		next = append(next, s)
		byName[t.Name] = s
		if !t.Spare {
			p.held = append(p.held, s)
		}
	}
	for _, s := range p.targets {
		s.removed = byName[s.Name] != s
	}
	p.byName = byName
	p.limited = slices.DeleteFunc(p.limited, func(s *targetState) bool { return s.removed })
	p.hadTargets = p.hadTargets || len(targets) > 0
	p.targets = next
	p.recountTargets()
	return p.dispatch(now)
}

// recountTargets sets inFlight and totalSlots from the targets. Between changes of
// the list they are updated with each attempt, because the load is computed
// hundreds of times a second.
func (p *Pool) recountTargets() {
	p.inFlight, p.totalSlots = 0, 0
	for _, s := range p.targets {
		p.inFlight += s.inFlight
		p.totalSlots += p.slots(s)
	}
}

// releaseSlot frees the slot that an attempt has occupied.
func (p *Pool) releaseSlot(s *targetState) {
	s.inFlight--
	if !s.removed {
		p.inFlight--
	}
}

// markObserved adds a target to those that this host has measured itself.
func (p *Pool) markObserved(s *targetState) {
	if !s.observed {
		s.observed = true
		p.observed = append(p.observed, s)
	}
}

// initialLimit is the concurrency limit of a target that joins the pool.
func (p *Pool) initialLimit(t Target) int {
	if p.hadTargets {
		return 1
	}
	return max(t.Slots, p.settings.Slots)
}

// find returns the target with the given name, or nil.
func (p *Pool) find(name string) *targetState {
	return p.byName[name]
}

// Arrive adds a request. It is granted or refused at once, or waits in the queue.
// Release must be called at the end of the request, also after a refusal.
func (p *Pool) Arrive(now time.Time, request Request) Actions {
	p.extraBudget.Earn()
	p.hedgeBudget.Earn()
	r := p.newPending(now, request)
	if reason := p.refuseHopeless(now, r); reason != "" {
		return refuse(request.ID, reason)
	}
	refusals, isRefused := p.arriveInDoubt(now, r)
	if isRefused {
		return Actions{Refusals: refusals}
	}
	actions := p.arriveByPolicy(now, r)
	actions.Refusals = append(refusals, actions.Refusals...)
	return actions
}

// arriveByPolicy adds a request that has not been refused yet.
func (p *Pool) arriveByPolicy(now time.Time, r *pending) Actions {
	if p.settings.Policy == spec.PolicySpeed {
		return p.arriveBySpeed(now, r)
	}
	if refusal, isRefused := p.refuseByLimit(now, r, p.waiting.len()); isRefused {
		return Actions{Refusals: []Refusal{refusal}}
	}
	if refusal, isRefused := p.refuseByHoldOff(now, r); isRefused {
		return Actions{Refusals: []Refusal{refusal}}
	}
	if maxWait := p.maxWait(now, r); p.waiting.len() > 0 && p.expectedWait() > maxWait {
		return refuse(r.ID, ReasonQueueFull)
	}
	p.add(r)
	p.waiting.pushBack(r)
	return p.dispatch(now)
}

// newPending returns the state of a request that arrives now.
func (p *Pool) newPending(now time.Time, request Request) *pending {
	if request.AttemptsAtMost == 0 {
		request.AttemptsAtMost = p.settings.AttemptsAtMost
	}
	r := &pending{Request: request, arrived: now}
	r.precedence = precedence{standing: within, organisation: r.OrganisationPriority, route: r.Priority}
	return r
}

// refuseHopeless returns the reason for which a new request is refused whatever the load,
// empty if there is none.
func (p *Pool) refuseHopeless(now time.Time, r *pending) string {
	p.refreshDepartures(now)
	if !p.hasActiveTarget() {
		return ReasonNoTarget
	}
	if !now.Before(r.Deadline) {
		return ReasonDeadline
	}
	p.limitToStop(r)
	if p.outlastsStop(now, r) {
		return ReasonStopping
	}
	return ""
}

func refuse(id uint64, reason string) Actions {
	return Actions{Refusals: []Refusal{{Request: id, Reason: reason}}}
}

// hasActiveTarget reports whether any target is neither leaving nor draining.
func (p *Pool) hasActiveTarget() bool {
	return slices.ContainsFunc(p.targets, func(s *targetState) bool { return !s.isLeaving() })
}

// maxWait is how long a request may wait for a slot. It may wait as long as it can
// still be answered before its deadline, but no longer than
// Settings.QueueWaitAtMost in a lasting overload.
func (p *Pool) maxWait(now time.Time, r *pending) time.Duration {
	p.updateOverload(now)
	untilDeadline := r.Deadline.Sub(now) - p.latencies.mean
	if p.overloaded {
		return min(p.settings.QueueWaitAtMost, untilDeadline)
	}
	return untilDeadline
}

// updateOverload distinguishes a burst from an overload, which lasts until the queue
// is empty. If it ended as soon as the wait is short enough, the pool would
// alternate between accepting all requests and refusing all.
func (p *Pool) updateOverload(now time.Time) {
	if p.waiting.len() == 0 {
		p.overloaded = false
		p.waitAcceptableAt = now
		return
	}
	if p.expectedWait() <= p.settings.QueueWaitAtMost && !p.overloaded {
		p.waitAcceptableAt = now
	}
	if now.Sub(p.waitAcceptableAt) >= overloadDelay {
		p.overloaded = true
	}
}

// expectedWait is the expected time until a request at the end of the queue gets a slot.
func (p *Pool) expectedWait() time.Duration {
	slots := p.settings.Slots * max(len(p.targets), 1)
	return p.latencies.mean * time.Duration(p.waiting.len()+1) / time.Duration(slots)
}

// dispatch grants waiting requests while there are free slots. Under policies other than
// Speed, it refuses requests at the head of the queue with less than half the median
// latency left until their deadline, because they could probably not be answered in time.
func (p *Pool) dispatch(now time.Time) Actions {
	p.refreshDepartures(now)
	if p.waiting.len() > 0 && !p.hasActiveTarget() {
		return p.refuseWaiting()
	}
	if p.settings.Policy == spec.PolicySpeed {
		return p.dispatchBySpeed(now)
	}
	actions := p.expireByLimit(now)
	actions.Refusals = append(actions.Refusals, p.expireByHoldOff(now).Refusals...)
	for r := p.waiting.first(); r != nil; r = p.waiting.first() {
		if !now.Add(p.latencies.median / 2).Before(r.Deadline) {
			p.waiting.remove(r.ID)
			actions.Refusals = append(actions.Refusals, Refusal{Request: r.ID, Reason: r.deadlineReason()})
			continue
		}
		target, cause := p.pick(now, r)
		if target == nil {
			break
		}
		p.waiting.remove(r.ID)
		actions.Grants = append(actions.Grants, p.grant(now, r, target, cause))
	}
	p.updateLoad(now)
	return actions
}

// grant records an attempt of a request at a target and returns its grant.
func (p *Pool) grant(now time.Time, r *pending, target *targetState, cause string) Grant {
	target.startAttempt(now, r.IsPaced)
	if p.hasOrganisations && len(r.attempts) == 0 {
		p.accounts.grant(now, r.Organisation)
	}
	p.spendLimit(now, target)
	p.inFlight++
	p.markObserved(target)
	p.grants++
	target.lastGrant = p.grants
	if target.FailureDomain != p.settings.FailureDomain {
		p.otherDomainUsedAt = now
	}
	r.attempts = append(r.attempts, attempt{target: target, sent: now, slowdown: target.estimate.freshSlowdown(now), wasFull: target.occupancy(now) >= p.slots(target)})
	if p.settings.Policy == spec.PolicySpeed {
		return p.newSpeedGrant(r, target, cause)
	}
	return Grant{
		Request: r.ID,
		Target:  target.Name,

		TargetStartedAt: target.StartedAt,
		Attempt:         len(r.attempts),
		HedgeAfter:      p.hedgeAfter(r),
		SuspectAfter:    p.latencies.suspectThreshold(),
		Cause:           cause,
	}
}

// Tick must be called periodically. It refuses waiting requests that have become too
// late, and grants others if a target has become usable with time, such as after an
// ejection or when a report of foreign load expires. Under policies other than Speed, it
// checks no request behind the first one that must keep waiting.
func (p *Pool) Tick(now time.Time) Actions {
	p.accounts.forget(now)
	actions := p.expireByStop(now)
	if p.settings.Policy == spec.PolicySpeed {
		expired := p.expireBySpeed(now)
		actions.Refusals = append(actions.Refusals, expired.Refusals...)
	}
	granted := p.dispatch(now)
	actions.Grants = granted.Grants
	actions.Refusals = append(actions.Refusals, granted.Refusals...)
	if p.settings.Policy == spec.PolicySpeed && p.settings.HedgeShare > 0 {
		actions.Grants = append(actions.Grants, p.hedgeEarly(now).Grants...)
	}
	return actions
}

// SetSharingHosts sets the number of entry hosts that send requests to the same
// targets, this one included. The budget for extra attempts depends on it.
func (p *Pool) SetSharingHosts(sharingHosts int) {
	p.sharingHosts = sharingHosts
	p.extraBudget.SetBurst(p.extraAttemptBurst())
}

// updateLoad smooths the share of busy slots. Waiting requests count as busy slots.
func (p *Pool) updateLoad(now time.Time) {
	if now.Sub(p.loadUpdatedAt) < minLoadInterval {
		return
	}
	share := float64(p.waiting.len()+p.inFlight) / float64(max(p.totalSlots, 1))
	weight := 1 - math.Exp(-float64(now.Sub(p.loadUpdatedAt))/float64(loadDecay))
	p.load += weight * (min(share, 1) - p.load)
	p.loadUpdatedAt = now
}

// Waiting returns the number of requests in the queue.
func (p *Pool) Waiting() int {
	return p.waiting.len()
}

// Load returns the smoothed share of busy slots, from 0 to 1. Each waiting request counts
// as a busy slot.
func (p *Pool) Load() float64 {
	return p.load
}
