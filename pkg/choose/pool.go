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
	// minLoadInterval is the least time between two measurements of the load.
	minLoadInterval = 5 * time.Millisecond
	// overloadDelay is how long the wait must be too long before it counts as an overload and not as a burst.
	overloadDelay = time.Second
	// defaultExtraBurst is how many extra attempts may be saved up.
	defaultExtraBurst = 20
	// defaultRetryReserve is the part of the saved extra attempts that hedges leave to retries.
	defaultRetryReserve = 10
	// reserveShare is the share of the saved extra attempts that hedges leave to retries, and each rank to the next more urgent one.
	reserveShare = 0.25
	// maxReserveRank is the number of ranks that are told apart; a quarter is left to the last.
	maxReserveRank = 2
	// usableTargetsDivisor keeps at least a third of the targets from ejection.
	usableTargetsDivisor = 3
)

// pending is a request between its arrival and its release.
type pending struct {
	Request
	attempts []attempt
	arrived  time.Time
	// spent is the time that the caller had spent on earlier tries.
	spent time.Duration
	// wasTimely says that the request could still be in time when it was last looked at.
	wasTimely bool
}

type attempt struct {
	target *targetState
	sent   time.Time
	// slowdown is what the target was expected to have when the attempt was sent, zero if that was too uncertain to learn from.
	slowdown float64
	// expected is when an answer was expected, and wasSlow says that the target was slow.
	expectedLatency time.Duration
	wasSlow         bool
	// wasFull says that the target's last slot was taken then.
	wasFull bool
	// suspect attempts no longer hold a slot.
	suspect bool
}

// hasUsedAllAttempts reports whether the request has had all its attempts.
func (r *pending) hasUsedAllAttempts() bool {
	return len(r.attempts) >= r.AttemptsAtMost
}

func (r *pending) hasTried(target string) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.target.Name == target })
}

// Pool chooses targets for the requests of one service; it is not safe for concurrent use.
type Pool struct {
	settings      Settings
	targets       []*targetState
	requests      map[uint64]*pending
	waiting       *queue
	latencies     *latencyStats
	extraBudget   *budget.Ratio
	wastedWork    wastedWork
	rng           *rand.Rand
	rotation      uint64
	grants        uint64
	load          float64
	loadUpdatedAt time.Time
	hadTargets    bool
	// calm is when the expected wait was last within what the document allows.
	waitAcceptableAt time.Time
	// overloaded says that the wait has been too long for a while.
	overloaded bool
	scratch    []*targetState
	candidates []candidate
	choices    map[string]choice
	// byName finds the targets.
	byName map[string]*targetState
	// classes holds the work of each class of requests, for the policy Speed.
	classes map[string]*classWork
	// longest is the longest patience of the callers of a class.
	longestPatience map[string]time.Duration
	// usual is the smoothed slowdown that targets report.
	usualSlowdown float64
	// slowdownReported says that a target has told its slowdown.
	slowdownReported bool
	// full is how many times as long work takes at targets with all slots busy.
	saturationSlowdown float64
	// flow is how much work was granted lately.
	grantedWork grantRate
	// sharingHosts is the number of hosts that use the targets alike.
	sharingHosts int
	// fastSpread and slowSpread are how answers vary around what is expected of targets.
	fastSpread, slowSpread latencySpread
	// contended is when a request that could be in time last had to wait.
	contendedAt time.Time
	// inFlight and totalSlots count the requests at the targets and their slots.
	inFlight, totalSlots int
	// touched are the targets of which this host may know something at first hand, and out those that were ejected.
	observed, ejected []*targetState
	// held are the targets that are not spare, which this host measures.
	held []*targetState
	// peakRequests is the most requests that were here at once, at the time peakRequestsAt.
	peakRequests   float64
	peakRequestsAt time.Time
	started        time.Time
	// usedByHost holds the targets at which other hosts last said to have requests.
	usedByHost map[string][]*targetState
	// otherDomainUsedAt is when a request last went to a target in another failure domain.
	otherDomainUsedAt time.Time
}

// New returns a pool without targets.
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

		usualSlowdown:      1,
		saturationSlowdown: 1,
		sharingHosts:       1,
		usedByHost:         make(map[string][]*targetState),
	}
	p.extraBudget = budget.NewRatio(settings.ExtraAttemptShare, p.extraAttemptBurst())
	return p
}

// SetSettings puts new limits in force; requests keep their place.
func (p *Pool) SetSettings(settings Settings, now time.Time) Actions {
	isChanged := settings.ExtraAttemptShare != p.settings.ExtraAttemptShare || settings.ExtraBurst != p.settings.ExtraBurst
	p.latencies.hedgeQuantile = settings.HedgeQuantile
	for _, s := range p.targets {
		if s.Slots == 0 && s.limit >= p.settings.Slots {
			s.limit = settings.Slots
		}
	}
	p.settings = settings
	p.recountTargets()
	if isChanged {
		p.extraBudget = budget.NewRatio(settings.ExtraAttemptShare, p.extraAttemptBurst())
	}
	return p.dispatch(now)
}

