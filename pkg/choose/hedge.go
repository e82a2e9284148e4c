package choose

import (
	"cmp"
	"slices"
	"time"

	"gitlab.com/curranttiller/curranttiller/pkg/budget"
)

// Early hedges are second attempts for requests that are about to miss their objective,
// within a share of extra work that the operator sets. Load pattern: targets slow down for
// half a second several times a minute, and a request that has just started there is late
// although others have free slots.
//
// Their number is limited at each host to the share of its own requests, so that it is
// limited for all hosts together. Those with the highest gain come first. The gain is the
// probability that the second attempt meets the objective and the first one does not.

const (
	// hedgeBurst is the number of early hedges that a host may save.
	hedgeBurst = 3
	// minHedgeGain is the least gain for which a second attempt is sent.
	minHedgeGain = 0.4
	// maxPassed is the share of good answers that come before the age at which an answer counts
	// as lost.
	maxPassed = 0.995
	// hedgeOpenDivisor is the divisor of the number of fast targets of which more must be open.
	// With fewer, the slots are needed for first attempts.
	hedgeOpenDivisor = 3
)

// newHedgeBudget returns the empty budget of early hedges.
func (p *Pool) newHedgeBudget() *budget.RetryBudget {
	return budget.NewRetryBudget(p.settings.HedgeShare, hedgeBurst)
}

// atRisk is a request in flight with the probability that it misses its objective.
type atRisk struct {
	*pending

	misses float64
}

// hedgeEarly sends second attempts of requests that are about to miss their objective.
func (p *Pool) hedgeEarly(now time.Time) Actions {
	var actions Actions
	if !p.hedgeBudget.Has() || p.waiting.len() > 0 || p.load > p.settings.BusyShare {
		return actions
	}
	risks := p.requestsAtRisk(now)
	if len(risks) == 0 {
		return actions
	}
	c := p.compare(now)
	for _, r := range p.withGain(now, &c, risks) {
		if fast, open := c.countFast(); open*hedgeOpenDivisor <= fast || !p.hedgeBudget.Has() {
			break
		}
		// The targets have changed if an earlier request of the list was granted.
		chosen := c.choose(r.pending, p.work(r.pending))
		if p.hedgeGain(now, r, chosen) < minHedgeGain || !p.allowHedge(now, r.pending, chosen) {
			continue
		}
		p.hedgeBudget.Spend()
		actions.Grants = append(actions.Grants, p.grantChosen(now, r.pending, chosen, CauseHedge+" of an answer that is probably late"))
	}
	return actions
}

// requestsAtRisk lists the requests that may be hedged and that could gain enough.
func (p *Pool) requestsAtRisk(now time.Time) []atRisk {
	var risks []atRisk
	for _, r := range p.requests {
		if len(r.attempts) != 1 || !p.mayHedge(r) || p.outlastsStop(now, r) {
			continue
		}
		first := &r.attempts[0]
		if first.ended || !first.target.isInFlight(first.sent) {
			continue
		}
		if misses := 1 - p.probabilityInTime(now, r, first); misses >= minHedgeGain {
			risks = append(risks, atRisk{pending: r, misses: misses})
		}
	}
	return risks
}

// withGain returns those that gain enough from a second attempt, the highest gain first.
func (p *Pool) withGain(now time.Time, c *comparison, risks []atRisk) []atRisk {
	gains := make(map[uint64]float64, len(risks))
	for _, r := range risks {
		gains[r.ID] = p.hedgeGain(now, r, c.choose(r.pending, p.work(r.pending)))
	}
	risks = slices.DeleteFunc(risks, func(r atRisk) bool { return gains[r.ID] < minHedgeGain })
	slices.SortFunc(risks, func(a, b atRisk) int { return cmp.Or(cmp.Compare(gains[b.ID], gains[a.ID]), cmp.Compare(a.ID, b.ID)) })
	return risks
}

// hedgeGain is the probability that a second attempt at the chosen target meets the objective
// while the first one doesn't.
func (p *Pool) hedgeGain(now time.Time, r atRisk, chosen choice) float64 {
	if chosen.target == nil || chosen.target.isSlow() {
		return 0
	}
	return p.fastSpread.probabilityWithin(r.due().Sub(now), chosen.latency) * r.misses
}

// probabilityInTime is the probability that an attempt in flight meets the objective of its
// request. The target's first report after the start shows the slowdown that it runs at.
func (p *Pool) probabilityInTime(now time.Time, r *pending, a *attempt) float64 {
	expected, spread := a.expectedLatency, p.spreadOf(a.wasSlow)
	if report := &a.target.estimate; a.slowdownAfter == 0 && report.slowdownAt.After(a.sent) {
		a.slowdownAfter = report.slowdown
	}
	if a.slowdownAfter > 0 {
		expected = max(expected, time.Duration(a.slowdownAfter*float64(p.work(r))))
	}
	age := now.Sub(a.sent)
	passed := spread.probabilityWithin(age, expected)
	inTime := spread.probabilityWithin(r.due().Sub(a.sent), expected)
	if passed >= maxPassed {
		return 0 // such an answer is probably lost
	}
	return max(inTime-passed, 0) / (1 - passed)
}
