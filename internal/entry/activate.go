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

// activate decodes the facts of a topic and replaces the routes and documents, or the
// targets, by what they say; d.mu is held.
func (d *Daemon) activate(f *followedTopic, now time.Time) {
	switch f.name {
	case TopicConfiguration:
		newest := f.topic.Facts()
		// First, so that a new service begins with the evacuations.
		d.activateEvacuations(newest, now)
		d.activateConfiguration(newest, now)
	case TopicTargets:
		d.activateTargets(f.outageRetention.AddRetained(now, f.topic.Facts()), now)
	}
}

// activateConfiguration replaces the routes and the services' documents if the
// configuration is newer than the active one. The active one stays if the new one
// is malformed; d.mu is held.
func (d *Daemon) activateConfiguration(newest []facts.Fact, now time.Time) {
	routes, documents, err := d.adapter.Decoder.Configuration(newest)
	if err != nil {
		d.platLog.Error("configuration is malformed; the last one stays in force", "Error", err.Error())
		return
	}
	if routes == nil || (d.routes != nil && routes.Version() <= d.routes.Version()) {
		return
	}
	d.replaceRoutes(routes)
	for i := range documents {
		d.activateDocument(&documents[i], routes, now)
	}
	d.platLog.Info("configuration in force", "Version", routes.Version(), "Services", len(documents))
	d.events.Add(event.Event{Kind: "ConfigurationInForce"})
	d.recomputeHolders(d.aliveHosts(now))
	d.becomeReadyIfActive()
}

// activateDocument replaces the document of a service, and creates the service if this
// host does not have it yet; d.mu is held.
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

// activateTargets replaces the list of targets and skips malformed records; d.mu is held.
func (d *Daemon) activateTargets(newest []facts.Fact, now time.Time) {
	hosts, problems := d.adapter.Decoder.Targets(newest)
	for _, problem := range problems {
		d.counters.hostRowsMalformed.Inc()
		d.platLog.Debug("record of a target is malformed; ignoring it", "Error", problem.Error())
	}
	d.logTargetChanges(hosts)
	d.listedHosts = hosts
	d.recomputeHolders(d.aliveHosts(now))
	d.becomeReadyIfActive()
}

// maxTargetsLogged is how many added or changed targets, and how many removed ones, get a log line each when the list changes; if there are more, one further line gives the numbers.
const maxTargetsLogged = 20

// logTargetChanges logs the targets that were added or removed, or whose state or
// address changed; d.mu is held.
func (d *Daemon) logTargetChanges(hosts []plat.Host) {
	if d.listedHosts == nil {
		d.platLog.Info("targets listed", "Targets", len(hosts))
		return
	}
	before := make(map[string]*plat.Host, len(d.listedHosts))
	for i := range d.listedHosts {
		before[d.listedHosts[i].Name] = &d.listedHosts[i]
	}
	changed := 0
	for i := range hosts {
		h := &hosts[i]
		previous, found := before[h.Name]
		delete(before, h.Name)
		if found && previous.State == h.State && previous.Address == h.Address {
			continue
		}
		if changed++; changed <= maxTargetsLogged {
			d.platLog.Info("target added or changed", "Target", h.Name, "Service", h.Service, "Address", h.Address, "State", h.State)
		}
	}
	gone := 0
	for name := range before {
		if gone++; gone <= maxTargetsLogged {
			d.platLog.Info("target gone from the list", "Target", name)
		}
	}
	if changed > maxTargetsLogged || gone > maxTargetsLogged {
		d.platLog.Info("many targets changed", "Changed", changed, "Gone", gone, "Targets", len(hosts))
	}
}

// becomeReadyIfActive marks the host as ready to serve once a configuration is
// active and the targets have been read; d.mu is held.
func (d *Daemon) becomeReadyIfActive() {
	if d.ready || d.routes == nil || !d.targets.topic.IsLoaded() {
		return
	}
	d.markReady("read the configuration and the targets")
}

// joinIfTopicsRead lets the host join the membership once it has read both topics,
// even if there is no configuration yet. Then no host can serve requests, but the
// hosts that have joined share the reads, so that only one of them has to read the
// store until there is a configuration; d.mu is held.
func (d *Daemon) joinIfTopicsRead() {
	if d.configuration.topic.IsLoaded() && d.targets.topic.IsLoaded() {
		d.topicsReadOnce.Do(func() { close(d.topicsRead) })
	}
}

// dropLapsedTargets stops using targets whose records expired during an outage of
// the store and did not return within outageGrace.
func (d *Daemon) dropLapsedTargets() {
	ticker := time.NewTicker(outageGrace / 10)
	defer ticker.Stop()
	for {
		select {
		case <-d.ctx.Done():
			return
		case now := <-ticker.C:
			d.mu.Lock()
			if d.targets.outageRetention.HasExpired(now) {
				d.activate(d.targets, now)
			}
			d.mu.Unlock()
		}
	}
}
