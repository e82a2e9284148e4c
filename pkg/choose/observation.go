package choose

import (
	"math"
	"slices"
	"time"

	"gitlab.com/curranttiller/curranttiller/pkg/spec"
)

const (
	// minProbedTargets is the number of targets whose slowdown the sharing hosts together keep up
	// to date by probes while there are no requests. At least one among them is expected to be fast.
	minProbedTargets = 8
	// probedTargetsPerRequest is the number of further targets to probe for each request. A third
	// of the targets may be slow, and requests arrive in bursts.
	probedTargetsPerRequest = 3
	// probedRotationPeriod is the time until the next target replaces one of the probed ones.
	probedRotationPeriod = time.Second
	// demandDecay is the time constant with which the peak of concurrent requests decays. It can
	// be short because one probe brings the slowdown of a target up to date again.
	demandDecay = 3 * time.Second
)

// probesBySpeed returns the held targets to probe, those without a report for
// QuietAfter. If the host is likely to need only some of its targets soon, it probes only
// some of them, in rotation.
func (p *Pool) probesBySpeed(now time.Time) []string {
	least := (minProbedTargets + p.sharingHosts - 1) / max(p.sharingHosts, 1)
	probed := min(max(least, 1)+int(probedTargetsPerRequest*p.demand(now)), len(p.held))
	first := 0
	if probed < len(p.held) {
		first = int(now.Sub(p.started)/probedRotationPeriod) % len(p.held)
	}
	var names []string
	for i := range probed {
		s := p.held[(first+i)%len(p.held)]
		if s.Leaving || s.departing || s.evacuated || s.estimate.probePending || now.Sub(s.estimate.slowdownAt) < p.settings.QuietAfter || !p.limitAllowsProbe(now, s) {
			continue
		}
		s.estimate.probePending = true
		p.spendLimit(now, s)
		names = append(names, s.Name)
	}
	return names
}

// IsIdle reports whether the pool has no requests, waiting or in flight.
func (p *Pool) IsIdle() bool {
	return len(p.requests) == 0
}

// demand is the decayed peak of the number of requests in the pool.
func (p *Pool) demand(now time.Time) float64 {
	if busy := float64(len(p.requests)); busy >= p.peakRequests {
		p.peakRequests = busy
		p.peakRequestsAt = now
		return busy
	}
	decayed := p.peakRequests * math.Exp(-float64(now.Sub(p.peakRequestsAt))/float64(demandDecay))
	return max(decayed, float64(len(p.requests)))
}

// Observations returns this host's own observations of targets to share with other
// hosts. Each has the requests in flight, the last reported slowdown if this host received
// it within the given time, and the share of errors if it is at least minSharedErrorShare.
func (p *Pool) Observations(now time.Time, within time.Duration) []Observation {
	var observations []Observation
	p.observed = slices.DeleteFunc(p.observed, func(s *targetState) bool {
		s.observed = !s.removed && (s.inFlight > 0 || now.Sub(s.estimate.slowdownAt) < maxObservationAge || s.estimate.observedErrorShare(now) >= minSharedErrorShare)
		return !s.observed
	})
	for _, s := range p.observed {
		observation := Observation{Target: s.Name, FailureDomain: s.FailureDomain, InFlight: s.inFlight}
		if age := now.Sub(s.estimate.slowdownAt); s.estimate.slowdownObserved && age < within {
			observation.Slowdown = s.estimate.slowdown
			observation.SlowdownAge = age
		}
		if failed := s.estimate.observedErrorShare(now); failed >= minSharedErrorShare {
			observation.FailedShare = failed
		}
		if observation.InFlight > 0 || observation.Slowdown > 0 || observation.FailedShare > 0 {
			observations = append(observations, observation)
		}
	}
	return observations
}

// maxObservationAge is how long a target stays listed for Observations after its last
// report. An older slowdown has decayed too far to be of use.
const maxObservationAge = time.Second

// ReceiveObservations stores the observations of another host. A target that they leave
// out has no requests of that host.
func (p *Pool) ReceiveObservations(now time.Time, host string, observations []Observation) Actions {
	for _, s := range p.usedByHost[host] {
		s.estimate.setRemoteInFlight(host, 0, now)
	}
	used := p.usedByHost[host][:0]
	for i := range observations {
		observation := &observations[i]
		s := p.find(observation.Target)
		if s == nil {
			continue
		}
		if observation.InFlight > 0 {
			used = append(used, s)
			s.estimate.setRemoteInFlight(host, observation.InFlight, now)
		}
		s.estimate.setSlowdown(now.Add(-observation.SlowdownAge), observation.Slowdown, false)
		s.estimate.receiveErrorShare(now, observation.FailedShare)
		p.updateMeanSlowdown(observation.Slowdown)
	}
	p.usedByHost[host] = used
	return p.dispatch(now)
}

// minSharedErrorShare is the share of errors from which hosts report it to each other.
// After one error, three answers lower the share below it.
const minSharedErrorShare = 0.3

// otherDomainPeriod is how long a host needs observations from other failure domains
// after it used a target there.
const otherDomainPeriod = time.Second

// NeedsOtherDomains reports whether the targets of the host's own failure domain are not
// enough, because a request waits or recently went to a target in another one.
func (p *Pool) NeedsOtherDomains(now time.Time) bool {
	return p.waiting.len() > 0 || now.Sub(p.otherDomainUsedAt) < otherDomainPeriod
}

// ProbeSkipped records that a target from Probes was not probed because the probe budget
// was spent. Probes returns it again.
func (p *Pool) ProbeSkipped(target string) {
	if s := p.find(target); s != nil {
		s.estimate.probePending = false
	}
}

// Probes returns the held targets that are due for a probe, because no request is in flight
// there, and the last report, answer or failed probe is older than QuietAfter. The policy
// Speed probes targets with requests in flight too, and in a pool with few requests only
// some of the targets at a time. It counts only reports of the slowdown, and returns each
// target once until Probed or ProbeSkipped is called for it.
func (p *Pool) Probes(now time.Time) []string {
	if p.settings.QuietAfter == 0 {
		return nil
	}
	if p.settings.Policy == spec.PolicySpeed {
		return p.probesBySpeed(now)
	}
	var names []string
	for _, s := range p.targets {
		if !s.Spare && !s.Leaving && !s.departing && !s.evacuated && s.inFlight == 0 && now.Sub(s.lastContact) > p.settings.QuietAfter && p.limitAllowsProbe(now, s) {
			p.spendLimit(now, s)
			names = append(names, s.Name)
		}
	}
	return names
}

// Probed records the result of a probe. A nil report means that the probe failed. Under
// policies other than Speed, a report with Unhealthy set counts as a failed probe too.
// Under Speed it does not, because the outcome of requests is better evidence.
func (p *Pool) Probed(now time.Time, target string, report *Report) Actions {
	s := p.find(target)
	if s == nil {
		return Actions{}
	}
	s.estimate.probePending = false
	p.markObserved(s)
	if report != nil && report.Unhealthy && p.settings.Policy != spec.PolicySpeed {
		report = nil
	}
	if report != nil {
		p.updateMeanSlowdown(report.Slowdown)
	}
	if report == nil {
		s.lastContact = now
		s.estimate.addError(now)
		s.errorsInRow++
		if s.errorsInRow >= errorsToEject || s.onTrial {
			p.tryEject(now, s, "failed probes")
		}
		return Actions{}
	}
	s.recordReport(now, *report)
	return p.dispatch(now)
}
