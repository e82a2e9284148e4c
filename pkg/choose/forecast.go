package choose

import (
	"time"
)

const (
	// coldSlowdown multiplies the expected slowdown of a target that has just started.
	coldSlowdown = 2
	// errorPenalty times the share of errors is the additional relative cost of a target with
	// errors. It is high because one failed request costs several good ones.
	errorPenalty = 8
	// otherDomainPenalty is the additional relative cost of a target in another failure domain, because
	// traffic between domains is billed.
	otherDomainPenalty = 0.3
	// sparePenalty is the additional relative cost of a target that another host holds. It exceeds
	// costTolerance, so that hosts do not choose the same target at the same moment.
	sparePenalty = 0.1
	// staleReportAge is the age of the slowdown above which a target counts as hardly reachable.
	// With a Settings.QuietAfter of 100 ms, a target in use is probed ten times a second by the
	// host that holds it.
	staleReportAge = 500 * time.Millisecond
	// staleReportPenalty multiplies the cost of such a target, and of one in another failure domain
	// that has not reported a slowdown although others have.
	staleReportPenalty = 4
	// overdueFactor times the expected latency is the age of an attempt above which the cost of
	// its target rises.
	overdueFactor = 2.5
	// meanSlowdownGain is the weight of one report in the mean slowdown, which averages the
	// reports of about a second.
	meanSlowdownGain = 0.02
	// workGain is the weight of one answer in the mean work of a class.
	workGain = 0.05
	// saturationMargin times n/(n-1) is the saturation slowdown above which the last of n slots
	// of a target stays unused. At n/(n-1), a target has the same throughput with n and with n-1
	// slots busy. The margin also leaves out a slot that adds little throughput.
	saturationMargin = 0.9
	// minWorkSamples is the number of answers from which the mean of the work is used.
	minWorkSamples = 20
)

// forecast is the expected performance of a target for one more request. A request runs
// at the speed that the target has when it starts.
type forecast struct {
	// slowdown is the expected latency relative to the work of the request.
	slowdown float64
	// baseSlowdown is the slowdown without the other requests at the target.
	baseSlowdown float64
	// penalty multiplies the latency in comparisons. It covers errors, overdue attempts, stale
	// reports, other failure domains and spare targets.
	penalty float64
}

// latency returns the expected latency of a request that starts now.
func (f forecast) latency(work time.Duration) time.Duration {
	return time.Duration(f.slowdown * float64(work))
}

// updateMeanSlowdown adds a reported slowdown to the mean. Zero means that the
// target reports none.
func (p *Pool) updateMeanSlowdown(slowdown float64) {
	if slowdown > 0 {
		p.slowdownReported = true
		p.meanSlowdown += meanSlowdownGain * (slowdown - p.meanSlowdown)
	}
}

// forecast returns the forecast of one more request at a target with the given
// occupancy.
func (p *Pool) forecast(now time.Time, s *targetState, occupancy int) forecast {
	f := forecast{slowdown: s.estimate.expectedSlowdown(now, p.meanSlowdown), penalty: 1}
	if now.Before(s.ColdUntil) || s.isCold(now) {
		f.slowdown *= coldSlowdown
	}
	if unreported := s.estimate.unreportedSlowdown(now); unreported > minUnreportedSlowdown {
		f.slowdown *= unreported
	}
	f.baseSlowdown = f.slowdown
	f.slowdown *= p.occupancySlowdown(s, occupancy)
	f.penalty *= 1 + errorPenalty*s.estimate.errorShare(now)
	if late := s.overdueRatio(now); late > overdueFactor {
		f.penalty *= late / overdueFactor
	}
	if p.isReportStale(now, s) {
		f.penalty *= staleReportPenalty
	}
	if now.Before(s.holdOff.advisedUntil) {
		f.penalty *= adviceFactor
	}
	if s.FailureDomain != p.settings.FailureDomain {
		f.penalty *= 1 + otherDomainPenalty
	}
	if s.Spare {
		f.penalty *= 1 + sparePenalty
	}
	return f
}

// isReportStale reports whether the slowdown of a target should be known but is not. A
// target that names a limit gets too few probes to report it often.
func (p *Pool) isReportStale(now time.Time, s *targetState) bool {
	return !s.hasLimit() && !s.isCold(now) && (s.estimate.slowdownAge(now) > staleReportAge || p.lacksReport(s))
}

