package choose

import (
	"slices"
	"time"
)

const (
	// lastResortTime is how long after its first statement a leaving target still gets
	// requests if the service has no other one. Targets finish what arrives by then.
	lastResortTime = time.Second
	// departureRetention is how long the departure of a target is kept that is not listed. Its
	// entry may come back after an outage, but the target ends long before.
	departureRetention = 15 * time.Minute
)

// Departure says that a target leaves. It concerns instances of the target and not its
// address or later instances with its name.
type Departure struct {
	Target string
	// StartedUntil is the latest start of an instance that leaves.
	StartedUntil time.Time
}

// departure is what the pool keeps of a Departure.
type departure struct {
	startedUntil time.Time
	// learnedAt is when this host learned of it, and listedAt when the target was last listed.
	learnedAt, listedAt time.Time
}

// TargetStartedAt returns when the listed instance of a target started, zero if that is not
// known.
func (p *Pool) TargetStartedAt(name string) time.Time {
	if s := p.find(name); s != nil {
		return s.StartedAt
	}
	return time.Time{}
}

// ObserveDeparture records that a target has said in an answer that it leaves. The attempt
// or probe was sent at the given time to an instance that started at startedAt, which is
// zero if it is not known.
func (p *Pool) ObserveDeparture(now time.Time, target string, startedAt, sent time.Time) Actions {
	if s := p.find(target); startedAt.IsZero() && s != nil && p.hasDeparted(s) {
		return Actions{}
	}
	if startedAt.IsZero() {
		startedAt = sent
	}
	if !p.recordDeparture(now, Departure{Target: target, StartedUntil: startedAt}) {
		return Actions{}
	}
	return p.dispatch(now)
}

// ReceiveDepartures applies what another host knows of leaving targets. It reports whether
// any of it was new.
func (p *Pool) ReceiveDepartures(now time.Time, departures []Departure) (Actions, bool) {
	isChanged := false
	for _, d := range departures {
		if p.recordDeparture(now, d) {
			isChanged = true
		}
	}
	if !isChanged {
		return Actions{}, false
	}
	return p.dispatch(now), true
}

// recordDeparture reports whether the departure is new. It is final for the instances that
// it concerns, whatever other hosts or the list say.
func (p *Pool) recordDeparture(now time.Time, d Departure) bool {
	known, found := p.departures[d.Target]
	if found && !d.StartedUntil.After(known.startedUntil) {
		return false
	}
	learnedAt := now
	if s := p.find(d.Target); s != nil && p.hasDeparted(s) {
		// It extends to later instances. The time as the last resort stays that of the listed one.
		learnedAt = known.learnedAt
	}
	p.departures[d.Target] = departure{startedUntil: d.StartedUntil, learnedAt: learnedAt, listedAt: now}
	p.departureChanges = append(p.departureChanges, d)
	return true
}

// TakeDepartureChanges returns the departures that are new since the last call.
func (p *Pool) TakeDepartureChanges() []Departure {
	changes := p.departureChanges
	p.departureChanges = nil
	return changes
}

// Departures returns the leaving targets that are still listed, to share them with other
// hosts. Those that were learned last come first.
func (p *Pool) Departures() []Departure {
	listed := make([]Departure, 0, len(p.departures))
	for name, d := range p.departures {
		if s := p.find(name); s != nil && d.concerns(s) {
			listed = append(listed, Departure{Target: name, StartedUntil: d.startedUntil})
		}
	}
	slices.SortFunc(listed, func(a, b Departure) int {
		return p.departures[b.Target].learnedAt.Compare(p.departures[a.Target].learnedAt)
	})
	return listed
}

// concerns reports whether the listed instance of a target is one that leaves.
func (d departure) concerns(s *targetState) bool {
	return !s.StartedAt.After(d.startedUntil)
}

// hasDeparted reports whether the listed instance of a target has said that it leaves.
func (p *Pool) hasDeparted(s *targetState) bool {
	d, found := p.departures[s.Name]
	return found && d.concerns(s)
}

// refreshDepartures sets which targets get no requests because they have said that they
// leave. While a service has only such targets, they are the last resort for a short time.
func (p *Pool) refreshDepartures(now time.Time) {
	if len(p.departures) == 0 {
		return
	}
	hasOther := slices.ContainsFunc(p.targets, func(s *targetState) bool {
		return !s.Leaving && !s.draining && !s.evacuated && !p.hasDeparted(s)
	})
	for _, s := range p.targets {
		s.departing = p.hasDeparted(s) && (hasOther || now.Sub(p.departures[s.Name].learnedAt) >= lastResortTime)
	}
	for name, d := range p.departures {
		if p.find(name) != nil {
			d.listedAt = now
			p.departures[name] = d
		} else if now.Sub(d.listedAt) > departureRetention {
			delete(p.departures, name)
		}
	}
}

// refuseWaiting refuses all waiting requests, because no target can get them.
func (p *Pool) refuseWaiting() Actions {
	var actions Actions
	for r := range p.waiting.all {
		p.waiting.remove(r.ID)
		actions.Refusals = append(actions.Refusals, Refusal{Request: r.ID, Reason: ReasonNoTarget})
	}
	return actions
}
