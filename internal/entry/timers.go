package entry

import (
	"time"

	"gitlab.com/curranttiller/curranttiller/pkg/event"
)

const (
	poolTick     = 20 * time.Millisecond
	probeTimeout = time.Second
)

// runTimers lets time pass in the pools and sends the probes that they want.
func (d *Daemon) runTimers() {
	ticker := time.NewTicker(poolTick)
	defer ticker.Stop()
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		for _, s := range d.holdings() {
			for _, name := range s.tick(now) {
				d.done.Go(func() { d.probe(s, name) })
			}
		}
	}
}

// holdings lists the services that this host holds; only a holder probes.
func (d *Daemon) holdings() []*service {
	d.mu.Lock()
	defer d.mu.Unlock()
	held := make([]*service, 0, len(d.services))
	for _, s := range d.services {
		if d.isHolder(s) {
			held = append(held, s)
		}
	}
	return held
}

// isHolder reports whether this host holds targets of a service; d.mu is held.
func (d *Daemon) isHolder(s *service) bool {
	for _, h := range s.holders {
		if h.Name == d.settings.Name {
			return true
		}
	}
	return false
}

func (d *Daemon) probe(s *service, name string) {
	client, address := s.transport(name)
	if address == "" {
		return
	}
	d.counters.probes.Inc()
	s.metrics.probes.Inc()
	report := client.Probe(d.ctx, address, probeTimeout)
	if report == nil {
		d.events.Add(event.Event{Kind: "ProbeFailed", Service: s.name, Target: name})
	}
	s.probed(name, report)
}
