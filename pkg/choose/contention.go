package choose

import (
	"math"
	"time"
)

const (
	// spreadGain smooths what is learned of the spread over some hundred answers.
	spreadGain = 0.01
	// spreadFirst and spreadLeast are the standard deviation of the logarithm that is taken before enough is known, and at least.
	initialDeviation = 0.4
	minDeviation     = 0.2
	// spreadSamples is the number of answers after which the learned values are used.
	minSpreadSamples = 30
)

// latencySpread is how much the time that answers take varies around what was
// expected, as the logarithm of their ratio.
type latencySpread struct {
	mean, variance float64
	samples        int
}

func (s *latencySpread) add(took, expected time.Duration) {
	if took <= 0 || expected <= 0 {
		return
	}
	s.samples++
	gain := max(spreadGain, 1/float64(s.samples))
	off := math.Log(float64(took)/float64(expected)) - s.mean
	s.mean += gain * off
	s.variance += gain * (off*off - s.variance)
}

// probabilityWithin is the probability that an answer comes within a time.
func (s *latencySpread) probabilityWithin(left, expected time.Duration) float64 {
	if left <= 0 || expected <= 0 {
		return 0
	}
	mean, deviation := 0.0, initialDeviation
	if s.samples >= minSpreadSamples {
		mean, deviation = s.mean, max(math.Sqrt(s.variance), minDeviation)
	}
	off := (math.Log(float64(left)/float64(expected)) - mean) / deviation
	return 0.5 * math.Erfc(-off/math.Sqrt2)
}

// spreadOf returns the spread of answers of fast or of slow targets.
func (p *Pool) spreadOf(isSlow bool) *latencySpread {
	if isSlow {
		return &p.slowSpread
	}
	return &p.fastSpread
}

// contentionFade is how long slots count as contended after a request became late while it waited; targets change as fast.
const contentionPeriod = 600 * time.Millisecond

// isContended reports whether requests lately became late while they waited for slots.
func (p *Pool) isContended(now time.Time) bool {
	return now.Sub(p.contended) < contentionPeriod
}

// noteContention looks whether requests that could be in time have become late while they waited.
func (p *Pool) updateContention(now time.Time) {
	for r := range p.waiting.all {
		switch {
		case p.canMeetObjective(now, r):
			r.wasTimely = true
		case r.wasTimely:
			r.wasTimely = false
			if len(r.attempts) == 0 {
				p.contended = now
			}
		}
	}
}

// worthChance is the probability of an answer in time from which a request may have a slot while slots are scarce.
const minProbabilityInTime = 0.5

// scarceInverse is the part of the fast targets that must be open for slots not to be scarce.
const scarceShareInverse = 5

// isScarce reports whether slots are contended and few fast targets are open.
func (c *comparison) isScarce(p *Pool, now time.Time) bool {
	if !p.isContended(now) {
		return false
	}
	fast, open := 0, 0
	for i := range c.candidates {
		if s := &c.candidates[i]; !s.isSlow() {
			fast++
			if s.open {
				open++
			}
		}
	}
	return open*scarceShareInverse <= fast
}

// isWorthSlot reports whether a request may have a slot at a target. While slots
// are scarce, one that would be late leaves it to others: a slow target too
// will be fast again long before late work on it ends.
func (p *Pool) isWorthSlot(now time.Time, r *pending, c *comparison, chosen choice) bool {
	if !c.isScarce(p, now) {
		return true
	}
	return p.spreadOf(chosen.target.isSlow()).probabilityWithin(r.due().Sub(now), chosen.latency) >= minProbabilityInTime
}

// isSlow reports whether a target works too slowly now for most answers to be in time.
func (c *candidate) isSlow() bool {
	return c.forecast.baseSlowdown > fastSlowdown
}
