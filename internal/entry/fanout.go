package entry

import (
	"slices"
	"time"

	"gitlab.com/curranttiller/curranttiller/internal/beacon"
	"gitlab.com/curranttiller/curranttiller/pkg/member"
	"gitlab.com/curranttiller/curranttiller/pkg/steer"
)

const (
	// askedFor is how long a host that asked for sights is sent them.
	askedFor = 500 * time.Millisecond
	// askedEvery is how many beacons there are for one that asks for sights, or has them all for a host that asked; few requests leave their failure domain.
	askedEvery = 4
	// lackPeriod is the least time between two questions for rows of hosts that callers are steered to.
	lackPeriod = 500 * time.Millisecond
)

// fanout is whom this host sends beacons, and how it hears of others; see steer.Fanout.
type fanout struct {
	near, rest []string
	far        []farHost
	isRelay    bool
	// isNear holds the names of the hosts in near.
	isNear map[string]bool
	// heardThrough is the failure domain whose relays tell of a steered host, for
	// those that send this one no beacons.
	heardThrough map[string]string
	// partners are the members that this host exchanges tables and facts with.
	partners []steer.Host
	// vouched are the strongest steered hosts of the own failure domain if it has
	// cells, which relays elsewhere hear of through this one.
	vouched []steer.Host
}

// farHost is a host in another failure domain, or a relay.
type farHost struct {
	name          string
	failureDomain string
	address       string
	isSteered     bool
	// hearsUse says that the host shares what it sees with all steered hosts of its
	// domain, and so is told of requests at the targets there.
	hearsUse bool
}

// setFanout computes whom this host tells what; d.mu is held.
func (d *Daemon) setFanout(now time.Time) {
	own := d.selfHost()
	alive := d.aliveHosts(now)
	plan := steer.NewFanout(own, alive, d.steeredNow)
	steered := make(map[string]bool, len(d.steeredNow))
	for _, h := range d.steeredNow {
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
				hearsUse: steered[h.Name] && !steer.HasCells(d.steeredNow, h.FailureDomain),
			})
		}
	}
	told.partners = partners(&plan, steer.Relays(alive, d.steeredNow), own, steered[own.Name])
	told.heardThrough = d.heardThrough(&plan)
	if steer.HasCells(d.steeredNow, own.FailureDomain) {
		told.vouched = vouched(d.steeredNow, own.FailureDomain)
	}
	d.fanout = told
}

func (d *Daemon) selfHost() steer.Host {
	self := d.selfInfo()
	return self.Host()
}

