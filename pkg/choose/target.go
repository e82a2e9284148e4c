package choose

import (
	"math"
	"slices"
	"time"
)

const (
	// latencyDecay is how fast one slow answer stops counting against a target.
	latencyDecay = 60 * time.Millisecond
	// foreignLoadReports is how many reports in a row must show foreign load before it counts.
	foreignLoadReports = 8
	// maxReportDelay is how late a report may be without own requests counting as foreign.
	maxReportDelay = time.Second
	// foreignLoadExpiry is how long reported foreign load counts without a new report.
	foreignLoadExpiry = 500 * time.Millisecond
	// reportDecay is how fast the Reports policy forgets a report.
	reportDecay = 100 * time.Millisecond
	// errorsToEject is the number of errors in a row that eject a target.
	errorsToEject = 3
	// slowAnswersToEject is the number of slow answers in a row that eject a target.
	slowAnswersToEject = 3
	// slowEjectionDivisor keeps slowness from ejecting more than a fifth of the targets at a time.
	slowEjectionDivisor = 5
	// minEjectionTime and maxEjectionTime bound the exponential time out of use.
	minEjectionTime = time.Second
	maxEjectionTime = 30 * time.Second
)

// state is what the pool knows of one target.
type targetState struct {
	Target
	inFlight int
	// sent holds the start of each attempt in flight, oldest first.
	attemptTimes []time.Time
	// limit is the ramp of a cold target: it grows by one per answer up to the slots.
	limit int

	lastLatency time.Duration
	lastAnswer  time.Time
	lastContact time.Time

	report         Report
	reportedAt     time.Time
	foreignSamples [foreignLoadReports]int
	foreignIndex   int
	// peakInFlight and previousPeakInFlight are the most own requests in flight in this and the last lag.
	peakInFlight, previousPeakInFlight int
	peakSince                          time.Time

	errorsInRow  int
	slowInRow    int
	ejections    int
	ejectedUntil time.Time
	ejectCause   string
	onTrial      bool
	draining     bool
	lastGrant    uint64
	// removed says that the pool no longer lists the target, and touched that it is among Pool.touched.
	removed, observed bool

	estimate targetEstimate
}

func newTargetState(t Target, limit int, now time.Time) *targetState {
	return &targetState{Target: t, limit: limit, lastContact: now}
}

// foreignLoad is the load that other hosts put on the target: the smallest
// excess in the last reports over the most own requests that were in flight
// since the report may have been made. A report that is late by less than
// maxReportDelay cannot show own requests as foreign.
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

// free is the number of slots that a new request could take at once; a target
// without own requests always has one, so that wrong reports cannot starve it.
func (s *targetState) freeSlots(now time.Time, slots int) int {
	left := min(slots, s.limit) - s.inFlight - s.foreignLoad(now)
	if s.inFlight == 0 {
		return max(left, 1)
	}
	return left
}

// suspicion is the expected slowness of the target as a latency: recent
// evidence fades toward the typical latency, and an attempt that is still out counts with its age.
func (s *targetState) expectedLatency(now time.Time, typical time.Duration) time.Duration {
	expected := typical
	if !s.lastAnswer.IsZero() {
		weight := math.Exp(-float64(now.Sub(s.lastAnswer)) / float64(latencyDecay))
		expected += time.Duration(weight * float64(s.lastLatency-typical))
	}
	if len(s.attemptTimes) > 0 {
		expected = max(expected, now.Sub(s.attemptTimes[0]))
	}
	return expected
}

// reported is the load that the Reports policy sees: the last report faded with
// age, and at least the own requests.
func (s *targetState) reportedLoad(now time.Time) float64 {
	weight := math.Exp(-float64(now.Sub(s.reportedAt)) / float64(reportDecay))
	return max(weight*float64(s.report.Running+s.report.Waiting), 0) + float64(s.inFlight)
}

func (s *targetState) startAttempt(now time.Time) {
	s.inFlight++
	s.updatePeak(now)
	s.attemptTimes = append(s.attemptTimes, now)
}

// isInFlight reports whether an attempt that was sent at a time has not ended.
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

// updatePeak follows the most own requests in flight.
func (s *targetState) updatePeak(now time.Time) {
	if now.Sub(s.peakSince) > maxReportDelay {
		s.previousPeakInFlight = s.peakInFlight
		s.peakInFlight = 0
		s.peakSince = now
	}
	s.peakInFlight = max(s.peakInFlight, s.inFlight)
}

func (s *targetState) recordAnswer(now time.Time, latency, slow time.Duration, slots int) {
	s.lastLatency = latency
	s.lastAnswer = now
	s.lastContact = now
	s.errorsInRow = 0
	s.limit = min(s.limit+1, slots)
	if slow > 0 && latency > slow {
		s.slowInRow++
		return
	}
	s.slowInRow = 0
	s.onTrial = false
	s.ejections = 0
}

// eject takes the target out of use for an exponentially growing time.
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
	return !s.Leaving && !s.draining && !s.isEjected(now)
}
