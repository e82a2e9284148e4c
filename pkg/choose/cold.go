package choose

import (
	"slices"
	"time"

	"gitlab.com/curranttiller/curranttiller/pkg/limit"
)

// A cold target has just started, or has lost what made it fast, and fails if it gets many
// requests before it is warm. The load that this answers is a failure domain that returns
// as a whole: all hosts find idle targets in it at the same moment. Until a target is warm,
// all hosts together send it no more than its rate while cold, which package limit divides.

const (
	// coldStateShared is how long other hosts are told that a target is warm again.
	coldStateShared = 30 * time.Second
	// coldTolerance is by how much the state of another host must be newer to replace the
	// own one. Passing a state on makes it look newer by the network delay.
	coldTolerance = 50 * time.Millisecond
)

// ColdState is what an entry host knows of the warm-up of a target.
type ColdState struct {
	Target string
	// Until is when the target is warm, and At when this was known.
	Until, At time.Time
}

// warmUp is what the pool keeps of a ColdState.
type warmUp struct {
	until, at time.Time
	// isStated is set if the target stated it in an answer to a probe. Other hosts are told
	// only of these.
	isStated bool
	// limiter is nil while the target is warm.
	limiter *limit.Limiter
}

// limitsCold reports whether targets of the service have a rate while cold.
func (p *Pool) limitsCold() bool {
	return p.settings.ColdPerSecond > 0
}

// isCold reports whether the target isn't known to be warm.
func (s *targetState) isCold(now time.Time) bool {
	return s.warmUp.limiter != nil && now.Before(s.warmUp.until)
}

// setWarmUp replaces what is known of a target. It reports whether the target has become
// cold or warm.
func (p *Pool) setWarmUp(now time.Time, s *targetState, next warmUp) bool {
	wasCold := s.isCold(now)
	if next.until.After(now) {
		next.limiter = s.warmUp.limiter
		if !wasCold {
			next.limiter = limit.New(p.rng.ExpFloat64)
			next.limiter.Receive(limit.State{PerSecond: max(limit.FullUse(p.settings.ColdPerSecond), limit.MinPerSecond), At: now})
		}
		if !slices.Contains(p.cold, s) {
			p.cold = append(p.cold, s)
		}
	}
	s.warmUp = next
	if isCold := s.isCold(now); isCold != wasCold {
		if !s.removed {
			p.coldChanges = append(p.coldChanges, ColdState{Target: s.Name, Until: next.until, At: next.at})
		}
		return true
	}
	return false
}

// assumeCold makes a target cold for the usual time from the given one on, until it states
// otherwise.
func (p *Pool) assumeCold(now, from time.Time, s *targetState) {
	if until := from.Add(p.settings.ColdTime); p.limitsCold() && until.After(s.warmUp.until) {
		p.setWarmUp(now, s, warmUp{until: until, at: now})
	}
}

// learnListedCold applies the list to a target that was in the list before or has joined it.
// What started while the pool was in use is cold, whatever its entry says, until it states
// otherwise.
func (p *Pool) learnListedCold(now time.Time, s *targetState, before Target, isNew bool) {
	if !p.limitsCold() {
		return
	}
	isLaterInstance := !isNew && s.StartedAt.After(before.StartedAt) && !before.StartedAt.IsZero()
	hasJustStarted := isNew && p.hadTargets && now.Sub(s.StartedAt) < p.settings.ColdTime
	if isLaterInstance || hasJustStarted {
		p.assumeCold(now, now, s)
	}
	isChanged := isNew || !s.ColdUntil.Equal(before.ColdUntil)
	if isChanged && s.ColdUntil.After(now) && s.ColdUntil.After(s.warmUp.until) {
		p.setWarmUp(now, s, warmUp{until: s.ColdUntil, at: now})
	}
}

// ProbedCold applies what a target states in the answer to a probe that was sent at the
// given time: how long it stays cold, zero if it is warm.
func (p *Pool) ProbedCold(now time.Time, target string, sent time.Time, left time.Duration) Actions {
	s := p.find(target)
	if s == nil || !p.limitsCold() || sent.Before(s.warmUp.at) || (left <= 0 && !s.isCold(now)) {
		return Actions{}
	}
	p.setWarmUp(now, s, warmUp{until: now.Add(left), at: now, isStated: true})
	return p.dispatch(now)
}

// ReceiveCold applies what targets have stated to other hosts. It reports whether a target
// has become cold or warm.
func (p *Pool) ReceiveCold(now time.Time, states []ColdState) (Actions, bool) {
	isChanged := false
	for i := range states {
		s := p.find(states[i].Target)
		if s == nil || !p.limitsCold() || states[i].At.Sub(s.warmUp.at) <= coldTolerance {
			continue
		}
		if p.setWarmUp(now, s, warmUp{until: states[i].Until, at: states[i].At, isStated: true}) {
			isChanged = true
		}
	}
	if !isChanged {
		return Actions{}, false
	}
	return p.dispatch(now), true
}

// ColdStates returns what targets have stated, to share it with other hosts. The newest
// come first.
func (p *Pool) ColdStates(now time.Time) []ColdState {
	p.cold = slices.DeleteFunc(p.cold, func(s *targetState) bool {
		return s.removed || (!s.isCold(now) && now.Sub(s.warmUp.at) > coldStateShared)
	})
	states := make([]ColdState, 0, len(p.cold))
	for _, s := range p.cold {
		if s.warmUp.isStated {
			states = append(states, ColdState{Target: s.Name, Until: s.warmUp.until, At: s.warmUp.at})
		}
	}
	slices.SortFunc(states, func(a, b ColdState) int { return b.At.Compare(a.At) })
	return states
}

// TakeColdChanges returns the targets that have become cold or warm by a statement or an
// event since the last call.
func (p *Pool) TakeColdChanges() []ColdState {
	changes := p.coldChanges
	p.coldChanges = nil
	return changes
}

// ColdTargets returns the number of targets that are not known to be warm.
func (p *Pool) ColdTargets(now time.Time) int {
	count := 0
	for _, s := range p.cold {
		if !s.removed && s.isCold(now) {
			count++
		}
	}
	return count
}
