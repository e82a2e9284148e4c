package entry

import (
	"slices"
	"time"

	"gitlab.com/curranttiller/curranttiller/internal/beacon"
	"gitlab.com/curranttiller/curranttiller/pkg/member"
	"gitlab.com/curranttiller/curranttiller/pkg/steer"
)

const (
	// observationRequestTTL is how long a host that asked for sights is sent them.
	observationRequestTTL = 500 * time.Millisecond
	// farObservationsEvery is how many beacons there are for one that asks for sights, or has them all for a host that asked; few requests leave their failure domain.
	farObservationsEvery = 4
	// rowRequestPeriod is the least time between two questions for rows of hosts that callers are steered to.
	rowRequestPeriod = 500 * time.Millisecond
)

// fanout is whom this host sends beacons, and how it hears of others; see steer.Fanout.
type fanout struct {
	near, rest []string
	far        []farHost
	isRelay    bool
	// isNear holds the names of the hosts in near.
	isNear map[string]bool
	// relayDomain is the failure domain whose relays tell of a steered host, for
	// those that send this one no beacons.
	relayDomain map[string]string
	// partners are the members that this host exchanges tables and facts with.
	partners []steer.Host
	// advertised are the strongest steered hosts of the own failure domain if it has
	// cells, which relays elsewhere hear of through this one.
	advertised []steer.Host
}

// farHost is a host in another failure domain, or a relay.
type farHost struct {
	name          string
	failureDomain string
	address       string
	isSteered     bool
	// getsInFlight says that the host shares what it sees with all steered hosts of its
	// domain, and so is told of requests at the targets there.
	getsInFlight bool
}

// updateFanout computes whom this host tells what; d.mu is held.
func (d *Daemon) updateFanout(now time.Time) {
	own := d.selfHost()
	alive := d.aliveHosts(now)
	plan := steer.NewFanout(own, alive, d.steeredHosts)
	steered := make(map[string]bool, len(d.steeredHosts))
	for _, h := range d.steeredHosts {
		steered[h.Name] = true
	}
	told := fanout{near: d.beaconAddresses(now, plan.Near), rest: d.beaconAddresses(now, plan.Rest), isRelay: plan.IsRelay, isNear: make(map[string]bool)}
	for _, h := range plan.Near {
		told.isNear[h.Name] = true
	}
	for _, h := range plan.Far {
		for _, address := range d.beaconAddresses(now, []steer.Host{h}) {
			told.far = append(told.far, farHost{
				name: h.Name, failureDomain: h.FailureDomain, address: address, isSteered: steered[h.Name],
				getsInFlight: steered[h.Name] && !steer.HasCells(d.steeredHosts, h.FailureDomain),
			})
		}
	}
	told.partners = exchangePartners(&plan, steer.Relays(alive, d.steeredHosts), own, steered[own.Name])
	told.relayDomain = d.relayDomains(&plan)
	if steer.HasCells(d.steeredHosts, own.FailureDomain) {
		told.advertised = advertisedHosts(d.steeredHosts, own.FailureDomain)
	}
	d.fanout = told
}

func (d *Daemon) selfHost() steer.Host {
	self := d.selfInfo()
	return self.Host()
}

// exchangePartners are the relays of the own failure domain, and the hosts of a steered one's fan-out.
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

// relayDomains finds the steered hosts that a steered host hears of through
// relays: one in a cell through those of its domain, and a relay through those
// of the other domain; d.mu is held.
func (d *Daemon) relayDomains(plan *steer.Fanout) map[string]string {
	own := d.settings.FailureDomain
	through := make(map[string]string)
	if d.isUnsteered() || d.isFullMesh() {
		return through
	}
	for _, h := range d.steeredHosts {
		isDirect := h.Name == d.settings.Name || slices.Contains(plan.Near, h) || slices.Contains(plan.Far, h)
		switch {
		case isDirect || (plan.IsRelay && h.FailureDomain == own):
		case plan.IsRelay:
			through[h.Name] = h.FailureDomain
		default:
			through[h.Name] = own
		}
	}
	return through
}

// advertisedHosts returns the steered hosts of a failure domain that hosts elsewhere know.
func advertisedHosts(steered []steer.Host, failureDomain string) []steer.Host {
	var near []steer.Host
	for _, h := range steer.ByStrength(steered) {
		if h.FailureDomain == failureDomain && len(near) < strongestShared {
			near = append(near, h)
		}
	}
	return near
}

// forwardsChanges reports whether others hear what changed only through this host; d.mu is held.
func (d *Daemon) forwardsChanges() bool {
	return d.fanout.isRelay && !d.isFullMesh()
}

// isFullMesh reports whether each steered host tells all hosts everything, by
// what is known now while this host has not met the others; d.mu is held.
func (d *Daemon) isFullMesh() bool {
	steered := d.steeredHosts
	if !d.settling.IsOver() {
		steered = d.selectSteered(d.aliveHosts(time.Now()))
	}
	return steer.IsFullMesh(len(steered))
}

// beaconAddresses lists where hosts take beacons; d.mu is held.
func (d *Daemon) beaconAddresses(now time.Time, hosts []steer.Host) []string {
	addresses := make([]string, 0, len(hosts))
	for _, h := range hosts {
		if m, found := d.members.Lookup(now, h.Name); found && m.BeaconAddress != "" {
			addresses = append(addresses, m.BeaconAddress)
		}
	}
	return addresses
}

