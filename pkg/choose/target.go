package choose

import (
	"math"
	"slices"
	"time"

	"gitlab.com/curranttiller/curranttiller/pkg/limit"
)

const (
	// latencyDecay is the time constant with which the expected latency returns from that of the
	// last attempt to the median, so that one slow answer counts only briefly.
	latencyDecay = 60 * time.Millisecond
	// foreignLoadReports is the number of consecutive reports that must show foreign load before it counts.
	foreignLoadReports = 8
	// maxReportDelay is the delay up to which a report never counts own requests as foreign load.
	maxReportDelay = time.Second
	// foreignLoadExpiry is how long foreign load counts without a new report.
	foreignLoadExpiry = 500 * time.Millisecond
	// reportDecay is the time constant with which the policy Reports discounts an old report.
	reportDecay = 100 * time.Millisecond
	// errorsToEject is the value of targetState.errorsInRow that ejects a target.
	errorsToEject = 3
	// slowAnswersToEject is the number of consecutive slow answers that eject a target.
	slowAnswersToEject = 3
	// slowEjectionDivisor stops ejection for slow answers while a fifth or more of the targets
	// are ejected.
	slowEjectionDivisor = 5
	// minEjectionTime is the length of the first ejection. It doubles with each one in succession up to maxEjectionTime.
	minEjectionTime = time.Second
	maxEjectionTime = 30 * time.Second
)

// targetState is the state of one target in the pool.
type targetState struct {
	Target
	// inFlight is the number of attempts that occupy a slot.
	inFlight int
	// attemptTimes holds the times at which the unfinished attempts were sent, oldest first.
	// Suspect attempts are included.
	attemptTimes []time.Time
	// limit is the concurrency limit. It is one when the target joins a pool in use or is
	// ejected. It falls to the number of requests in flight, but not below one, when the target
	// declines a request and doesn't report a free slot. It grows by one with each answer up to
	// the number of slots.
	limit int

	// lastLatency is the latency of the last answered or cancelled attempt, which ended at
	// lastLatencyAt. That of a cancelled attempt is at least the median.
	lastLatency   time.Duration
	lastLatencyAt time.Time
	// lastContact is the time of the last answer, report or failed probe, at first that of joining.
	lastContact time.Time

	report     Report
	reportedAt time.Time
	// foreignSamples is a ring buffer of the foreign load in the last reports.
	foreignSamples [foreignLoadReports]int
	foreignIndex   int
	// peakInFlight and previousPeakInFlight are the maximum values of inFlight in the current
	// period, which began at peakSince, and the one before. A period lasts maxReportDelay.
	peakInFlight, previousPeakInFlight int
	peakSince                          time.Time

	// errorsInRow counts the errors, failed probes included, since the last answer to a request
	// or the last ejection, and slowInRow the consecutive slow answers.
	errorsInRow int
	slowInRow   int
	// ejections counts the ejections since the last answer to a request that was not slow.
	ejections    int
	ejectedUntil time.Time
	ejectCause   string
	// onTrial is set from an ejection until the next answer to a request that is not slow.
	onTrial  bool
	draining bool
	// departing is set if the target has said that it leaves, unless it is the last resort.
	departing bool
	// evacuated is set while the failure domain of the target is evacuated.
	evacuated bool
	// lastGrant is the sequence number of the last grant to the target.
	lastGrant uint64
	// removed is set if the target is no longer in Pool.targets, observed if it is in Pool.observed.
	removed, observed bool

	estimate targetEstimate
	holdOff  holdOff
	warmUp   warmUp
	// limiter is nil until the target names a limit.
	limiter *limit.Limiter
	// rejections are the shares of answers with a client error, by class. A class without an
	// answer is missing.
	rejections map[string]*rejectionShare
}

func newTargetState(t Target, limit int, now time.Time) *targetState {
	return &targetState{Target: t, limit: limit, lastContact: now}
}

// foreignLoad is the number of requests of other hosts at the target as its reports
// show it, which is the minimum of foreignSamples. Each sample is the number of
// requests in a report less the maximum of own requests in flight over at least the
// last maxReportDelay. A report that is delayed by less cannot count own requests as
// foreign load. Without a report within foreignLoadExpiry, the foreign load is zero.
func (s *targetState) foreignLoad(now time.Time) int {
	if now.Sub(s.reportedAt) > foreignLoadExpiry {
		return 0
	}
	least := s.foreignSamples[0]
	for _, f := range s.foreignSamples {
		least = min(least, f)
	}
	return least
}

