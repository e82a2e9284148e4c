package entry

import (
	"slices"
	"time"

	"gitlab.com/curranttiller/curranttiller/pkg/event"
	"gitlab.com/curranttiller/curranttiller/pkg/facts"
)

// activateEvacuations applies which failure domains the operator wants evacuated. They stay
// in force while the store is away; d.mu is held.
func (d *Daemon) activateEvacuations(newest []facts.Fact, now time.Time) {
	domains := d.adapter.Decoder.Evacuated(newest)
	slices.Sort(domains)
	if slices.Equal(domains, d.evacuated) {
		return
	}
	for _, domain := range domains {
		if !slices.Contains(d.evacuated, domain) {
			d.platLog.Info("failure domain is evacuated", "FailureDomain", domain)
			d.events.Add(event.Event{Kind: "EvacuationBegun", Cause: domain})
		}
	}
	for _, domain := range d.evacuated {
		if !slices.Contains(domains, domain) {
			d.platLog.Info("evacuation of a failure domain has ended", "FailureDomain", domain)
			d.events.Add(event.Event{Kind: "EvacuationEnded", Cause: domain})
		}
	}
	d.evacuated = domains
	for _, s := range d.services {
		s.setEvacuated(now, domains)
	}
}

func (s *service) setEvacuated(now time.Time, domains []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deliverActions(s.pool.SetEvacuated(now, domains))
	s.announceColdChanges(now, statedInList)
}
