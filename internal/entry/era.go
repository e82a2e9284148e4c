package entry

import (
	"time"

	"gitlab.com/curranttiller/curranttiller/internal/plat"
	"gitlab.com/curranttiller/curranttiller/pkg/choose"
	"gitlab.com/curranttiller/curranttiller/pkg/event"
)

// endEra prepares for a topic of a later era of the store, which has returned from an older
// copy. Facts that the copy lacks stay in use for as long as after an outage, in which their
// writers write them again; d.mu is held.
func (d *Daemon) endEra(f *followedTopic, era uint64, now time.Time) {
	d.platLog.Warn("store has returned from an older copy; reading the topic again", "Topic", f.name, "Era", era, "EraBefore", f.topic.Era(), "Through", f.topic.Through())
	d.events.Add(event.Event{Kind: "StoreEra", Cause: f.name})
	d.counters.eras.Inc()
	f.outageRetention.Retain(now, f.topic)
	if f == d.targets {
		d.keepLeaving(now)
	}
}

// keepLeaving keeps the targets that are listed as leaving from getting requests if the copy
// lists them as in use; d.mu is held.
func (d *Daemon) keepLeaving(now time.Time) {
	for i := range d.listedHosts {
		h := &d.listedHosts[i]
		if s := d.services[h.Service]; s != nil && h.State == plat.StateLeaving {
			s.keepLeaving(now, choose.Departure{Target: h.Name, StartedUntil: h.StartedAt})
		}
	}
}

func (s *service) keepLeaving(now time.Time, departure choose.Departure) {
	if departure.StartedUntil.IsZero() {
		departure.StartedUntil = now
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	actions, _ := s.pool.ReceiveDepartures(now, []choose.Departure{departure})
	s.deliverActions(actions)
	for _, change := range s.pool.TakeDepartureChanges() {
		s.logDeparture(&change, sourceStore)
	}
}

// storeEra returns the latest era of the store that this host has read.
func (d *Daemon) storeEra() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return max(d.configuration.topic.Era(), d.targets.topic.Era())
}