// freeSlots is the number of slots that new requests could take at once. It is at
// least one for a target without own requests, so that wrong reports cannot starve it.
func (s *targetState) freeSlots(now time.Time, slots int) int {
	left := min(slots, s.limit) - s.inFlight - s.foreignLoad(now)
	if s.inFlight == 0 {
		return max(left, 1)
	}
	return left
}

// expectedLatency decays exponentially from the latency of the last attempt to the
// median of the service. It is at least the age of the oldest unfinished attempt.
func (s *targetState) expectedLatency(now time.Time, median time.Duration) time.Duration {
	expected := median
	if !s.lastLatencyAt.IsZero() {
		weight := math.Exp(-float64(now.Sub(s.lastLatencyAt)) / float64(latencyDecay))
		expected += time.Duration(weight * float64(s.lastLatency-median))
	}
	if len(s.attemptTimes) > 0 {
		expected = max(expected, now.Sub(s.attemptTimes[0]))
	}
	return expected
}

// reportedLoad is the load that the policy Reports compares. It is the load in the
// last report, discounted by the report's age, plus the own requests in flight.
func (s *targetState) reportedLoad(now time.Time) float64 {
	weight := math.Exp(-float64(now.Sub(s.reportedAt)) / float64(reportDecay))
	return max(weight*float64(s.report.Running+s.report.Waiting), 0) + float64(s.inFlight)
}

// startAttempt counts an attempt. One whose caller sets the pace has no age.
func (s *targetState) startAttempt(now time.Time, isPaced bool) {
	s.inFlight++
	s.updatePeak(now)
	if !isPaced {
		s.attemptTimes = append(s.attemptTimes, now)
	}
}

// isInFlight reports whether the attempt that was sent at sentAt has not ended.
func (s *targetState) isInFlight(sentAt time.Time) bool {
	return slices.ContainsFunc(s.attemptTimes, sentAt.Equal)
}

func (s *targetState) finishAttempt(sentAt time.Time) {
	for i, at := range s.attemptTimes {
		if at.Equal(sentAt) {
			s.attemptTimes = append(s.attemptTimes[:i], s.attemptTimes[i+1:]...)
			return
		}
	}
}

func (s *targetState) recordReport(now time.Time, report Report) {
	s.updatePeak(now)
	s.report = report
	s.reportedAt = now
	s.lastContact = now
	s.estimate.setSlowdown(now, report.Slowdown, true)
	s.draining = report.Draining
	own := max(s.peakInFlight, s.previousPeakInFlight, s.inFlight)
	s.foreignSamples[s.foreignIndex%foreignLoadReports] = max(report.Running+report.Waiting-own, 0)
	s.foreignIndex++
}

// updatePeak tracks the maximum of inFlight over the current period.
func (s *targetState) updatePeak(now time.Time) {
	if now.Sub(s.peakSince) > maxReportDelay {
		s.previousPeakInFlight = s.peakInFlight
		s.peakInFlight = 0
		s.peakSince = now
	}
	s.peakInFlight = max(s.peakInFlight, s.inFlight)
}

// recordAnswer processes an answer, which counts as slow if its latency exceeds
// slowThreshold. The threshold is zero while the latency of the service is unknown.
func (s *targetState) recordAnswer(now time.Time, latency, slowThreshold time.Duration, slots int) {
	s.lastLatency = latency
	s.lastLatencyAt = now
	s.lastContact = now
	s.errorsInRow = 0
	if !s.isHeldOff(now) {
		s.limit = min(s.limit+1, slots)
	}
	if slowThreshold > 0 && latency > slowThreshold {
		s.slowInRow++
		return
	}
	s.slowInRow = 0
	s.onTrial = false
	s.ejections = 0
}

// eject takes the target out of use for a time that doubles with each ejection in
// succession. The target is on trial from then on, so an error before the end of the
// ejection ejects it again.
func (s *targetState) eject(now time.Time, cause string) {
	out := minEjectionTime << min(s.ejections, 5)
	s.ejectedUntil = now.Add(min(out, maxEjectionTime))
	s.ejections++
	s.ejectCause = cause
	s.errorsInRow = 0
	s.slowInRow = 0
	s.onTrial = true
	s.limit = 1
}

func (s *targetState) isEjected(now time.Time) bool {
	return now.Before(s.ejectedUntil)
}

func (s *targetState) acceptsWork(now time.Time) bool {
	return !s.isLeaving() && !s.isEjected(now) && !s.isHeldOff(now)
}

// isLeaving reports whether the target is to get no new requests because it will end or its
// failure domain is evacuated.
func (s *targetState) isLeaving() bool {
	return s.Leaving || s.draining || s.departing || s.evacuated
}
