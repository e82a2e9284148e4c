package entry

import (
	"time"

	"gitlab.com/curranttiller/curranttiller/internal/target"
	"gitlab.com/curranttiller/curranttiller/pkg/event"
	"gitlab.com/curranttiller/curranttiller/pkg/spec"
)

const (
	// poolTick is the time between two calls of the pools' tick on a host that holds a service and may have requests for it.
	poolTick = 20 * time.Millisecond
	// steeredIdleTick is the same on a steered host without requests. It is half of the time without a report after which the targets of a platform with a store are probed.
	steeredIdleTick = 50 * time.Millisecond
	// nonHolderTick is the same on a host that holds no service, also if it serves some requests.
	nonHolderTick = 250 * time.Millisecond
	probeTimeout  = time.Second
)

// runTimers calls the pools' tick periodically and sends the probes that they request.
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
			s.reclaimSlots(now)
			for _, name := range s.tick(now) {
				d.done.Go(func() { d.probe(s, name) })
			}
		}
	}
}

// tickPeriod is poolTick, or longer on a host that holds no service and, with a
// store, on one whose pools are idle.
func (d *Daemon) tickPeriod() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	period := nonHolderTick
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

// servicesToTick returns the services that this host holds, and all those with the
// policy Speed. With a store all services have that policy, and a host that is not a
// holder doesn't forward their requests but serves them. Only a holder sends probes.
func (d *Daemon) servicesToTick() []*service {
	d.mu.Lock()
	defer d.mu.Unlock()
	ticked := make([]*service, 0, len(d.services))
	for _, s := range d.services {
		if d.isHolder(s) || s.document.Policy == spec.PolicySpeed {
			ticked = append(ticked, s)
		}
	}
	return ticked
}

// isHolder reports whether this host is a holder of the service; d.mu is held.
func (d *Daemon) isHolder(s *service) bool {
	for _, h := range s.holders {
		if h.Name == d.settings.Name {
			return true
		}
	}
	return false
}

// probe sends one probe to a target and reports its result to the pool.
func (d *Daemon) probe(s *service, name string) {
	client, address, _ := s.transport(name)
	startedAt := s.targetStartedAt(name)
	if address == "" {
		return
	}
	d.counters.probes.Inc()
	s.metrics.probes.Inc()
	sent := time.Now()
	result := client.Probe(d.ctx, s.name, address, name, probeTimeout, func(info target.ResponseInfo) {
		s.recordHoldOff(name, startedAt, info.HoldOff, statedInProbe)
		s.recordCold(name, sent, info.Cold)
	})
	s.recordDeparture(name, startedAt, sent, result.Departure, statedInProbe)
	if result.Limit != nil {
		s.recordStatement(name, *result.Limit, statedInProbe)
	}
	if result.Report == nil {
		d.events.Add(event.Event{Kind: "ProbeFailed", Service: s.name, Target: name})
	}
	s.probeFinished(name, sent, result.Report, result.Limit)
}
