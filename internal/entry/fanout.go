package entry

import (
	"slices"
	"time"

	"gitlab.com/curranttiller/curranttiller/internal/beacon"
	"gitlab.com/curranttiller/curranttiller/pkg/member"
	"gitlab.com/curranttiller/curranttiller/pkg/steer"
)

const (
	// observationRequestTTL is how long a host that asked for observations is sent them.
	observationRequestTTL = 500 * time.Millisecond
	// farObservationsEvery is the number of runs of the beacon loop after which a far host is again asked for its observations of all targets, or sent those that it asked for. Full beacons do so in addition. This need not be more frequent because few requests leave their failure domain.
	farObservationsEvery = 4
	// rowRequestPeriod is the least time between two requests for missing member rows of steered hosts.
	rowRequestPeriod = 500 * time.Millisecond
)

// fanout holds the receivers of this host's beacons, and the paths by which it
// learns that steered hosts are alive. It is steer.Fanout with addresses.
type fanout struct {
	// near are the beacon addresses of the steered hosts that get all observations,
	// and rest those of hosts that get no observations. rest gets only full beacons.
	near, rest []string
	// far are steered hosts and relays that get all observations only if they ask for
	// them, and otherwise at most those of the targets in their own failure domain.
	far []farHost
	// isRelay says that this host is a relay. Outside a full mesh, it passes on the
	// state of the topics and the list of steered hosts.
	isRelay bool
	// isNear holds the names of the hosts in near.
	isNear map[string]bool
	// relayDomain maps the name of each steered host that sends this one no beacons
	// to the failure domain whose relays report that it is alive. It is empty on an
	// unsteered host and in a full mesh.
	relayDomain map[string]string
	// partners are the members with which this host exchanges tables as soon as it has
	// joined. If the own failure domain has cells, the connections to them stay open.
	partners []steer.Host
	// advertised are the strongest steered hosts of the own failure domain if it has
	// cells. A relay reports only these as alive to other domains.
	advertised []steer.Host
}

// farHost is a steered host of another failure domain, or a relay.
type farHost struct {
	name          string
	failureDomain string
	address       string
	isSteered     bool
	// getsInFlight says that the host is sent the observations of targets in its
	// failure domain at which this host has requests in flight. This is so for a steered
	// host that shares its observations with all steered hosts of its failure domain.
	getsInFlight bool
}

// updateFanout recomputes the receivers of this host's beacons; d.mu is held.
func (d *Daemon) updateFanout(now time.Time) {
	own := d.selfHost()
	alive := d.aliveHosts(now)
	plan := steer.NewFanout(own, alive, d.steeredHosts)
	steered := make(map[string]bool, len(d.steeredHosts))
	for _, h := range d.steeredHosts {
		steered[h.Name] = true
	}
	updated := fanout{near: d.beaconAddresses(now, plan.Near), rest: d.beaconAddresses(now, plan.Rest), isRelay: plan.IsRelay, isNear: make(map[string]bool)}
	for _, h := range plan.Near {
		updated.isNear[h.Name] = true
	}
	for _, h := range plan.Far {
		for _, address := range d.beaconAddresses(now, []steer.Host{h}) {
			updated.far = append(updated.far, farHost{
				name: h.Name, failureDomain: h.FailureDomain, address: address, isSteered: steered[h.Name],
				getsInFlight: steered[h.Name] && !steer.HasCells(d.steeredHosts, h.FailureDomain),
			})
		}
	}
	updated.partners = exchangePartners(&plan, steer.Relays(alive, d.steeredHosts), own, steered[own.Name])
	updated.relayDomain = d.relayDomains(&plan)
	if steer.HasCells(d.steeredHosts, own.FailureDomain) {
		updated.advertised = advertisedHosts(d.steeredHosts, own.FailureDomain)
	}
	d.fanout = updated
}

func (d *Daemon) selfHost() steer.Host {
	self := d.selfInfo()
	return self.Host()
}

// exchangePartners returns the relays of the own failure domain and, for a steered
// host, also the near and far hosts of its fan-out.
func exchangePartners(plan *steer.Fanout, relays []steer.Host, own steer.Host, isSteered bool) []steer.Host {
	var all []steer.Host
	if isSteered {
		all = slices.Concat(plan.Near, plan.Far)
	}
	for _, h := range relays {
		if h.FailureDomain == own.FailureDomain && h != own && !slices.Contains(all, h) {
			all = append(all, h)
		}
	}
	return all
}

