package choose

import (
	"cmp"
	"slices"
	"time"

	"gitlab.com/curranttiller/curranttiller/pkg/spec"
)

// Explanation says what would happen to a request if it arrived now.
type Explanation struct {
	// Target is the one that would get the request at once, empty if it would wait or be refused.
	Target string
	// Refusal is one of the Reason constants if the request would be refused, and RetryAfter
	// the time that its caller would be told. WaitReason is one of the Wait constants if it
	// would wait.
	Refusal    string
	RetryAfter time.Duration
	WaitReason string
	// Standing is that of the organisation: Owed, Within or Beyond its share.
	Standing string
	// WaitingBefore is the number of waiting requests that go first, and QueueingDelay the
	// expected time until the request gets a slot.
	WaitingBefore int
	QueueingDelay time.Duration
	// Work is the expected latency at a target of slowdown 1.
	Work    time.Duration
	Targets []TargetExplanation
}

// TargetExplanation is the estimate of a target for one more request.
type TargetExplanation struct {
	Name          string
	FailureDomain string
	// PassedOver says why the target would not get the request: Leaving, Ejected, HeldOff,
	// LimitReached, OnTrial, NoFreeSlot or Costlier; empty for the best one.
	PassedOver string
	// Occupied is the number of requests at the target as far as this host knows, of Slots.
	Occupied, Slots int
	// Slowdown is the last one that the target reported, and SlowdownAge the age of that
	// report. ReportAge is the age of the last report of its load.
	Slowdown               float64
	SlowdownAge, ReportAge time.Duration
	// ExpectedLatency times the penalty for errors and other disadvantages is Cost.
	ExpectedLatency, Cost time.Duration
}

// Explain says what would happen to a request that arrived now, by the decisions that Arrive
// makes. It sends nothing and records no request. Only the policy Speed is explained; the
// result is false for others.
func (p *Pool) Explain(now time.Time, request Request) (Explanation, bool) {
	if p.settings.Policy != spec.PolicySpeed {
		return Explanation{}, false
	}
	r := p.newPending(now, request)
	if p.hasOrganisations {
		r.precedence.standing = p.accounts.preview(now, r.Organisation, p.work(r))
	}
	e := Explanation{Standing: r.precedence.standing.String(), Work: p.work(r), WaitingBefore: p.waitingBefore(r)}
	e.Refusal = p.refuseHopeless(now, r)
	if e.Refusal == "" {
		refusal, _ := p.refuseBySpeed(now, r)
		e.Refusal, e.RetryAfter = refusal.Reason, refusal.RetryAfter
	}
	e.QueueingDelay = p.queueingDelay(now, r)
	c := p.compare(now)
	chosen := c.compareFor(r, p.work(r))
	e.Targets = p.explainTargets(now, r, &c, chosen)
	switch {
	case e.Refusal != "":
	case e.WaitingBefore > 0:
		e.WaitReason = WaitQueue
	default:
		e.WaitReason = p.waitReason(now, r, &c, chosen)
	}
	if e.Refusal == "" && e.WaitReason == "" {
		e.Target = chosen.target.Name
	}
	return e, true
}

// explainTargets lists the targets, the best one first and then by cost.
func (p *Pool) explainTargets(now time.Time, r *pending, c *comparison, chosen choice) []TargetExplanation {
	explained := make([]TargetExplanation, 0, len(p.targets))
	for _, s := range p.targets {
		occupancy := s.occupancy(now)
		f := p.forecast(now, s, occupancy)
		latency := f.latency(p.work(r))
		explained = append(explained, TargetExplanation{
			Name: s.Name, FailureDomain: s.FailureDomain, PassedOver: p.passedOver(now, r, s, c, chosen),
			Occupied: occupancy, Slots: p.slots(s), Slowdown: s.estimate.slowdown,
			SlowdownAge: s.estimate.slowdownAge(now), ReportAge: now.Sub(s.lastContact),
			ExpectedLatency: latency, Cost: time.Duration(float64(latency) * f.penalty),
		})
	}
	slices.SortFunc(explained, func(a, b TargetExplanation) int {
		isChosen := func(t *TargetExplanation) int {
			if t.PassedOver == "" {
				return 0
			}
			return 1
		}
		return cmp.Or(cmp.Compare(isChosen(&a), isChosen(&b)), cmp.Compare(a.Cost, b.Cost), cmp.Compare(a.Name, b.Name))
	})
	return explained
}

// passedOver returns why a target would not get a request, empty for the chosen one.
func (p *Pool) passedOver(now time.Time, r *pending, s *targetState, c *comparison, chosen choice) string {
	if chosen.target != nil && chosen.target.targetState == s {
		return ""
	}
	at := slices.IndexFunc(c.candidates, func(candidate candidate) bool { return candidate.targetState == s })
	switch {
	case s.isLeaving():
		return "Leaving"
	case s.isHeldOff(now):
		return "HeldOff"
	case at < 0 && s.isEjected(now):
		return "Ejected"
	case at < 0:
		return "LimitReached"
	case !s.allows(r):
		return "OnTrial"
	case !c.candidates[at].open:
		return "NoFreeSlot"
	default:
		return "Costlier"
	}
}
