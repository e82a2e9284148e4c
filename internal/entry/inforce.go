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

// putInForce decodes a topic and acts on it; d.mu is held.
func (d *Daemon) putInForce(f *followed, now time.Time) {
	switch f.name {
	case TopicConfiguration:
		d.takeConfiguration(f.topic.Facts(), now)
	case TopicTargets:
		d.takeTargets(f.lapse.Keep(now, f.topic.Facts()), now)
	}
}

// takeConfiguration puts a newer configuration in force; d.mu is held.
func (d *Daemon) takeConfiguration(newest []facts.Fact, now time.Time) {
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
		d.takeDocument(&documents[i], routes, now)
	}
	d.platLog.Info("configuration in force", "Version", routes.Version(), "Services", len(documents))
	d.events.Add(event.Event{Kind: "ConfigurationInForce"})
	d.recomputeHolding(d.aliveHosts(now))
	d.becomeReadyByFacts()
}

// takeDocument puts the document of a service in force; d.mu is held.
func (d *Daemon) takeDocument(document *spec.Document, routes *table.Table, now time.Time) {
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

// takeTargets replaces the targets; d.mu is held.
func (d *Daemon) takeTargets(newest []facts.Fact, now time.Time) {
	hosts, problems := d.adapter.Decoder.Targets(newest)
	for _, problem := range problems {
		d.counters.hostRowsMalformed.Inc()
		d.platLog.Debug("entry of a target is malformed and names none", "Error", problem.Error())
	}
	d.noteTargets(hosts)
	d.hosts = hosts
	d.recomputeHolding(d.aliveHosts(now))
	d.becomeReadyByFacts()
}

// targetsLogged bounds the lines about targets that changed at the same time; of hundreds that start together only the number is logged.
const targetsLogged = 20

// noteTargets logs the targets that joined, left or changed their state; d.mu is held.
func (d *Daemon) noteTargets(hosts []plat.Host) {
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
		if changed++; changed <= targetsLogged {
			d.platLog.Info("target listed", "Target", h.Name, "Service", h.Service, "Address", h.Address, "State", h.State)
		}
	}
	gone := 0
	for name := range before {
		if gone++; gone <= targetsLogged {
			d.platLog.Info("target gone from the list", "Target", name)
		}
	}
	if changed > targetsLogged || gone > targetsLogged {
		d.platLog.Info("many targets changed", "Listed", changed, "Gone", gone, "Targets", len(hosts))
	}
}

// becomeReadyByFacts lets a host serve that knows the configuration and the targets; d.mu is held.
func (d *Daemon) becomeReadyByFacts() {
	if d.ready || d.routes == nil || !d.targets.topic.IsKnown() {
		return
	}
	d.markReady("configuration and targets are known")
}

// joinByFacts lets a host join the others once it has read the topics. Before
// the first configuration nobody can serve, and hosts that have joined hear of it from one reader; d.mu is held.
func (d *Daemon) joinByFacts() {
	if d.configuration.topic.IsKnown() && d.targets.topic.IsKnown() {
		d.knownOnce.Do(func() { close(d.known) })
	}
}

// runLapses drops the entries that lapsed in an outage and did not come back.
func (d *Daemon) runLapses() {
	ticker := time.NewTicker(lapseGrace / 10)
	defer ticker.Stop()
	for {
		select {
		case <-d.ctx.Done():
			return
		case now := <-ticker.C:
			d.mu.Lock()
			if d.targets.lapse.IsOver(now) {
				d.putInForce(d.targets, now)
			}
			d.mu.Unlock()
		}
	}
}
