package choose

import (
	"time"

	"gitlab.com/curranttiller/curranttiller/pkg/spec"
)

// pick returns a target for a request and the cause of the choice, or nil if the
// request must wait. It implements all policies but Speed.
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
		return usable[p.rotation%uint64(len(usable))], "next in rotation"
	case spec.PolicyTwoChoices:
		return p.pickOfTwo(usable), "fewer in flight of two"
	case spec.PolicyReports:
		return p.pickByReport(now, usable), "least reported load"
	default:
		return p.pickFree(now, usable), "free slot, lowest expected latency"
	}
}

// usable lists the targets that may get the request. Targets already tried are left
// out while others remain. Spares are listed only if no held target is left. Ejected
// targets, and those on trial that may not get the request, are listed only if nothing
// else is left. Targets whose limit allows no request now are never listed.
func (p *Pool) usable(now time.Time, r *pending) []*targetState {
	includesSpares := p.settings.Policy == spec.PolicySpeed
	preferred := p.filter(func(s *targetState) bool {
		return (includesSpares || !s.Spare) && p.maySend(now, s) && s.allows(r) && !r.hasTried(s.Name)
	})
	if len(preferred) > 0 {
		return preferred
	}
	untried := p.filter(func(s *targetState) bool { return p.maySend(now, s) && s.allows(r) && !r.hasTried(s.Name) })
	if len(untried) > 0 {
		return untried
	}
	all := p.filter(func(s *targetState) bool { return p.maySend(now, s) && s.allows(r) })
	if len(all) > 0 {
		return all
	}
	return p.filter(func(s *targetState) bool { return !s.isLeaving() && p.limitAllows(now, s) })
}

// allows reports whether a target may get the request while others are usable. A target
// on trial may get only idempotent requests, one at a time.
func (s *targetState) allows(r *pending) bool {
	return !s.onTrial || (r.Idempotent && s.inFlight == 0)
}

// filter returns the targets for which keep returns true. The result is valid until the next call.
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

// pickOfTwo returns the target with fewer requests in flight of two random ones.
func (p *Pool) pickOfTwo(usable []*targetState) *targetState {
	a := usable[p.rng.IntN(len(usable))]
	b := usable[p.rng.IntN(len(usable))]
	if b.inFlight < a.inFlight {
		return b
	}
	return a
}

// pickByReport returns the target with the lowest reported load, a random one among equals.
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

// pickFree returns the target with the lowest expected latency of those with a free
// slot. Without one it returns a target that may get a request beyond its slots,
// unless the expected latency there exceeds 1.5 times the median latency.
func (p *Pool) pickFree(now time.Time, usable []*targetState) *targetState {
	if best := p.pickWithOvercommit(now, usable, 0); best != nil || p.settings.Overcommit == 0 {
		return best
	}
	best := p.pickWithOvercommit(now, usable, p.settings.Overcommit)
	if best == nil || best.expectedLatency(now, p.latencies.median) > p.latencies.median+p.latencies.median/2 {
		return nil
	}
	return best
}

// pickWithOvercommit returns the best target that may get a request if overcommit
// requests beyond its slots are allowed, or nil.
func (p *Pool) pickWithOvercommit(now time.Time, usable []*targetState, overcommit int) *targetState {
	var best *targetState
	var bestLatency time.Duration
	for _, s := range usable {
		if s.freeSlots(now, p.settings.Slots)+overcommit < 1 {
			continue
		}
		latency := s.expectedLatency(now, p.latencies.median)
		if best == nil || p.isBetter(s, latency, best, bestLatency) {
			best = s
			bestLatency = latency
		}
	}
	return best
}

// isBetter reports whether s is a better choice than best. Expected latencies within
// a quarter of the median count as equal. Then the failure domain of the entry
// host, fewer requests in flight and the older last grant decide, in this order.
func (p *Pool) isBetter(s *targetState, latency time.Duration, best *targetState, bestLatency time.Duration) bool {
	tolerance := p.latencies.median / 4
	if latency < bestLatency-tolerance || latency > bestLatency+tolerance {
		return latency < bestLatency
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