// shortIDs lists hosts that callers are steered to, for those that do not hear them; d.mu is held.
func (d *Daemon) shortIDs(steered []steer.Host) []uint32 {
	ids := make([]uint32, 0, len(steered))
	if d.isFullMesh() || !d.fanout.isRelay {
		return ids
	}
	for _, h := range steered {
		if id, found := d.members.ShortForm(h.Name); found {
			ids = append(ids, id)
		}
	}
	return ids
}

// applySteeredIDs takes which hosts a relay counts among those that callers are
// steered to. A host that hears them itself goes by that; d.mu is held.
func (d *Daemon) applySteeredIDs(ids []uint32, sender *member.Info, now time.Time) {
	if len(ids) == 0 || (d.isUnsteered() && d.fanout.isRelay) {
		return
	}
	isOutside := d.isUnsteered()
	news := d.members.HeardShort(now, ids, func(name string) bool {
		through, isRelayed := d.fanout.relayDomain[name]
		return isOutside || (isRelayed && through == sender.FailureDomain)
	})
	for _, name := range news.Names {
		d.lastSeen[name] = now
	}
	d.relayReportAt[sender.FailureDomain] = now
	if news.IsLacking && now.Sub(d.rowsRequestedAt) >= rowRequestPeriod {
		d.rowsRequestedAt = now
		partner := *sender
		d.done.Go(func() { d.exchangeTables(d.ctx, partner.PeerAddress, partner) })
	}
	if news.HasRevived {
		d.refreshHolders()
	}
}

// observationRequesters tells which far hosts have asked for sights lately; d.mu is held.
func (d *Daemon) observationRequesters(now time.Time, far []farHost) map[string]bool {
	asked := make(map[string]bool)
	for i := range far {
		if now.Sub(d.observationsWantedAt[far[i].name]) < observationRequestTTL {
			asked[far[i].name] = true
		}
	}
	return asked
}

// sendFar tells hosts of other failure domains and relays how far the store is
// known, of requests at the targets near them, and of all targets if they asked.
func (d *Daemon) sendFar(message *beacon.Message, far []farHost, vouched []uint32, asked map[string]bool, seen observations, isForAll bool) {
	isDue := isForAll || message.Sequence%farObservationsEvery == 0
	for i := range far {
		h := &far[i]
		told := *message
		if h.failureDomain != d.settings.FailureDomain {
			told.Steered = vouched
		}
		told.WantsObservations = seen.isInsufficient && h.getsInFlight && isDue
		switch {
		case !h.isSteered:
		case asked[h.name] && isDue:
			told.Services = seen.all()
		case h.getsInFlight:
			told.Services = seen.withRequestsIn(h.failureDomain)
		}
		if isForAll || told.WantsObservations || len(told.Services) > 0 {
			d.sendBeacon(&told, []string{h.address})
		}
	}
}

// observations is what this host sees of the targets of all services.
type observations struct {
	services []serviceObservations
	// isInsufficient says that the targets of the own failure domain do not do.
	isInsufficient bool
}

// serviceObservations is what this host sees of the targets of a service.
type serviceObservations struct {
	name    string
	targets []targetObservation
}

// targetObservation is a row of a beacon with the failure domain of its target.
type targetObservation struct {
	beacon.TargetObservation

	failureDomain string
}

// collectObservations returns what this host sees of all targets, and heard of them within a time.
func collectObservations(now time.Time, services []*service, within time.Duration) observations {
	var all observations
	for _, s := range services {
		targets, isLacking := s.observe(now, within)
		all.isInsufficient = all.isInsufficient || isLacking
		all.services = append(all.services, serviceObservations{name: s.name, targets: targets})
	}
	return all
}

func (s *observations) all() []beacon.ServiceObservations {
	return s.filter(func(*targetObservation) bool { return true })
}

// hasRequests reports whether this host has requests at any target.
func (s *observations) hasRequests() bool {
	return len(s.filter(func(t *targetObservation) bool { return t.InFlight > 0 })) > 0
}

// withRequestsIn returns the targets of a failure domain at which this host has requests.
func (s *observations) withRequestsIn(failureDomain string) []beacon.ServiceObservations {
	return s.filter(func(t *targetObservation) bool { return t.InFlight > 0 && t.failureDomain == failureDomain })
}

func (s *observations) filter(keep func(*targetObservation) bool) []beacon.ServiceObservations {
	var sights []beacon.ServiceObservations
	for i := range s.services {
		sight := beacon.ServiceObservations{Service: s.services[i].name}
		for j := range s.services[i].targets {
			if t := &s.services[i].targets[j]; keep(t) {
				sight.Targets = append(sight.Targets, t.TargetObservation)
			}
		}
		if len(sight.Targets) > 0 {
			sights = append(sights, sight)
		}
	}
	return sights
}

// observe returns what this host sees of the targets of the service, as it heard
// within a time, and whether those of its own failure domain do not do.
func (s *service) observe(now time.Time, within time.Duration) ([]targetObservation, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	measured := s.pool.Observations(now, within)
	targets := make([]targetObservation, 0, len(measured))
	for _, seen := range measured {
		targets = append(targets, targetObservation{
			TargetObservation: beacon.TargetObservation{ID: beacon.TargetID(seen.Target), InFlight: seen.InFlight, Slowdown: seen.Slowdown, SlowdownAge: seen.SlowdownAge, FailedShare: seen.FailedShare},
			failureDomain:     seen.FailureDomain,
		})
	}
	return targets, s.pool.NeedsOtherDomains(now)
}
