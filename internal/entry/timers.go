package entry

import (
	"time"

	"gitlab.com/curranttiller/curranttiller/pkg/event"
	"gitlab.com/curranttiller/curranttiller/pkg/spec"
)

const (
	poolTick = 20 * time.Millisecond
	// steeredIdleTick is the tick of a steered host without requests: half the time after which a target wants a probe.
	steeredIdleTick = 50 * time.Millisecond
	// unsteeredTick is the tick of a host that callers are not steered to.
	unsteeredTick = 250 * time.Millisecond
	probeTimeout  = time.Second
)

// runTimers lets time pass in the pools and sends the probes that they want.
func (d *Daemon) runTimers() {
	timer := time.NewTimer(poolTick)
	defer timer.Stop()
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-timer.C:
		}
		timer.Reset(d.tickPeriod())
		now := time.Now()
		for _, s := range d.servicesToTick() {
			for _, name := range s.tick(now) {
				d.done.Go(func() { d.probe(s, name) })
			}
		}
	}
}

// tickPeriod is longer on a host without requests, and on one that callers are not steered to.
func (d *Daemon) tickPeriod() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	period := unsteeredTick
	for _, s := range d.services {
		if !d.isHolder(s) {
			continue
		}
		if d.adapter.Store == nil || !s.isIdle() {
			return poolTick
		}
		period = steeredIdleTick
	}
	return period
}

func (s *service) isIdle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.IsIdle()
}

// servicesToTick lists the services whose pools need the time; only a holder probes.
func (d *Daemon) servicesToTick() []*service {
	d.mu.Lock()
	defer d.mu.Unlock()
	held := make([]*service, 0, len(d.services))
	for _, s := range d.services {
		if d.isHolder(s) || s.document.Policy == spec.PolicySpeed {
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
	client, address, _ := s.transport(name)
	if address == "" {
		return
	}
	d.counters.probes.Inc()
	s.metrics.probes.Inc()
	report := client.Probe(d.ctx, s.name, address, name, probeTimeout)
	if report == nil {
		d.events.Add(event.Event{Kind: "ProbeFailed", Service: s.name, Target: name})
	}
	s.probeFinished(name, report)
}