// relayDomains returns, by name, the failure domains whose relays report on the
// steered hosts that send this host no beacons. A relay gets the reports on a steered
// host from the relays of that host's domain. A steered host that is no relay gets all
// reports from the relays of its own domain. The result is empty for an unsteered host
// and in a full mesh; d.mu is held.
func (d *Daemon) relayDomains(plan *steer.Fanout) map[string]string {
	own := d.settings.FailureDomain
	domains := make(map[string]string)
	if d.isUnsteered() || d.isFullMesh() {
		return domains
	}
	for _, h := range d.steeredHosts {
		isDirect := h.Name == d.settings.Name || slices.Contains(plan.Near, h) || slices.Contains(plan.Far, h)
		switch {
		case isDirect || (plan.IsRelay && h.FailureDomain == own):
			// A relay receives the beacons of all steered hosts of its failure domain.
		case plan.IsRelay:
			domains[h.Name] = h.FailureDomain
		default:
			domains[h.Name] = own
		}
	}
	return domains
}

// advertisedHosts returns the strongest steered hosts of a failure domain, the only
// ones of it that are in the tables of hosts in other domains.
func advertisedHosts(steered []steer.Host, failureDomain string) []steer.Host {
	var strongest []steer.Host
	for _, h := range steer.ByCapacity(steered) {
		if h.FailureDomain == failureDomain && len(strongest) < strongestShared {
			strongest = append(strongest, h)
		}
	}
	return strongest
}

// forwardsChanges reports whether this host is a relay on which other hosts depend for
// changes of the topics; d.mu is held.
func (d *Daemon) forwardsChanges() bool {
	return d.fanout.isRelay && !d.isFullMesh()
}

// isFullMesh reports whether the steered hosts are few enough for each to send
// beacons to all hosts. Until the membership table has settled, it counts the steered
// hosts that the incomplete table gives; d.mu is held.
func (d *Daemon) isFullMesh() bool {
	steered := d.steeredHosts
	if !d.joinPhase.IsOver() {
		steered = d.selectSteered(d.aliveHosts(time.Now()))
	}
	return steer.IsFullMesh(len(steered))
}

// beaconAddresses returns the beacon addresses of those hosts that have one; d.mu is held.
func (d *Daemon) beaconAddresses(now time.Time, hosts []steer.Host) []string {
	addresses := make([]string, 0, len(hosts))
	for _, h := range hosts {
		if m, found := d.members.Lookup(now, h.Name); found && m.BeaconAddress != "" {
			addresses = append(addresses, m.BeaconAddress)
		}
	}
	return addresses
}

// shortIDs returns the member row IDs with which a relay reports that steered hosts
// are alive. It is empty on a host that is no relay and in a full mesh; d.mu is held.
func (d *Daemon) shortIDs(steered []steer.Host) []uint32 {
	ids := make([]uint32, 0, len(steered))
	if d.isFullMesh() || !d.fanout.isRelay {
		return ids
	}
	for _, h := range steered {
		if id, found := d.members.RowID(h.Name); found {
			ids = append(ids, id)
		}
	}
	return ids
}

// applySteeredIDs records the steered hosts that a relay reports as alive. A steered
// host applies the report only to hosts for which relayDomains gives the failure domain
// of the sender, and an unsteered relay ignores the report; d.mu is held.
func (d *Daemon) applySteeredIDs(ids []uint32, sender *member.Info, now time.Time) {
	if len(ids) == 0 || (d.isUnsteered() && d.fanout.isRelay) {
		return
	}
	isUnsteered := d.isUnsteered()
	reported := d.members.MarkAliveByID(now, ids, func(name string) bool {
		domain, isRelayed := d.fanout.relayDomain[name]
		return isUnsteered || (isRelayed && domain == sender.FailureDomain)
	})
	for _, name := range reported.Names {
		d.lastSeen[name] = now
	}
	d.relayReportAt[sender.FailureDomain] = now
	if reported.HasUnknown && now.Sub(d.rowsRequestedAt) >= rowRequestPeriod {
		d.rowsRequestedAt = now
		partner := *sender
		d.done.Go(func() { d.exchangeTables(d.ctx, partner.PeerAddress, partner) })
	}
	if reported.HasRevived {
		d.refreshHolders()
	}
}

// observationRequesters returns the names of the far hosts whose request for
// observations has not expired; d.mu is held.
func (d *Daemon) observationRequesters(now time.Time, far []farHost) map[string]bool {
	requesters := make(map[string]bool)
	for i := range far {
		if now.Sub(d.observationsWantedAt[far[i].name]) < observationRequestTTL {
			requesters[far[i].name] = true
		}
	}
	return requesters
}

