package choose

import (
	"math"
	"time"
)

const (
	// slowdownDecay is the time constant with which a reported slowdown returns to the mean one.
	// Other load on shared machines changes several times a second.
	slowdownDecay = 250 * time.Millisecond
	// errorDecay is the time constant with which a target's share of errors decays.
	errorDecay = 3 * time.Second
	// errorGain is the weight of one error in the share of errors. One answer multiplies the share
	// by errorRetention.
	errorGain      = 0.5
	errorRetention = 0.8
	// unreportedSlowdownDecay is the time constant with which the unreported slowdown returns to 1.
	unreportedSlowdownDecay = 3 * time.Second
	// unreportedSlowdownGain is the weight of one answer in the unreported slowdown.
	unreportedSlowdownGain = 0.3
	// minUnreportedSlowdown is the unreported slowdown from which a target counts as slower than
	// it reports. Smaller values are within the variation of the work.
	minUnreportedSlowdown = 1.6
	// maxLatencyRatio limits the effect of one answer on the unreported slowdown.
	maxLatencyRatio = 20
	// remoteLoadExpiry is how long the in-flight count of another host stays valid.
	remoteLoadExpiry = 400 * time.Millisecond
)

// targetEstimate is the estimated performance of a target from its reports, the outcomes
// of attempts and the observations of other hosts.
type targetEstimate struct {
	// slowdown is the last one that was reported; zero if the target reports none. slowdownAt is
	// the time of that report.
	slowdown   float64
	slowdownAt time.Time
	// slowdownObserved is set if this host received that report itself, not from another host.
	slowdownObserved bool
	// observedErrors is the share of errors, at observedErrorsAt, that this host has observed
	// itself. Failed probes raise it, but successful ones don't lower it.
	observedErrors   float64
	observedErrorsAt time.Time
	// remoteErrors is the share of errors, at remoteErrorsAt, that another host has reported and
	// this host's own answers have lowered since.
	remoteErrors   float64
	remoteErrorsAt time.Time
	// unreported is the EWMA, at unreportedAt, of the ratio of measured latency to the latency
	// expected from the reported slowdown. Zero stands for no sample.
	unreported   float64
	unreportedAt time.Time
	probePending bool
	// oldestExpectedLatency is the expected latency of the last attempt that this host sent while
	// it had no other in flight at the target. It approximates that of the oldest attempt.
	oldestExpectedLatency time.Duration
	remote                []remoteLoad
}

// remoteLoad is the number of requests that another host has at the target, by that host's
// own observation.
type remoteLoad struct {
	host     string
	inFlight int
	at       time.Time
}

// setSlowdown stores the slowdown of a report unless a newer one is stored.
func (e *targetEstimate) setSlowdown(at time.Time, slowdown float64, observed bool) {
	if slowdown <= 0 || !at.After(e.slowdownAt) {
		return
	}
	e.slowdown = slowdown
	e.slowdownAt = at
	e.slowdownObserved = observed
}

// freshSlowdown is the slowdown of an attempt that starts now, zero if the last report
// is older than freshSlowdownAge. It is 1 for a target that reports no slowdown.
func (e *targetEstimate) freshSlowdown(now time.Time) float64 {
	switch {
	case e.slowdown == 0:
		return 1
	case now.Sub(e.slowdownAt) > freshSlowdownAge:
		return 0
	default:
		return e.slowdown
	}
}

// freshSlowdownAge is the age up to which a reported slowdown holds for an attempt that
// starts now.
const freshSlowdownAge = 80 * time.Millisecond

// slowdownAge is the time since the report of the slowdown, zero without a report.
func (e *targetEstimate) slowdownAge(now time.Time) time.Duration {
	if e.slowdownAt.IsZero() {
		return 0
	}
	return now.Sub(e.slowdownAt)
}

// expectedSlowdown is the last reported slowdown, which decays to the mean one of the service.
func (e *targetEstimate) expectedSlowdown(now time.Time, mean float64) float64 {
	if e.slowdown == 0 {
		return mean
	}
	weight := math.Exp(-float64(now.Sub(e.slowdownAt)) / float64(slowdownDecay))
	return mean + weight*(e.slowdown-mean)
}

func (e *targetEstimate) addError(now time.Time) {
	share := e.observedErrorShare(now)
	e.observedErrors = share + errorGain*(1-share)
	e.observedErrorsAt = now
}

// addSuccess lowers the share of errors for an answer. It lowers the share reported by
// other hosts too, because this host's own answers are better evidence.
func (e *targetEstimate) addSuccess(now time.Time) {
	e.observedErrors = e.observedErrorShare(now) * errorRetention
	e.observedErrorsAt = now
	e.remoteErrors = e.decayedErrors(now, e.remoteErrors, e.remoteErrorsAt) * errorRetention
	e.remoteErrorsAt = now
}

// receiveErrorShare stores the share of errors that another host reports if it exceeds
// the current one.
func (e *targetEstimate) receiveErrorShare(now time.Time, share float64) {
	if share > e.decayedErrors(now, e.remoteErrors, e.remoteErrorsAt) {
		e.remoteErrors = share
		e.remoteErrorsAt = now
	}
}

// observedErrorShare is the decayed share of errors that this host has observed itself.
func (e *targetEstimate) observedErrorShare(now time.Time) float64 {
	return e.decayedErrors(now, e.observedErrors, e.observedErrorsAt)
}

// errorShare is the expected share of errors, the higher one of this host's and the
// other hosts'.
func (e *targetEstimate) errorShare(now time.Time) float64 {
	return max(e.observedErrorShare(now), e.decayedErrors(now, e.remoteErrors, e.remoteErrorsAt))
}

func (e *targetEstimate) decayedErrors(now time.Time, share float64, at time.Time) float64 {
	if share == 0 {
		return 0
	}
	return share * math.Exp(-float64(now.Sub(at))/float64(errorDecay))
}

// addLatencyRatio adds the ratio of a measured latency to the expected one to the
// unreported slowdown.
func (e *targetEstimate) addLatencyRatio(now time.Time, ratio float64) {
	previous := e.unreportedSlowdown(now)
	e.unreported = previous + unreportedSlowdownGain*(min(ratio, maxLatencyRatio)-previous)
	e.unreportedAt = now
}

// unreportedSlowdown is the factor by which the target is slower than it reports. It
// decays to 1.
func (e *targetEstimate) unreportedSlowdown(now time.Time) float64 {
	if e.unreported == 0 {
		return 1
	}
	weight := math.Exp(-float64(now.Sub(e.unreportedAt)) / float64(unreportedSlowdownDecay))
	return 1 + weight*(e.unreported-1)
}

// remoteInFlight is the number of requests that other hosts have at the target, by their
// own observations.
func (e *targetEstimate) remoteInFlight(now time.Time) int {
	total := 0
	for i := range e.remote {
		load := &e.remote[i]
		if load.inFlight > 0 && now.Sub(load.at) < remoteLoadExpiry {
			total += load.inFlight
		}
	}
	return total
}

// setRemoteInFlight stores the in-flight count of another host. A linear search is
// enough because few hosts use one target.
func (e *targetEstimate) setRemoteInFlight(host string, inFlight int, at time.Time) {
	for i := range e.remote {
		load := &e.remote[i]
		if load.host == host {
			if !at.Before(load.at) {
				load.inFlight = inFlight
				load.at = at
			}
			return
		}
	}
	if inFlight > 0 {
		e.remote = append(e.remote, remoteLoad{host: host, inFlight: inFlight, at: at})
	}
}
