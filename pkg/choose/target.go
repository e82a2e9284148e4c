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
type state struct {
	Target
	inFlight int
	// sent holds the start of each attempt in flight, oldest first.
	sent []time.Time
	// limit is the ramp of a cold target: it grows by one per answer up to the slots.
	limit int

	lastLatency time.Duration
	lastAnswer  time.Time
	heard       time.Time

	report       Report
	reportedAt   time.Time
	foreign      [foreignLoadReports]int
	foreignIndex int
	// peakInFlight and previousPeakInFlight are the most own requests in flight in this and the last lag.
	peakInFlight, previousPeakInFlight int
	peakSince                          time.Time

	errorsInRow  int
	slowInRow    int
	ejections    int
	ejectedUntil time.Time
	ejectCause   string
	trial        bool
	draining     bool
	used         uint64
	// removed says that the pool no longer lists the target, and touched that it is among Pool.touched.
	removed, touched bool

	pace targetEstimate
}

func newTargetState(t Target, limit int, now time.Time) *state {
	return &state{Target: t, limit: limit, heard: now}
}

// foreignLoad is the load that other hosts put on the target: the smallest
// excess in the last reports over the most own requests that were in flight
// since the report may have been made. A report that is late by less than
// maxReportDelay cannot show own requests as foreign.
func (s *state) foreignLoad(now time.Time) int {
	if now.Sub(s.reportedAt) > foreignLoadExpiry {
		return 0
	}
	least := s.foreign[0]
	for _, f := range s.foreign {
		least = min(least, f)
	}
	return least
}

// free is the number of slots that a new request could take at once; a target
// without own requests always has one, so that wrong reports cannot starve it.
func (s *state) free(now time.Time, slots int) int {
	left := min(slots, s.limit) - s.inFlight - s.foreignLoad(now)
	if s.inFlight == 0 {
		return max(left, 1)
	}
	return left
}

// suspicion is the expected slowness of the target as a latency: recent
// evidence fades toward the typical latency, and an attempt that is still out counts with its age.
func (s *state) suspicion(now time.Time, typical time.Duration) time.Duration {
	expected := typical
	if !s.lastAnswer.IsZero() {
		weight := math.Exp(-float64(now.Sub(s.lastAnswer)) / float64(latencyDecay))
		expected += time.Duration(weight * float64(s.lastLatency-typical))
	}
	if len(s.sent) > 0 {
		expected = max(expected, now.Sub(s.sent[0]))
	}
	return expected
}

// reported is the load that the Reports policy sees: the last report faded with
// age, and at least the own requests.
func (s *state) reported(now time.Time) float64 {
	weight := math.Exp(-float64(now.Sub(s.reportedAt)) / float64(reportDecay))
	return max(weight*float64(s.report.Running+s.report.Waiting), 0) + float64(s.inFlight)
}

func (s *state) start(now time.Time) {
	s.inFlight++
	s.updatePeak(now)
	s.sent = append(s.sent, now)
}

// isInFlight reports whether an attempt that was sent at a time has not ended.
func (s *state) isInFlight(sentAt time.Time) bool {
	return slices.ContainsFunc(s.sent, sentAt.Equal)
}

func (s *state) end(sentAt time.Time) {
	for i, at := range s.sent {
		if at.Equal(sentAt) {
			s.sent = append(s.sent[:i], s.sent[i+1:]...)
			return
		}
	}
}

func (s *state) hear(now time.Time, report Report) {
	s.updatePeak(now)
	s.report = report
	s.reportedAt = now
	s.heard = now
	s.pace.addReport(now, report.Slowdown, true)
	s.draining = report.Draining
	own := max(s.peakInFlight, s.previousPeakInFlight, s.inFlight)
	s.foreign[s.foreignIndex%foreignLoadReports] = max(report.Running+report.Waiting-own, 0)
	s.foreignIndex++
}

// updatePeak follows the most own requests in flight.
func (s *state) updatePeak(now time.Time) {
	if now.Sub(s.peakSince) > maxReportDelay {
		s.previousPeakInFlight = s.peakInFlight
		s.peakInFlight = 0
		s.peakSince = now
	}
	s.peakInFlight = max(s.peakInFlight, s.inFlight)
}

func (s *state) answered(now time.Time, latency, slow time.Duration, slots int) {
	s.lastLatency = latency
	s.lastAnswer = now
	s.heard = now
	s.errorsInRow = 0
	s.limit = min(s.limit+1, slots)
	if slow > 0 && latency > slow {
		s.slowInRow++
		return
	}
	s.slowInRow = 0
	s.trial = false
	s.ejections = 0
}

// eject takes the target out of use for an exponentially growing time.
func (s *state) eject(now time.Time, cause string) {
	out := minEjectionTime << min(s.ejections, 5)
	s.ejectedUntil = now.Add(min(out, maxEjectionTime))
	s.ejections++
	s.ejectCause = cause
	s.errorsInRow = 0
	s.slowInRow = 0
	s.trial = true
	s.limit = 1
}

func (s *state) isEjected(now time.Time) bool {
	return now.Before(s.ejectedUntil)
}

func (s *state) acceptsWork(now time.Time) bool {
	return !s.Leaving && !s.draining && !s.isEjected(now)
}