// partners are the relays of the own failure domain, and the hosts of a steered one's fan-out.
func partners(plan *steer.Fanout, relays []steer.Host, own steer.Host, isSteered bool) []steer.Host {
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

// heardThrough finds the steered hosts that a steered host hears of through
// relays: one in a cell through those of its domain, and a relay through those
// of the other domain; d.mu is held.
func (d *Daemon) heardThrough(plan *steer.Fanout) map[string]string {
	own := d.settings.FailureDomain
	through := make(map[string]string)
	if d.isOutside() || d.isFullMesh() {
		return through
	}
	for _, h := range d.steeredNow {
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

// vouched returns the steered hosts of a failure domain that hosts elsewhere know.
func vouched(steered []steer.Host, failureDomain string) []steer.Host {
	var near []steer.Host
	for _, h := range steer.ByStrength(steered) {
		if h.FailureDomain == failureDomain && len(near) < strongestTold {
			near = append(near, h)
		}
	}
	return near
}

// relays reports whether others hear what changed only through this host; d.mu is held.
func (d *Daemon) relays() bool {
	return d.fanout.isRelay && !d.isFullMesh()
}

// isFullMesh reports whether each steered host tells all hosts everything, by
// what is known now while this host has not met the others; d.mu is held.
func (d *Daemon) isFullMesh() bool {
	steered := d.steeredNow
	if !d.settling.IsOver() {
		steered = d.steered(d.aliveHosts(time.Now()))
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

// shortForms lists hosts that callers are steered to, for those that do not hear them; d.mu is held.
func (d *Daemon) shortForms(steered []steer.Host) []uint32 {
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

// takeSteered takes which hosts a relay counts among those that callers are
// steered to. A host that hears them itself goes by that; d.mu is held.
func (d *Daemon) takeSteered(ids []uint32, sender *member.Info, now time.Time) {
	if len(ids) == 0 || (d.isOutside() && d.fanout.isRelay) {
		return
	}
	isOutside := d.isOutside()
	news := d.members.HeardShort(now, ids, func(name string) bool {
		through, isRelayed := d.fanout.heardThrough[name]
		return isOutside || (isRelayed && through == sender.FailureDomain)
	})
	for _, name := range news.Names {
		d.heard[name] = now
	}
	d.vouchedAt[sender.FailureDomain] = now
	if news.IsLacking && now.Sub(d.lacked) >= lackPeriod {
		d.lacked = now
		partner := *sender
		d.done.Go(func() { d.exchangeTables(d.ctx, partner.PeerAddress, partner) })
	}
	if news.HasRevived {
		d.refreshHolding()
	}
}

// askers tells which far hosts have asked for sights lately; d.mu is held.
func (d *Daemon) askers(now time.Time, far []farHost) map[string]bool {
	asked := make(map[string]bool)
	for i := range far {
		if now.Sub(d.asked[far[i].name]) < askedFor {
			asked[far[i].name] = true
		}
	}
	return asked
}

// sendFar tells hosts of other failure domains and relays how far the store is
// known, of requests at the targets near them, and of all targets if they asked.
func (d *Daemon) sendFar(message *beacon.Message, far []farHost, vouched []uint32, asked map[string]bool, seen seen, isForAll bool) {
	isDue := isForAll || message.Sequence%askedEvery == 0
	for i := range far {
		h := &far[i]
		told := *message
		if h.failureDomain != d.settings.FailureDomain {
			told.Steered = vouched
		}
		told.WantsObservations = seen.isLacking && h.hearsUse && isDue
		switch {
		case !h.isSteered:
		case asked[h.name] && isDue:
			told.Services = seen.all()
		case h.hearsUse:
			told.Services = seen.usedIn(h.failureDomain)
		}
		if isForAll || told.WantsObservations || len(told.Services) > 0 {
			d.sendBeacon(&told, []string{h.address})
		}
	}
}

// seen is what this host sees of the targets of all services.
type seen struct {
	services []serviceSeen
	// isLacking says that the targets of the own failure domain do not do.
	isLacking bool
}

// serviceSeen is what this host sees of the targets of a service.
type serviceSeen struct {
	name    string
	targets []targetSeen
}

// targetSeen is a row of a beacon with the failure domain of its target.
type targetSeen struct {
	beacon.TargetObservation

	failureDomain string
}

// sights returns what this host sees of all targets, and heard of them within a time.
func sights(now time.Time, services []*service, within time.Duration) seen {
	var all seen
	for _, s := range services {
		targets, isLacking := s.sight(now, within)
		all.isLacking = all.isLacking || isLacking
		all.services = append(all.services, serviceSeen{name: s.name, targets: targets})
	}
	return all
}

func (s *seen) all() []beacon.ServiceObservations {
	return s.filter(func(*targetSeen) bool { return true })
}

// isUsed reports whether this host has requests at any target.
func (s *seen) isUsed() bool {
	return len(s.filter(func(t *targetSeen) bool { return t.InFlight > 0 })) > 0
}

// usedIn returns the targets of a failure domain at which this host has requests.
func (s *seen) usedIn(failureDomain string) []beacon.ServiceObservations {
	return s.filter(func(t *targetSeen) bool { return t.InFlight > 0 && t.failureDomain == failureDomain })
}

func (s *seen) filter(keep func(*targetSeen) bool) []beacon.ServiceObservations {
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

// sight returns what this host sees of the targets of the service, as it heard
// within a time, and whether those of its own failure domain do not do.
func (s *service) sight(now time.Time, within time.Duration) ([]targetSeen, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sightings := s.pool.Observations(now, within)
	targets := make([]targetSeen, 0, len(sightings))
	for _, seen := range sightings {
		targets = append(targets, targetSeen{
			TargetObservation: beacon.TargetObservation{ID: beacon.TargetID(seen.Target), InFlight: seen.InFlight, Slowdown: seen.Slowdown, SlowdownAge: seen.SlowdownAge, FailedShare: seen.FailedShare},
			failureDomain:     seen.FailureDomain,
		})
	}
	return targets, s.pool.NeedsOtherDomains(now)
}