// sendFar sends beacons to the far hosts of the fan-out. A steered host that asked for
// observations gets those of all targets in full beacons and in every
// farObservationsEvery-th run of the beacon loop. Otherwise a host with getsInFlight
// gets those of targets in its failure domain at which this host has requests in
// flight. A beacon is sent only if it is full, carries observations or asks for some.
// advertisedIDs replace the list of steered hosts in beacons to other failure domains.
func (d *Daemon) sendFar(message *beacon.Message, far []farHost, advertisedIDs []uint32, requesters map[string]bool, observed observations, isFull bool) {
	isDue := isFull || message.Sequence%farObservationsEvery == 0
	for i := range far {
		h := &far[i]
		sent := *message
		if h.failureDomain != d.settings.FailureDomain {
			sent.Steered = advertisedIDs
		}
		sent.WantsObservations = observed.needsOtherDomains && h.getsInFlight && isDue
		switch {
		case !h.isSteered:
		case requesters[h.name] && isDue:
			sent.Services = observed.all()
		case h.getsInFlight:
			sent.Services = observed.withRequestsIn(h.failureDomain)
		}
		if isFull || sent.WantsObservations || len(sent.Services) > 0 {
			d.sendBeacon(&sent, []string{h.address})
		}
	}
}

// observations are this host's measurements at the targets of all services.
type observations struct {
	services []serviceObservations
	// needsOtherDomains says that the targets of the own failure domain were not enough
	// lately, so that requests waited or went to targets of other domains.
	needsOtherDomains bool
}

// serviceObservations are the observations of the targets of one service.
type serviceObservations struct {
	name    string
	targets []targetObservation
}

// targetObservation is an observation as a beacon carries it, with the failure domain of the target.
type targetObservation struct {
	beacon.TargetObservation

	failureDomain string
}

// collectObservations returns this host's observations of the targets of all given
// services, without slowdowns that are older than maxAge.
func collectObservations(now time.Time, services []*service, maxAge time.Duration) observations {
	var all observations
	for _, s := range services {
		targets, needsOthers := s.observe(now, maxAge)
		all.needsOtherDomains = all.needsOtherDomains || needsOthers
		all.services = append(all.services, serviceObservations{name: s.name, targets: targets})
	}
	return all
}

// all returns the observations of all targets, by service.
func (s *observations) all() []beacon.ServiceObservations {
	return s.filter(func(*targetObservation) bool { return true })
}

// hasRequests reports whether this host has requests in flight at any target.
func (s *observations) hasRequests() bool {
	return len(s.filter(func(t *targetObservation) bool { return t.InFlight > 0 })) > 0
}

// withRequestsIn returns the observations of the targets of a failure domain at
// which this host has requests in flight.
func (s *observations) withRequestsIn(failureDomain string) []beacon.ServiceObservations {
	return s.filter(func(t *targetObservation) bool { return t.InFlight > 0 && t.failureDomain == failureDomain })
}

// filter returns the observations for which keep is true, without services that have none.
func (s *observations) filter(keep func(*targetObservation) bool) []beacon.ServiceObservations {
	var kept []beacon.ServiceObservations
	for i := range s.services {
		ofService := beacon.ServiceObservations{Service: s.services[i].name}
		for j := range s.services[i].targets {
			if t := &s.services[i].targets[j]; keep(t) {
				ofService.Targets = append(ofService.Targets, t.TargetObservation)
			}
		}
		if len(ofService.Targets) > 0 {
			kept = append(kept, ofService)
		}
	}
	return kept
}

// observe returns the observations of the service's targets without slowdowns that are
// older than maxAge, and whether the targets of the own failure domain were not enough
// lately.
func (s *service) observe(now time.Time, maxAge time.Duration) ([]targetObservation, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	measured := s.pool.Observations(now, maxAge)
	targets := make([]targetObservation, 0, len(measured))
	for _, observation := range measured {
		targets = append(targets, targetObservation{
			TargetObservation: beacon.TargetObservation{ID: beacon.TargetID(observation.Target), InFlight: observation.InFlight, Slowdown: observation.Slowdown, SlowdownAge: observation.SlowdownAge, FailedShare: observation.FailedShare},
			failureDomain:     observation.FailureDomain,
		})
	}
	return targets, s.pool.NeedsOtherDomains(now)
}
