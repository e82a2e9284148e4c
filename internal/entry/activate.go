package entry

import (
	"reflect"
	"time"

	"gitlab.com/curranttiller/curranttiller/internal/plat"
	"gitlab.com/curranttiller/curranttiller/pkg/event"
	"gitlab.com/curranttiller/curranttiller/pkg/facts"
	"gitlab.com/curranttiller/curranttiller/pkg/spec"
	"gitlab.com/curranttiller/curranttiller/pkg/table"
)

// activate decodes a topic and acts on it; d.mu is held.
func (d *Daemon) activate(f *followedTopic, now time.Time) {
	switch f.name {
	case TopicConfiguration:
		d.activateConfiguration(f.topic.Facts(), now)
	case TopicTargets:
		d.activateTargets(f.lapse.Keep(now, f.topic.Facts()), now)
	}
}

// activateConfiguration puts a newer configuration in force; d.mu is held.
func (d *Daemon) activateConfiguration(newest []facts.Fact, now time.Time) {
	routes, documents, err := d.adapter.Decoder.Configuration(newest)
	if err != nil {
		d.platLog.Error("configuration is malformed; the last one stays in force", "Error", err.Error())
		return
	}
	if routes == nil || (d.routes != nil && routes.Version() <= d.routes.Version()) {
		return
	}
	d.routes = routes
	for i := range documents {
		d.activateDocument(&documents[i], routes, now)
	}
	d.platLog.Info("configuration in force", "Version", routes.Version(), "Services", len(documents))
	d.events.Add(event.Event{Kind: "ConfigurationInForce"})
	d.recomputeHolders(d.aliveHosts(now))
	d.becomeReadyIfActive()
}

// activateDocument puts the document of a service in force; d.mu is held.
func (d *Daemon) activateDocument(document *spec.Document, routes *table.Table, now time.Time) {
	s, found := d.services[document.Service]
	if !found {
		s = newService(d, document.Service, document)
		d.services[document.Service] = s
	} else if reflect.DeepEqual(s.document, *document) {
		s.version = routes.Version()
		return
	}
	s.setDocument(now, document, routes.Version())
}

// activateTargets replaces the targets; d.mu is held.
func (d *Daemon) activateTargets(newest []facts.Fact, now time.Time) {
	hosts, problems := d.adapter.Decoder.Targets(newest)
	for _, problem := range problems {
		d.counters.hostRowsMalformed.Inc()
		d.platLog.Debug("entry of a target is malformed and names none", "Error", problem.Error())
	}
	d.logTargetChanges(hosts)
	d.hosts = hosts
	d.recomputeHolders(d.aliveHosts(now))
	d.becomeReadyIfActive()
}

// maxTargetsLogged bounds the lines about targets that changed at the same time; of hundreds that start together only the number is logged.
const maxTargetsLogged = 20

// logTargetChanges logs the targets that joined, left or changed their state; d.mu is held.
func (d *Daemon) logTargetChanges(hosts []plat.Host) {
	if d.hosts == nil {
		d.platLog.Info("targets listed", "Targets", len(hosts))
		return
	}
	before := make(map[string]*plat.Host, len(d.hosts))
	for i := range d.hosts {
		before[d.hosts[i].Name] = &d.hosts[i]
	}
	changed := 0
	for i := range hosts {
		h := &hosts[i]
		known, found := before[h.Name]
		delete(before, h.Name)
		if found && known.State == h.State && known.Address == h.Address {
			continue
		}
		if changed++; changed <= maxTargetsLogged {
			d.platLog.Info("target listed", "Target", h.Name, "Service", h.Service, "Address", h.Address, "State", h.State)
		}
	}
	gone := 0
	for name := range before {
		if gone++; gone <= maxTargetsLogged {
			d.platLog.Info("target gone from the list", "Target", name)
		}
	}
	if changed > maxTargetsLogged || gone > maxTargetsLogged {
		d.platLog.Info("many targets changed", "Listed", changed, "Gone", gone, "Targets", len(hosts))
	}
}

// becomeReadyIfActive lets a host serve that knows the configuration and the targets; d.mu is held.
func (d *Daemon) becomeReadyIfActive() {
	if d.ready || d.routes == nil || !d.targets.topic.IsKnown() {
		return
	}
	d.markReady("configuration and targets are known")
}

// joinIfTopicsRead lets a host join the others once it has read the topics. Before
// the first configuration nobody can serve, and hosts that have joined hear of it from one reader; d.mu is held.
func (d *Daemon) joinIfTopicsRead() {
	if d.configuration.topic.IsKnown() && d.targets.topic.IsKnown() {
		d.topicsReadOnce.Do(func() { close(d.topicsRead) })
	}
}

// dropLapsedTargets drops the entries that lapsed in an outage and did not come back.
func (d *Daemon) dropLapsedTargets() {
	ticker := time.NewTicker(lapseGrace / 10)
	defer ticker.Stop()
	for {
		select {
		case <-d.ctx.Done():
			return
		case now := <-ticker.C:
			d.mu.Lock()
			if d.targets.lapse.IsOver(now) {
				d.activate(d.targets, now)
			}
			d.mu.Unlock()
		}
	}
}
