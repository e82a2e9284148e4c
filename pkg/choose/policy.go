package choose

import (
	"time"

	"gitlab.com/curranttiller/curranttiller/pkg/spec"
)

// pick returns a target for a request, or nil if it has to wait.
func (p *Pool) pick(now time.Time, r *pending) (*targetState, string) {
	usable := p.usable(now, r)
	if len(usable) == 0 {
		return nil, ""
	}
	switch p.settings.Policy {
	case spec.PolicyRandom:
		return usable[p.rng.IntN(len(usable))], "random"
	case spec.PolicyRoundRobin:
		p.rotation++
		return usable[p.rotation%uint64(len(usable))], "next in turn"
	case spec.PolicyTwoChoices:
		return p.pickOfTwo(usable), "fewer in flight of two"
	case spec.PolicyReports:
		return p.pickByReport(now, usable), "least reported load"
	default:
		return p.pickFree(now, usable), "free slot, least suspicion"
	}
}

// usable lists the targets that may take the request. Targets already tried are
// left out while others remain, spares are used only without an own target
// (the policy Speed uses all alike), and ejected ones only when nothing else is left.
func (p *Pool) usable(now time.Time, r *pending) []*targetState {
	isAnyOwn := p.settings.Policy == spec.PolicySpeed
	own := p.filter(func(s *targetState) bool {
		return (isAnyOwn || !s.Spare) && s.acceptsWork(now) && s.allows(r) && !r.hasTried(s.Name)
	})
	if len(own) > 0 {
		return own
	}
	spare := p.filter(func(s *targetState) bool { return s.acceptsWork(now) && s.allows(r) && !r.hasTried(s.Name) })
	if len(spare) > 0 {
		return spare
	}
	again := p.filter(func(s *targetState) bool { return s.acceptsWork(now) && s.allows(r) })
	if len(again) > 0 {
		return again
	}
	return p.filter(func(s *targetState) bool { return !s.Leaving && !s.draining })
}

// allows keeps non-idempotent work away from a target that is on trial.
func (s *targetState) allows(r *pending) bool {
	return !s.onTrial || (r.Idempotent && s.inFlight == 0)
}

func (p *Pool) filter(keep func(*targetState) bool) []*targetState {
	kept := p.scratch[:0]
	for _, s := range p.targets {
		if keep(s) {
			kept = append(kept, s)
		}
	}
	p.scratch = kept
	return kept
}

func (p *Pool) pickOfTwo(usable []*targetState) *targetState {
	a := usable[p.rng.IntN(len(usable))]
	b := usable[p.rng.IntN(len(usable))]
	if b.inFlight < a.inFlight {
		return b
	}
	return a
}

func (p *Pool) pickByReport(now time.Time, usable []*targetState) *targetState {
	start := p.rng.IntN(len(usable))
	best := usable[start]
	for i := range usable {
		s := usable[(start+i)%len(usable)]
		if s.reportedLoad(now) < best.reportedLoad(now) {
			best = s
		}
	}
	return best
}

// pickFree returns the least suspected target with a free slot. Suspicions
// within a quarter of the typical latency are equal; then the own failure domain, fewer
// requests in flight and the longest rest decide, in this order.
func (p *Pool) pickFree(now time.Time, usable []*targetState) *targetState {
	if best := p.pickWithin(now, usable, 0); best != nil || p.settings.Overcommit == 0 {
		return best
	}
	best := p.pickWithin(now, usable, p.settings.Overcommit)
	if best == nil || best.expectedLatency(now, p.latencies.median) > p.latencies.median+p.latencies.median/2 {
		return nil
	}
	return best
}

func (p *Pool) pickWithin(now time.Time, usable []*targetState, overcommit int) *targetState {
	var best *targetState
	var bestSuspicion time.Duration
	for _, s := range usable {
		if s.freeSlots(now, p.settings.Slots)+overcommit < 1 {
			continue
		}
		suspicion := s.expectedLatency(now, p.latencies.median)
		if best == nil || p.isBetter(s, suspicion, best, bestSuspicion) {
			best = s
			bestSuspicion = suspicion
		}
	}
	return best
}

func (p *Pool) isBetter(s *targetState, suspicion time.Duration, best *targetState, bestSuspicion time.Duration) bool {
	margin := p.latencies.median / 4
	if suspicion < bestSuspicion-margin || suspicion > bestSuspicion+margin {
		return suspicion < bestSuspicion
	}
	near := s.FailureDomain == p.settings.FailureDomain
	bestNear := best.FailureDomain == p.settings.FailureDomain
	if near != bestNear {
		return near
	}
	if s.inFlight != best.inFlight {
		return s.inFlight < best.inFlight
	}
	return s.lastGrant < best.lastGrant
}
