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

// pace is what is known of how fast a target works now.
type pace struct {
	slowdown float64
	at       time.Time
	// own says that this host heard the slowdown itself.
	own     bool
	errors  float64
	errorAt time.Time
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

func (p *pace) hear(at time.Time, slowdown float64, own bool) {
	if slowdown <= 0 || !at.After(p.at) {
		return
	}
	p.slowdown = slowdown
	p.at = at
	p.own = own
}

// certain is the slowdown at a start now, zero if what was heard is too old to
// learn from; a target that says nothing counts as usual.
func (p *pace) freshSlowdown(now time.Time) float64 {
	switch {
	case p.slowdown == 0:
		return 1
	case now.Sub(p.at) > freshSlowdownAge:
		return 0
	default:
		return p.slowdown
	}
}

// certainAge is the age up to which a reported slowdown says at what speed a request starts.
const freshSlowdownAge = 80 * time.Millisecond

// age is how old the slowdown is; zero if nothing was heard.
func (p *pace) age(now time.Time) time.Duration {
	if p.at.IsZero() {
		return 0
	}
	return now.Sub(p.at)
}

// expected is the slowdown to expect now: what was last heard, fading to the usual one.
func (p *pace) expected(now time.Time, usual float64) float64 {
	if p.slowdown == 0 {
		return usual
	}
	weight := math.Exp(-float64(now.Sub(p.at)) / float64(slowdownDecay))
	return usual + weight*(p.slowdown-usual)
}

func (p *pace) failed(now time.Time) {
	share := p.observedErrorShare(now)
	p.errors = share + errorGain*(1-share)
	p.errorAt = now
}

// succeeded takes an answer, which counts for more than what others warn of.
func (p *pace) addSuccess(now time.Time) {
	p.errors = p.observedErrorShare(now) * errorRetention
	p.errorAt = now
	p.remoteErrors = p.faded(now, p.remoteErrors, p.remoteErrorsAt) * errorRetention
	p.remoteErrorsAt = now
}

// hearErrors takes the share of errors that another host warns of.
func (p *pace) receiveErrorShare(now time.Time, share float64) {
	if share > p.faded(now, p.remoteErrors, p.remoteErrorsAt) {
		p.remoteErrors = share
		p.remoteErrorsAt = now
	}
}

// ownErrors is the share of errors that this host saw itself.
func (p *pace) observedErrorShare(now time.Time) float64 {
	return p.faded(now, p.errors, p.errorAt)
}

// errorShare is the share of errors to expect.
func (p *pace) errorShare(now time.Time) float64 {
	return max(p.observedErrorShare(now), p.faded(now, p.remoteErrors, p.remoteErrorsAt))
}

func (p *pace) faded(now time.Time, share float64, at time.Time) float64 {
	if share == 0 {
		return 0
	}
	return share * math.Exp(-float64(now.Sub(at))/float64(errorDecay))
}

// lag takes the ratio of a latency to the expected one.
func (p *pace) lag(now time.Time, ratio float64) {
	known := p.unreportedSlowdown(now)
	p.unreported = known + unreportedSlowdownGain*(min(ratio, maxLatencyRatio)-known)
	p.unreportedAt = now
}

// dragged is the drag, which tends back to one.
func (p *pace) unreportedSlowdown(now time.Time) float64 {
	if p.unreported == 0 {
		return 1
	}
	weight := math.Exp(-float64(now.Sub(p.unreportedAt)) / float64(unreportedSlowdownDecay))
	return 1 + weight*(p.unreported-1)
}

// remoteInFlight is the number of requests that other hosts have at the target.
func (p *pace) remoteInFlight(now time.Time) int {
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
func (p *pace) setRemoteInFlight(host string, inFlight int, at time.Time) {
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
