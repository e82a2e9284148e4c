package choose

import "time"

// An operator may ask that nothing more be sent to a failure domain. The load that this
// answers is that of the domain, which moves to the others within seconds, and that of its
// end, when all hosts find idle targets that may be cold.

// SetEvacuated sets the failure domains whose targets get no requests and probes. Requests
// that wait are refused if no target is left for them. Where an evacuation ends, the targets
// are taken as cold until they state otherwise.
func (p *Pool) SetEvacuated(now time.Time, domains []string) Actions {
	p.evacuated = make(map[string]bool, len(domains))
	for _, domain := range domains {
		p.evacuated[domain] = true
	}
	for _, s := range p.targets {
		wasEvacuated := s.evacuated
		s.evacuated = p.evacuated[s.FailureDomain]
		if wasEvacuated && !s.evacuated {
			p.endEvacuation(now, s)
		}
	}
	return p.dispatch(now)
}

// endEvacuation brings a target back gently, with one request at a time at first.
func (p *Pool) endEvacuation(now time.Time, s *targetState) {
	s.limit = 1
	p.assumeCold(now, now, s)
}

// Evacuated returns the number of targets that get nothing because their failure domain is
// evacuated.
func (p *Pool) Evacuated() int {
	count := 0
	for _, s := range p.targets {
		if s.evacuated {
			count++
		}
	}
	return count
}
