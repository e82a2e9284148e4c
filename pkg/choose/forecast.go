package choose

import (
	"time"
)

const (
	// coldFactor is what a target that has just started is expected to add.
	coldSlowdown = 2
	// errorFactor weighs the share of errors of a target: a failed request costs several good ones.
	errorPenalty = 8
	// farFactor is the relative cost of a target in another failure domain, whose bytes are paid for.
	otherDomainPenalty = 0.3
	// spareFactor is the relative cost of a target that another host holds; it keeps hosts from choosing the same one at the same moment, and is above what counts as alike.
	sparePenalty = 0.1
	// unheardAge is how long a target that tells its speed may be silent before it counts as hardly reachable; some host asks it ten times a second.
	staleReportAge     = 500 * time.Millisecond
	staleReportPenalty = 4
	// overdueFactor is how many times the expected latency an attempt may be out before its target counts as slower.
	overdueFactor = 2.5
	// usualGain smooths the speed over the reports of a second or so.
	usualSlowdownGain = 0.02
	// fullGain smooths what work takes at full and at other targets, and fullMargin is the part of the loss in throughput from which full targets are avoided.
	workGain         = 0.05
	saturationMargin = 0.9
	// fullSamples is how many answers of full targets must have been seen.
	minWorkSamples = 20
)

// forecast is what is expected of a target. A request is worked on at the speed
// that the target has when it starts.
type forecast struct {
	// slowdown is how many times the usual time work takes.
	slowdown float64
	// baseSlowdown is the slowdown without the other requests at the target.
	baseSlowdown float64
	// penalty compares targets beyond their latency: errors, doubts and the price of bytes.
	penalty float64
}

// latency is the expected time of work that starts now.
func (f forecast) latency(work time.Duration) time.Duration {
	return time.Duration(f.slowdown * float64(work))
}

// noteSlowdown takes what a target said into what is usual.
func (p *Pool) updateUsualSlowdown(slowdown float64) {
	if slowdown > 0 {
		p.slowdownReported = true
		p.usual += usualSlowdownGain * (slowdown - p.usual)
	}
}

// forecast returns what is expected of a target for one more request beside
// those that occupy it.
func (p *Pool) forecast(now time.Time, s *state, occupancy int) forecast {
	f := forecast{slowdown: s.pace.expectedSlowdown(now, p.usual), penalty: 1}
	if now.Before(s.ColdUntil) {
		f.slowdown *= coldSlowdown
	}
	if unreported := s.pace.unreportedSlowdown(now); unreported > minUnreportedSlowdown {
		f.slowdown *= unreported
	}
	f.baseSlowdown = f.slowdown
	f.slowdown *= p.occupancySlowdown(s, occupancy)
	f.penalty *= 1 + errorPenalty*s.pace.errorShare(now)
	if late := s.overdueRatio(now); late > overdueFactor {
		f.penalty *= late / overdueFactor
	}
	if s.pace.reportAge(now) > staleReportAge || p.lacksReport(s) {
		f.penalty *= staleReportPenalty
	}
	if s.FailureDomain != p.settings.FailureDomain {
		f.penalty *= 1 + otherDomainPenalty
	}
	if s.Spare {
		f.penalty *= 1 + sparePenalty
	}
	return f
}

// isUntold reports whether nobody has told the speed of a target in another
// failure domain, though targets tell theirs.
func (p *Pool) lacksReport(s *state) bool {
	return p.slowdownReported && s.pace.reportedAt.IsZero() && s.FailureDomain != p.settings.FailureDomain
}

// overdueRatio is how many times its expected latency the oldest attempt at the target has been out.
func (s *state) overdueRatio(now time.Time) float64 {
	if len(s.sent) == 0 || s.pace.oldestExpectedLatency <= 0 {
		return 0
	}
	return float64(now.Sub(s.sent[0])) / float64(s.pace.oldestExpectedLatency)
}

// occupancySlowdown is what the other requests at the target add to one more.
func (p *Pool) occupancySlowdown(s *state, occupancy int) float64 {
	occupied := occupancy + 1
	slots := max(p.slots(s), 1)
	if occupied < slots {
		return 1
	}
	return max(p.full, 1) * max(float64(occupied)/float64(slots), 1)
}

// slots is the number of requests that the target works on at once.
func (p *Pool) slots(s *state) int {
	if s.Slots > 0 {
		return s.Slots
	}
	return p.settings.Slots
}

// usefulSlots is how many requests a target is given at once: all its slots,
// unless it turns out less work with all of them than with one fewer.
func (p *Pool) usefulSlots(s *state) int {
	slots := p.slots(s)
	if slots > 1 && p.lastSlotReducesThroughput(slots) {
		return slots - 1
	}
	return slots
}

// occupancy is the number of requests at the target, as far as it is known.
func (s *state) occupancy(now time.Time) int {
	return s.inFlight + max(s.pace.remoteInFlight(now), s.foreignLoad(now))
}

// isOpen reports whether the target can start a request at once. One slot of a
// target that another host holds is left to its holder, which may be about to use it.
func (p *Pool) isOpen(s *state, occupancy int) bool {
	most := p.usefulSlots(s)
	if s.inFlight > 0 {
		most = min(most, s.limit)
	}
	if s.Spare {
		most--
	}
	return occupancy < max(most, 1)
}

// average is an exponentially smoothed work.
type average struct {
	mean    float64
	samples int
}

func (a *average) add(work time.Duration) {
	a.samples++
	gain := max(workGain, 1/float64(a.samples))
	a.mean += gain * (float64(work) - a.mean)
}

func (a *average) hasEnoughSamples() bool {
	return a.samples >= minWorkSamples
}

// class is what is known of the work of one class of requests.
type class struct {
	// saturated is the work at targets with all slots busy, and unsaturated at others.
	saturated, unsaturated average
	// all stands in until enough is known of part.
	all average
}

func (c *class) add(work time.Duration, saturation saturation) {
	c.all.add(work)
	switch saturation {
	case saturated:
		c.saturated.add(work)
	case unsaturated:
		c.unsaturated.add(work)
	case partlySaturated:
	}
}

// work is what a request takes at the usual speed of a target with slots free; zero if nothing is known.
func (c *class) work() time.Duration {
	if c.unsaturated.hasEnoughSamples() {
		return time.Duration(c.unsaturated.mean)
	}
	return time.Duration(c.all.mean)
}

// fullRatio is how many times as long work takes at targets with all slots busy.
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

// slowsWhenFull reports whether the last of a number of slots costs more than it brings.
func (p *Pool) lastSlotReducesThroughput(slots int) bool {
	return p.full > saturationMargin*float64(slots)/float64(slots-1)
}
