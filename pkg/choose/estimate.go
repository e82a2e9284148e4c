package choose

import (
	"math"
	"time"
)

const (
	// paceFade is how fast a reported slowdown tends back to the usual one; neighbours on shared machines change several times a second.
	slowdownDecay = 250 * time.Millisecond
	// errorFade is how fast a target's share of errors is forgotten.
	errorDecay = 3 * time.Second
	// errorGain and errorRelief are how much one error or answer moves the share of errors.
	errorGain      = 0.5
	errorRetention = 0.8
	// dragFade is how fast slowness that the target does not report is forgotten.
	unreportedSlowdownDecay = 3 * time.Second
	// dragGain is the weight of one answer in the drag.
	unreportedSlowdownGain = 0.3
	// dragNotable is the drag from which a target counts as slower than it says; less is the spread of the work.
	minUnreportedSlowdown = 1.6
	maxLatencyRatio       = 20
	// remoteFade is how long the in-flight count of another host is believed.
	remoteLoadExpiry = 400 * time.Millisecond
)

// targetEstimate is what is known of how fast a target works now.
type targetEstimate struct {
	slowdown   float64
	reportedAt time.Time
	// observed says that this host heard the slowdown itself.
	observed         bool
	observedErrors   float64
	observedErrorsAt time.Time
	// warned is the share of errors that another host warned of.
	remoteErrors   float64
	remoteErrorsAt time.Time
	// drag is the smoothed ratio of latencies to what the reports let expect.
	unreported   float64
	unreportedAt time.Time
	probePending bool
	// oldestExpected is the expected latency of the oldest attempt at the target, roughly.
	oldestExpectedLatency time.Duration
	remote                []remoteLoad
}

// remoteLoad is the number of requests that another host has at the target.
type remoteLoad struct {
	host     string
	inFlight int
	at       time.Time
}

func (p *targetEstimate) addReport(at time.Time, slowdown float64, own bool) {
	if slowdown <= 0 || !at.After(p.reportedAt) {
		return
	}
	p.slowdown = slowdown
	p.reportedAt = at
	p.observed = own
}

// certain is the slowdown at a start now, zero if what was heard is too old to
// learn from; a target that says nothing counts as usual.
func (p *targetEstimate) freshSlowdown(now time.Time) float64 {
	switch {
	case p.slowdown == 0:
		return 1
	case now.Sub(p.reportedAt) > freshSlowdownAge:
		return 0
	default:
		return p.slowdown
	}
}

// certainAge is the age up to which a reported slowdown says at what speed a request starts.
const freshSlowdownAge = 80 * time.Millisecond

// reportAge is how old the slowdown is; zero if nothing was heard.
func (p *targetEstimate) reportAge(now time.Time) time.Duration {
	if p.reportedAt.IsZero() {
		return 0
	}
	return now.Sub(p.reportedAt)
}

// expectedSlowdown is the slowdown to expect now: what was last heard, fading to the usual one.
func (p *targetEstimate) expectedSlowdown(now time.Time, usual float64) float64 {
	if p.slowdown == 0 {
		return usual
	}
	weight := math.Exp(-float64(now.Sub(p.reportedAt)) / float64(slowdownDecay))
	return usual + weight*(p.slowdown-usual)
}

func (p *targetEstimate) addError(now time.Time) {
	share := p.observedErrorShare(now)
	p.observedErrors = share + errorGain*(1-share)
	p.observedErrorsAt = now
}

// succeeded takes an answer, which counts for more than what others warn of.
func (p *targetEstimate) addSuccess(now time.Time) {
	p.observedErrors = p.observedErrorShare(now) * errorRetention
	p.observedErrorsAt = now
	p.remoteErrors = p.decayedErrors(now, p.remoteErrors, p.remoteErrorsAt) * errorRetention
	p.remoteErrorsAt = now
}

// hearErrors takes the share of errors that another host warns of.
func (p *targetEstimate) receiveErrorShare(now time.Time, share float64) {
	if share > p.decayedErrors(now, p.remoteErrors, p.remoteErrorsAt) {
		p.remoteErrors = share
		p.remoteErrorsAt = now
	}
}

// ownErrors is the share of errors that this host saw itself.
func (p *targetEstimate) observedErrorShare(now time.Time) float64 {
	return p.decayedErrors(now, p.observedErrors, p.observedErrorsAt)
}

// errorShare is the share of errors to expect.
func (p *targetEstimate) errorShare(now time.Time) float64 {
	return max(p.observedErrorShare(now), p.decayedErrors(now, p.remoteErrors, p.remoteErrorsAt))
}

func (p *targetEstimate) decayedErrors(now time.Time, share float64, at time.Time) float64 {
	if share == 0 {
		return 0
	}
	return share * math.Exp(-float64(now.Sub(at))/float64(errorDecay))
}

// addLatencyRatio takes the ratio of a latency to the expected one.
func (p *targetEstimate) addLatencyRatio(now time.Time, ratio float64) {
	known := p.unreportedSlowdown(now)
	p.unreported = known + unreportedSlowdownGain*(min(ratio, maxLatencyRatio)-known)
	p.unreportedAt = now
}

// dragged is the drag, which tends back to one.
func (p *targetEstimate) unreportedSlowdown(now time.Time) float64 {
	if p.unreported == 0 {
		return 1
	}
	weight := math.Exp(-float64(now.Sub(p.unreportedAt)) / float64(unreportedSlowdownDecay))
	return 1 + weight*(p.unreported-1)
}

// remoteInFlight is the number of requests that other hosts have at the target.
func (p *targetEstimate) remoteInFlight(now time.Time) int {
	total := 0
	for i := range p.remote {
		load := &p.remote[i]
		if load.inFlight > 0 && now.Sub(load.at) < remoteLoadExpiry {
			total += load.inFlight
		}
	}
	return total
}

// setRemote takes what another host said; a few hosts use a target.
func (p *targetEstimate) setRemoteInFlight(host string, inFlight int, at time.Time) {
	for i := range p.remote {
		load := &p.remote[i]
		if load.host == host {
			if !at.Before(load.at) {
				load.inFlight = inFlight
				load.at = at
			}
			return
		}
	}
	if inFlight > 0 {
		p.remote = append(p.remote, remoteLoad{host: host, inFlight: inFlight, at: at})
	}
}