// lacksReport reports whether the slowdown of a target in another failure domain is
// unknown although other targets report theirs.
func (p *Pool) lacksReport(s *targetState) bool {
	return p.slowdownReported && s.estimate.slowdownAt.IsZero() && s.FailureDomain != p.settings.FailureDomain
}

// overdueRatio is the age of the oldest attempt in flight relative to its expected
// latency.
func (s *targetState) overdueRatio(now time.Time) float64 {
	if len(s.attemptTimes) == 0 || s.estimate.oldestExpectedLatency <= 0 {
		return 0
	}
	return float64(now.Sub(s.attemptTimes[0])) / float64(s.estimate.oldestExpectedLatency)
}

// occupancySlowdown is the slowdown that the other requests at the target cause for one
// more.
func (p *Pool) occupancySlowdown(s *targetState, occupancy int) float64 {
	occupied := occupancy + 1
	slots := max(p.slots(s), 1)
	if occupied < slots {
		return 1
	}
	return max(p.saturationSlowdown, 1) * max(float64(occupied)/float64(slots), 1)
}

// slots is the number of requests that the target runs at once.
func (p *Pool) slots(s *targetState) int {
	if s.Slots > 0 {
		return s.Slots
	}
	return p.settings.Slots
}

// usefulSlots is the number of slots of a target that are used. One slot stays unused if
// using it would lower the throughput of the target or hardly raise it.
func (p *Pool) usefulSlots(s *targetState) int {
	slots := p.slots(s)
	if slots > 1 && p.isLastSlotUseless(slots) {
		return slots - 1
	}
	return slots
}

// occupancy is the number of requests at the target, as far as this host can determine
// it.
func (s *targetState) occupancy(now time.Time) int {
	return s.inFlight + max(s.estimate.remoteInFlight(now), s.foreignLoad(now))
}

// isOpen reports whether the target can start a request at once. One slot of a target
// that another host holds is left to that host, which may be about to use it, unless no
// other slot may be used.
func (p *Pool) isOpen(s *targetState, occupancy int) bool {
	maxOccupancy := p.usefulSlots(s)
	if s.inFlight > 0 {
		maxOccupancy = min(maxOccupancy, s.limit)
	}
	if s.Spare {
		maxOccupancy--
	}
	return occupancy < max(maxOccupancy, 1)
}

// movingAverage is the arithmetic mean of the first 1/workGain samples, and an EWMA with
// workGain from then on.
type movingAverage struct {
	// mean is in nanoseconds.
	mean    float64
	samples int
}

func (a *movingAverage) add(work time.Duration) {
	a.samples++
	gain := max(workGain, 1/float64(a.samples))
	a.mean += gain * (float64(work) - a.mean)
}

func (a *movingAverage) hasEnoughSamples() bool {
	return a.samples >= minWorkSamples
}

// classWork is the measured work of one class of requests. Work is the latency of a
// request at a target of slowdown 1.
type classWork struct {
	// saturated is the work at targets with all slots busy, and unsaturated at others.
	saturated, unsaturated movingAverage
	// all is used until unsaturated has enough samples.
	all movingAverage
}

func (c *classWork) add(work time.Duration, saturation saturation) {
	c.all.add(work)
	switch saturation {
	case saturated:
		c.saturated.add(work)
	case unsaturated:
		c.unsaturated.add(work)
	case partlySaturated:
	}
}

// work is the mean work at a target with free slots, zero before the first answer.
func (c *classWork) work() time.Duration {
	if c.unsaturated.hasEnoughSamples() {
		return time.Duration(c.unsaturated.mean)
	}
	return time.Duration(c.all.mean)
}

// estimatedSaturationSlowdown is the ratio of the work at saturated targets to that at
// unsaturated ones, averaged over the classes. It is 1 until a class has enough samples
// of both.
func (p *Pool) estimatedSaturationSlowdown() float64 {
	weight, sum := 0.0, 0.0
	for _, c := range p.classes {
		if c.saturated.hasEnoughSamples() && c.unsaturated.hasEnoughSamples() {
			w := float64(min(c.saturated.samples, c.unsaturated.samples))
			weight += w
			sum += w * c.saturated.mean / c.unsaturated.mean
		}
	}
	if weight == 0 {
		return 1
	}
	return sum / weight
}

// isLastSlotUseless reports whether a target with the given number of slots has a lower
// or hardly higher throughput with all of them busy than with one free.
func (p *Pool) isLastSlotUseless(slots int) bool {
	return p.saturationSlowdown > saturationMargin*float64(slots)/float64(slots-1)
}