// SetTargets replaces the targets and keeps what is known of those that stay.
// Targets that join a pool in use start cold; the first ones do not.
func (p *Pool) SetTargets(now time.Time, targets []Target) Actions {
	next := make([]*targetState, 0, len(targets))
	byName := make(map[string]*targetState, len(targets))
	p.held = p.held[:0]
	for _, t := range targets {
		s := p.find(t.Name)
		if s == nil {
			s = newTargetState(t, p.initialLimit(t), now)
		}
		s.Target = t
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
	p.hadTargets = p.hadTargets || len(targets) > 0
	p.targets = next
	p.recountTargets()
	return p.dispatch(now)
}

// recountTargets counts requests and slots anew; in between they are kept up, since
// the load is noted hundreds of times a second.
func (p *Pool) recountTargets() {
	p.inFlight, p.totalSlots = 0, 0
	for _, s := range p.targets {
		p.inFlight += s.inFlight
		p.totalSlots += p.slots(s)
	}
}

// releaseSlot notes that an attempt no longer holds its slot.
func (p *Pool) releaseSlot(s *targetState) {
	s.inFlight--
	if !s.removed {
		p.inFlight--
	}
}

// touch notes that this host learns something of a target at first hand.
func (p *Pool) markObserved(s *targetState) {
	if !s.observed {
		s.observed = true
		p.observed = append(p.observed, s)
	}
}

// initialLimit is where the ramp of a target starts.
func (p *Pool) initialLimit(t Target) int {
	if p.hadTargets {
		return 1
	}
	return max(t.Slots, p.settings.Slots)
}

func (p *Pool) find(name string) *targetState {
	return p.byName[name]
}

// Arrive takes a request, which is then granted, refused or waits.
func (p *Pool) Arrive(now time.Time, request Request) Actions {
	p.extraBudget.Earn()
	if request.AttemptsAtMost == 0 {
		request.AttemptsAtMost = p.settings.AttemptsAtMost
	}
	r := &pending{Request: request, arrived: now}
	if !p.hasActiveTarget() {
		return refuse(request.ID, ReasonNoTarget)
	}
	if !now.Before(request.Deadline) {
		return refuse(request.ID, ReasonDeadline)
	}
	if p.settings.Policy == spec.PolicySpeed {
		return p.arriveBySpeed(now, r)
	}
	if patience := p.maxWait(now, r); p.waiting.len() > 0 && p.expectedWait() > patience {
		return refuse(request.ID, ReasonQueueFull)
	}
	p.requests[request.ID] = r
	p.waiting.pushBack(r)
	return p.dispatch(now)
}

func refuse(id uint64, reason string) Actions {
	return Actions{Refusals: []Refusal{{Request: id, Reason: reason}}}
}

func (p *Pool) hasActiveTarget() bool {
	return slices.ContainsFunc(p.targets, func(s *targetState) bool { return !s.Leaving && !s.draining })
}

// patience is how long a request may wait: as long as it can still be answered
// in time, but in a lasting overload no longer than the document allows.
func (p *Pool) maxWait(now time.Time, r *pending) time.Duration {
	p.updateOverload(now)
	untilDeadline := r.Deadline.Sub(now) - p.latencies.mean
	if p.overloaded {
		return min(p.settings.QueueWaitAtMost, untilDeadline)
	}
	return untilDeadline
}

// updateOverload tells a burst from an overload, which lasts until the queue is
// empty. If it ended as soon as the wait is short enough, all would be let in
// and all refused in turn.
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

// expectedWait is the time until a request at the end of the queue gets a slot.
func (p *Pool) expectedWait() time.Duration {
	slots := p.settings.Slots * max(len(p.targets), 1)
	return p.latencies.mean * time.Duration(p.waiting.len()+1) / time.Duration(slots)
}

// dispatch grants waiting requests while there are free slots.
func (p *Pool) dispatch(now time.Time) Actions {
	if p.settings.Policy == spec.PolicySpeed {
		return p.dispatchBySpeed(now)
	}
	var actions Actions
	for r := p.waiting.first(); r != nil; r = p.waiting.first() {
		if !now.Add(p.latencies.median / 2).Before(r.Deadline) {
			p.waiting.remove(r.ID)
			actions.Refusals = append(actions.Refusals, Refusal{Request: r.ID, Reason: ReasonDeadline})
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

func (p *Pool) grant(now time.Time, r *pending, target *targetState, cause string) Grant {
	target.startAttempt(now)
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
		Request:      r.ID,
		Target:       target.Name,
		Attempt:      len(r.attempts),
		HedgeAfter:   p.hedgeAfter(r),
		SuspectAfter: p.latencies.suspectThreshold(),
		Cause:        cause,
	}
}

// Tick lets time pass: ejections end and deadlines of waiting requests pass.
func (p *Pool) Tick(now time.Time) Actions {
	if p.settings.Policy != spec.PolicySpeed {
		return p.dispatch(now)
	}
	actions := p.expireBySpeed(now)
	granted := p.dispatch(now)
	actions.Grants = granted.Grants
	return actions
}

// SetSharingHosts says how many hosts use the targets alike, this one included.
func (p *Pool) SetSharingHosts(sharingHosts int) {
	p.sharingHosts = sharingHosts
	p.extraBudget.SetBurst(p.extraAttemptBurst())
}

func (p *Pool) updateLoad(now time.Time) {
	if now.Sub(p.loadUpdatedAt) < minLoadInterval {
		return
	}
	share := float64(p.waiting.len()+p.inFlight) / float64(max(p.totalSlots, 1))
	weight := 1 - math.Exp(-float64(now.Sub(p.loadUpdatedAt))/float64(loadDecay))
	p.load += weight * (min(share, 1) - p.load)
	p.loadUpdatedAt = now
}

// Waiting returns the number of queued requests.
func (p *Pool) Waiting() int {
	return p.waiting.len()
}

// Load returns the smoothed share of busy slots.
func (p *Pool) Load() float64 {
	return p.load
}
