package limit

import "time"

const (
	// ownerShare is the part of the limit that its owner may use, and othersShare the part
	// of all other hosts together. Two owners at the same time and the other hosts send no
	// more than 1.5 times the limit.
	ownerShare  = 0.7
	othersShare = 0.1
	// maxRaise is the largest number of requests a second by which FullUse raises a limit.
	maxRaise = 2
	// ownerBurst is the number of requests that the owner may send at once after a pause.
	ownerBurst = 2
	// turnLength is the time for which a host may use its turn. It is short, so that few
	// hosts can do so at the same moment.
	turnLength = time.Second
	// maxTurnWait is the longest time until the next turn.
	maxTurnWait = 24 * time.Hour
)

// FullUse returns the limit of which the hosts use as much as perSecond while they agree on
// its owner. While they don't, they exceed 1.5 times perSecond by less than eight requests in
// a second, so it is for targets that bear such a burst.
func FullUse(perSecond float64) float64 {
	return min(perSecond/(ownerShare+othersShare), perSecond+maxRaise)
}

// Role is the part of a host in the use of a limit.
type Role struct {
	// IsOwner says that the host is the owner of the limit according to its own view.
	IsOwner bool
	// Known is the number of hosts that the host knows, itself included, and Alive is the
	// number of those that are alive.
	Known, Alive int
}

// savesTokens reports whether the host may save what it does not use. There can be many
// owners that reach only a minority of the hosts. They take turns like hosts that are not
// owners, so that they don't all use what they have saved at the same moment.
func (r Role) savesTokens() bool {
	return r.IsOwner && 2*r.Alive > r.Known
}

// Limiter decides at one host whether a request may be sent to one target. It is not safe
// for concurrent use. Without a limit in force it allows everything.
type Limiter struct {
	state State
	// isNamedInProbes is set if the target has named the limit in an answer to a probe.
	isNamedInProbes bool
	// savedTokens says whether the host saved tokens when it was last asked.
	savedTokens bool
	// tokens is the number of requests that the owner could send at refilledAt.
	tokens     float64
	refilledAt time.Time
	// turnAt is the beginning of the next turn or of the current one, if the host saves no
	// tokens; zero if it has not been drawn.
	turnAt time.Time
	// draw returns exponentially distributed random numbers with a mean of 1.
	draw func() float64
}

// New returns a limiter for a target that names no limit. Draw returns exponentially
// distributed random numbers with a mean of 1.
func New(draw func() float64) *Limiter {
	return &Limiter{draw: draw}
}

// State returns what the host knows of the limit.
func (l *Limiter) State() State {
	return l.state
}

// Observe applies what the answer to a request states, and reports whether the limit has
// changed. An answer without a limit ends it if the request was sent after the limit was
// last confirmed. Answers to earlier requests may have been delayed.
func (l *Limiter) Observe(now, sent time.Time, named Named) bool {
	switch {
	case named.PerSecond > 0:
		return l.setState(State{PerSecond: named.PerSecond, At: now})
	case !named.IsUsable() || l.state.At.IsZero() || (l.state.IsInForce() && !sent.After(l.state.At)):
		return false
	default:
		return l.setState(State{At: now})
	}
}

// ObserveProbe is like Observe for the answer to a probe. Targets need not state their
// limit in these, so an answer without one ends only a limit that was named in one.
func (l *Limiter) ObserveProbe(now, sent time.Time, named Named) bool {
	if named.PerSecond > 0 {
		l.isNamedInProbes = true
	}
	if !l.isNamedInProbes {
		return false
	}
	return l.Observe(now, sent, named)
}

// Receive applies the state of another host if it is newer than the own one. It reports
// whether the limit has changed.
func (l *Limiter) Receive(received State) bool {
	return l.state.isReplacedBy(received) && l.setState(received)
}

func (l *Limiter) setState(next State) bool {
	isChanged := next.PerSecond != l.state.PerSecond
	if !l.state.IsInForce() {
		l.tokens = 0
		l.refilledAt = next.At
		l.turnAt = time.Time{}
	}
	if !next.IsInForce() {
		l.isNamedInProbes = false
	}
	l.state = next
	return isChanged
}

// Allows reports whether a request may be sent now.
func (l *Limiter) Allows(now time.Time, role Role) bool {
	ready, _ := l.Supply(now, role)
	return !l.state.IsInForce() || ready >= 1
}

// AllowsProbe reports whether a probe may be sent now. Only the owner probes, while no
// request has used its part of the limit.
func (l *Limiter) AllowsProbe(now time.Time, role Role) bool {
	ready, _ := l.Supply(now, role)
	return !l.state.IsInForce() || (role.savesTokens() && ready >= ownerBurst)
}

// Spend counts a request or a probe that is sent now.
func (l *Limiter) Spend(now time.Time, role Role) {
	if !l.state.IsInForce() {
		return
	}
	l.update(now, role)
	if role.savesTokens() {
		l.tokens--
	} else {
		l.drawTurn(now, role)
	}
}

// Supply returns the number of requests that this host may send now, of which only whole
// ones can be sent, and how many more it may send each second. Both are zero without a limit
// in force.
func (l *Limiter) Supply(now time.Time, role Role) (ready, perSecond float64) {
	if !l.state.IsInForce() {
		return 0, 0
	}
	l.update(now, role)
	switch {
	case role.savesTokens():
		ready = l.tokens
	case !now.Before(l.turnAt):
		ready = 1
	}
	return ready, l.share(role)
}

// share is the number of requests that this host may send each second.
func (l *Limiter) share(role Role) float64 {
	known := float64(max(role.Known, 1))
	if role.IsOwner {
		return ownerShare * l.state.PerSecond * min(float64(max(role.Alive, 1))/known, 1)
	}
	return othersShare * l.state.PerSecond / known
}

// update refills the tokens, or draws the next turn if the host has missed the last one. A
// host starts without tokens when it becomes the owner.
func (l *Limiter) update(now time.Time, role Role) {
	if savesTokens := role.savesTokens(); savesTokens != l.savedTokens {
		l.savedTokens = savesTokens
		l.tokens = 0
		l.refilledAt = now
		l.turnAt = time.Time{}
	}
	if !l.savedTokens {
		if l.turnAt.IsZero() || now.Sub(l.turnAt) > turnLength {
			l.drawTurn(now, role)
		}
		return
	}
	if elapsed := now.Sub(l.refilledAt); elapsed > 0 {
		l.tokens = min(l.tokens+elapsed.Seconds()*l.share(role), ownerBurst)
		l.refilledAt = now
	}
}

// drawTurn draws the time of the next turn.
func (l *Limiter) drawTurn(now time.Time, role Role) {
	seconds := min(l.draw()/l.share(role), maxTurnWait.Seconds())
	l.turnAt = now.Add(time.Duration(seconds * float64(time.Second)))
}
