package choose

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// A target that turns a request away may name a time for which it wants nothing more from
// the host that sent it. The load that this answers is a burst that fills some targets:
// requests that are tried there again and again take time from those that it could run.

const (
	// maxHoldOff is the longest time for which a target holds off a host with one answer.
	maxHoldOff = 5 * time.Minute
	// holdOffSpread is the part of the time that a target has named over which the hosts
	// spread their return, and maxHoldOffSpread bounds it.
	holdOffSpread    = 0.5
	maxHoldOffSpread = time.Second
	// adviceFactor multiplies the cost of a target that holds off another host.
	adviceFactor = 4
	// maxHoldOffText is the length to which an unusual statement is cut.
	maxHoldOffText = 64
)

// HoldOff is what one answer of a target states about the time for which it wants no
// requests and probes from this host.
type HoldOff struct {
	// For is that time, zero if none is stated or the statement is unusable.
	For time.Duration
	// Problem says why the text is unusable or was replaced by a bound, and Text is the
	// text, cut to 64 bytes. Both are empty without a problem.
	Problem, Text string
}

// ParseHoldOff parses a decimal number of seconds. An empty text states nothing. Numbers of
// more than five minutes count as five minutes. Any other text has no effect.
func ParseHoldOff(text string) HoldOff {
	text = strings.TrimSpace(text)
	if text == "" {
		return HoldOff{}
	}
	seconds, err := strconv.ParseFloat(text, 64)
	var stated HoldOff
	switch {
	case strings.Trim(text, "+-.0123456789") != "" || (err != nil && seconds == 0):
		stated.Problem = "not a decimal number of seconds"
	case seconds < 0:
		stated.Problem = "negative"
	case seconds == 0:
		stated.Problem = "zero"
	case seconds > maxHoldOff.Seconds():
		stated = HoldOff{For: maxHoldOff, Problem: "longer than five minutes"}
	default:
		return HoldOff{For: time.Duration(math.Ceil(seconds * float64(time.Second)))}
	}
	// Cloned, because the text may be part of a long header.
	stated.Text = strings.Clone(text[:min(len(text), maxHoldOffText)])
	return stated
}

// HeldOff is a target that holds off this host.
type HeldOff struct {
	Target string
	// Left is the time until the target may get requests again.
	Left time.Duration
}

// holdOff is what the pool keeps of the hold-offs of a target.
type holdOff struct {
	// statedUntil is the latest end that the target has named to this host, and until is
	// when the host returns, a random time later.
	statedUntil, until time.Time
	// startedAt is the start of the instance that named it, zero if not known.
	startedAt time.Time
	// advisedUntil is when the target may take requests of other hosts again, as they say.
	advisedUntil time.Time
}

// ObserveHoldOff records that a target wants no requests and probes from this host for a
// time from now on. startedAt is the start of the instance to which the attempt or probe
// was sent, zero if not known. It reports whether the target didn't hold off this host
// before. Of several times the one that ends last holds: answers may overtake each other,
// and the target has asked for each of them.
func (p *Pool) ObserveHoldOff(now time.Time, target string, startedAt time.Time, length time.Duration) bool {
	s := p.find(target)
	if s == nil || length <= 0 || (!startedAt.IsZero() && s.StartedAt.After(startedAt)) {
		return false
	}
	end := now.Add(min(length, maxHoldOff))
	isNew := !s.isHeldOff(now)
	if isNew || end.After(s.holdOff.statedUntil) {
		spread := min(time.Duration(holdOffSpread*float64(length)), maxHoldOffSpread)
		s.holdOff.statedUntil = end
		s.holdOff.until = end.Add(time.Duration(p.rng.Float64() * float64(spread)))
		s.holdOff.startedAt = startedAt
		// The target then gets one request at a time, until it has answered some.
		s.limit = 1
	}
	return isNew
}

// AdviseHoldOff records that a target holds off another host until a time. It is no ban,
// but makes other targets preferable under the policy Speed.
func (p *Pool) AdviseHoldOff(target string, until time.Time) {
	if s := p.find(target); s != nil && until.After(s.holdOff.advisedUntil) {
		s.holdOff.advisedUntil = until
	}
}

// HeldOff returns the targets that hold off this host.
func (p *Pool) HeldOff(now time.Time) []HeldOff {
	var held []HeldOff
	for _, s := range p.targets {
		if s.isHeldOff(now) {
			held = append(held, HeldOff{Target: s.Name, Left: s.holdOff.until.Sub(now)})
		}
	}
	return held
}

// isHeldOff reports whether the listed instance of the target wants nothing from this host.
func (s *targetState) isHeldOff(now time.Time) bool {
	if !now.Before(s.holdOff.until) {
		return false
	}
	return s.holdOff.startedAt.IsZero() || !s.StartedAt.After(s.holdOff.startedAt)
}

// HoldOffWait returns the time until the first target may get a request again, zero
// unless all that are not leaving hold off this host.
func (p *Pool) HoldOffWait(now time.Time) time.Duration {
	wait := time.Duration(0)
	for _, s := range p.targets {
		switch {
		case s.isLeaving():
		case !s.isHeldOff(now):
			return 0
		case wait == 0 || s.holdOff.until.Sub(now) < wait:
			wait = s.holdOff.until.Sub(now)
		}
	}
	return wait
}

// refuseByHoldOff refuses a request if all targets hold off this host until it would be late.
func (p *Pool) refuseByHoldOff(now time.Time, r *pending) (Refusal, bool) {
	wait := p.HoldOffWait(now)
	if !p.isLateAfter(now, wait, r) {
		return Refusal{}, false
	}
	return Refusal{Request: r.ID, Reason: ReasonHeldOff, RetryAfter: wait}, true
}

// expireByHoldOff refuses the waiting requests that would be late once a target may get
// them again.
func (p *Pool) expireByHoldOff(now time.Time) Actions {
	var actions Actions
	if p.HoldOffWait(now) == 0 {
		return actions
	}
	for r := range p.waiting.all {
		if refusal, isRefused := p.refuseByHoldOff(now, r); isRefused {
			p.waiting.remove(r.ID)
			actions.Refusals = append(actions.Refusals, refusal)
		}
	}
	return actions
}
