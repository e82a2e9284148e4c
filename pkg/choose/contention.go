package choose

import (
	"math"
	"time"
)

const (
	// spreadGain is the weight of one answer in the spread, which averages about a hundred answers.
	spreadGain = 0.01
	// initialDeviation is the standard deviation in a latencySpread until it has enough samples,
	// and minDeviation its lower bound afterwards. Both are in units of the natural logarithm.
	initialDeviation = 0.4
	minDeviation     = 0.2
	// minSpreadSamples is the number of answers after which the measured spread is used.
	minSpreadSamples = 30
)

// latencySpread is the distribution of the logarithm of the ratio of measured to
// expected latency, with an EWMA of its mean and variance.
type latencySpread struct {
	mean, variance float64
	samples        int
}

func (s *latencySpread) add(latency, expected time.Duration) {
	if latency <= 0 || expected <= 0 {
		return
	}
	s.samples++
	gain := max(spreadGain, 1/float64(s.samples))
	difference := math.Log(float64(latency)/float64(expected)) - s.mean
	s.mean += gain * difference
	s.variance += gain * (difference*difference - s.variance)
}

// probabilityWithin returns the probability that an answer with the given expected latency
// comes within the time left, for a log-normal latency.
func (s *latencySpread) probabilityWithin(left, expected time.Duration) float64 {
	if left <= 0 || expected <= 0 {
		return 0
	}
	mean, deviation := 0.0, initialDeviation
	if s.samples >= minSpreadSamples {
		mean, deviation = s.mean, max(math.Sqrt(s.variance), minDeviation)
	}
	deviations := (math.Log(float64(left)/float64(expected)) - mean) / deviation
	return 0.5 * math.Erfc(-deviations/math.Sqrt2)
}

// spreadOf returns the latency spread of slow or of fast targets.
func (p *Pool) spreadOf(isSlow bool) *latencySpread {
	if isSlow {
		return &p.slowSpread
	}
	return &p.fastSpread
}

// contentionPeriod is how long slots count as contended after a request became late
// because of its queueing delay. Targets change their speed about once in that time.
const contentionPeriod = 600 * time.Millisecond

// isContended reports whether a request that could have met its objective recently became
// late, or was refused as late, because of its queueing delay.
func (p *Pool) isContended(now time.Time) bool {
	return now.Sub(p.contendedAt) < contentionPeriod
}

// updateContention marks slots as contended if a waiting request without attempts became
// late since the last call.
func (p *Pool) updateContention(now time.Time) {
	for r := range p.waiting.all {
		switch {
		case p.canMeetObjective(now, r):
			r.wasTimely = true
		case r.wasTimely:
			r.wasTimely = false
			if len(r.attempts) == 0 {
				p.contendedAt = now
			}
		}
	}
}

// minProbabilityInTime is the minimum probability of meeting the objective that a request
// needs to get a slot while slots are scarce.
const minProbabilityInTime = 0.5

// scarceTargetsDivisor defines when slots are scarce, which is while they are contended and
// no more than 1/scarceTargetsDivisor of the fast targets are open.
const scarceTargetsDivisor = 5

// countFast returns the number of fast targets and of the open ones among them.
func (c *comparison) countFast() (fast, open int) {
	for i := range c.candidates {
		if s := &c.candidates[i]; !s.isSlow() {
			fast++
			if s.open {
				open++
			}
		}
	}
	return fast, open
}

// isScarce reports whether slots are contended and few fast targets are open.
func (c *comparison) isScarce(p *Pool, now time.Time) bool {
	if !p.isContended(now) {
		return false
	}
	fast, open := c.countFast()
	return open*scarceTargetsDivisor <= fast
}

// isWorthSlot reports whether a request may use a slot of the chosen target. While slots
// are scarce, a request that would probably be late leaves the slot to others. Slots of
// slow targets are kept free in this way too, because a slow target becomes fast again
// long before it would finish such a request.
func (p *Pool) isWorthSlot(now time.Time, r *pending, c *comparison, chosen choice) bool {
	if !c.isScarce(p, now) {
		return true
	}
	return p.spreadOf(chosen.target.isSlow()).probabilityWithin(r.due().Sub(now), chosen.latency) >= minProbabilityInTime
}

// isSlow reports whether the slowdown of a target, without the effect of other requests
// there, exceeds fastSlowdown. Most answers of such a target miss their objective.
func (c *candidate) isSlow() bool {
	return c.forecast.baseSlowdown > fastSlowdown
}
