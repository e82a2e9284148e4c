package choose

import (
	"math"
	"slices"
	"time"

	"gitlab.com/curranttiller/curranttiller/pkg/spec"
)

const (
	// freshLeast is the number of targets of whose speed the hosts that use them keep hearing without requests; of as many, one is fast.
	minFreshTargets = 8
	// freshPerRequest is how many more there are for each request at a target: a third of the targets may be slow, and requests come in clumps.
	freshTargetsPerRequest = 3
	// freshTurn is how long a target is kept fresh until the next one takes its place.
	freshRotationPeriod = time.Second
	// demandFade is how fast the most requests at once are forgotten; a target is fresh again after one probe.
	demandDecay = 3 * time.Second
)

// probesBySpeed lists the targets held here of whose speed nothing was heard
// lately, as far as requests may soon need them. A host that holds far more
// targets than it uses keeps some of them fresh, in turn.
func (p *Pool) probesBySpeed(now time.Time) []string {
	least := (minFreshTargets + p.sharingHosts - 1) / max(p.sharingHosts, 1)
	fresh := min(max(least, 1)+int(freshTargetsPerRequest*p.demand(now)), len(p.held))
	first := 0
	if fresh < len(p.held) {
		first = int(now.Sub(p.started)/freshRotationPeriod) % len(p.held)
	}
	var names []string
	for i := range fresh {
		s := p.held[(first+i)%len(p.held)]
		if s.Leaving || s.pace.probePending || now.Sub(s.pace.reportedAt) < p.settings.QuietAfter {
			continue
		}
		s.pace.probePending = true
		names = append(names, s.Name)
	}
	return names
}

// IsIdle reports whether no request is here.
func (p *Pool) IsIdle() bool {
	return len(p.requests) == 0
}

// demand is the most requests that were at targets or waiting at once, faded.
func (p *Pool) demand(now time.Time) float64 {
	if busy := float64(len(p.requests)); busy >= p.peakRequests {
		p.peakRequests = busy
		p.peakRequestsAt = now
		return busy
	}
	faded := p.peakRequests * math.Exp(-float64(now.Sub(p.peakRequestsAt))/float64(demandDecay))
	return max(faded, float64(len(p.requests)))
}

// Observations returns what this host has heard of the targets at first hand within
// a time, and where it has requests.
func (p *Pool) Observations(now time.Time, within time.Duration) []Observation {
	var seen []Observation
	p.touched = slices.DeleteFunc(p.touched, func(s *state) bool {
		s.touched = !s.removed && (s.inFlight > 0 || now.Sub(s.pace.reportedAt) < maxObservationAge || s.pace.observedErrorShare(now) >= minSharedErrorShare)
		return !s.touched
	})
	for _, s := range p.touched {
		sighting := Observation{Target: s.Name, FailureDomain: s.FailureDomain, InFlight: s.inFlight}
		if age := now.Sub(s.pace.reportedAt); s.pace.observed && age < within {
			sighting.Slowdown = s.pace.slowdown
			sighting.SlowdownAge = age
		}
		if failed := s.pace.observedErrorShare(now); failed >= minSharedErrorShare {
			sighting.FailedShare = failed
		}
		if sighting.InFlight > 0 || sighting.Slowdown > 0 || sighting.FailedShare > 0 {
			seen = append(seen, sighting)
		}
	}
	return seen
}

// touchedFor is how long what was heard of a target may be told to others; older speeds say nothing.
const maxObservationAge = time.Second

// ReceiveObservations takes what another host knows at first hand; targets that it does not name have none of its requests.
func (p *Pool) ReceiveObservations(now time.Time, host string, sightings []Observation) Actions {
	for _, s := range p.usedByHost[host] {
		s.pace.setRemoteInFlight(host, 0, now)
	}
	used := p.usedByHost[host][:0]
	for i := range sightings {
		sighting := &sightings[i]
		s := p.find(sighting.Target)
		if s == nil {
			continue
		}
		if sighting.InFlight > 0 {
			used = append(used, s)
			s.pace.setRemoteInFlight(host, sighting.InFlight, now)
		}
		s.pace.addReport(now.Add(-sighting.SlowdownAge), sighting.Slowdown, false)
		s.pace.receiveErrorShare(now, sighting.FailedShare)
		p.updateUsualSlowdown(sighting.Slowdown)
	}
	p.usedByHost[host] = used
	return p.dispatch(now)
}

// failedNotable is the share of failures from which hosts warn each other of a target; one failure among many answers is less.
const minSharedErrorShare = 0.3

// farInterest is how long a host that used targets of other failure domains wants to hear of them.
const otherDomainInterest = time.Second

// NeedsOtherDomains reports whether the targets of the own failure domain did not do
// lately: a request went to another one, or waits.
func (p *Pool) NeedsOtherDomains(now time.Time) bool {
	return p.waiting.len() > 0 || now.Sub(p.otherDomainUsedAt) < otherDomainInterest
}

// ProbeSkipped says that a wanted probe was not sent, because the measuring budget is spent.
func (p *Pool) ProbeSkipped(target string) {
	if s := p.find(target); s != nil {
		s.pace.probePending = false
	}
}

// Probes lists the targets that want a probe: quiet ones and those on trial.
func (p *Pool) Probes(now time.Time) []string {
	if p.settings.QuietAfter == 0 {
		return nil
	}
	if p.settings.Policy == spec.PolicySpeed {
		return p.probesBySpeed(now)
	}
	var names []string
	for _, s := range p.targets {
		if !s.Spare && !s.Leaving && s.inFlight == 0 && now.Sub(s.heard) > p.settings.QuietAfter {
			names = append(names, s.Name)
		}
	}
	return names
}

// Probed takes the result of a probe; nil means that it failed. By the policy
// Speed a target that calls itself unwell stays in use: requests tell whether it is.
func (p *Pool) Probed(now time.Time, target string, report *Report) Actions {
	s := p.find(target)
	if s == nil {
		return Actions{}
	}
	s.pace.probePending = false
	p.touch(s)
	if report != nil && report.Unhealthy && p.settings.Policy != spec.PolicySpeed {
		report = nil
	}
	if report != nil {
		p.updateUsualSlowdown(report.Slowdown)
	}
	if report == nil {
		s.heard = now
		s.pace.addError(now)
		s.errorsInRow++
		if s.errorsInRow >= errorsToEject || s.trial {
			p.tryEject(now, s, "failed probes")
		}
		return Actions{}
	}
	s.hear(now, *report)
	return p.dispatch(now)
}
