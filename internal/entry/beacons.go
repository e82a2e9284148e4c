package entry

import (
	"slices"
	"time"

	"golang.org/x/sys/unix"

	"gitlab.com/curranttiller/curranttiller/internal/beacon"
	"gitlab.com/curranttiller/curranttiller/pkg/choose"
	"gitlab.com/curranttiller/curranttiller/pkg/steer"
)

const (
	// observationPeriod is the time between two beacons with observations; it is short compared with the time for which a target's speed stays the same.
	observationPeriod = 50 * time.Millisecond
	// idleBeaconEvery is the number of those periods between two beacons of a host without requests, which observes targets only by probes. The resulting 200 ms are short compared with the time after which other hosts avoid a target without observations.
	idleBeaconEvery = 4
	// topicBeaconPeriod is the time between two full beacons, which go to the whole fan-out; receivers read the store themselves if their topics are not confirmed in time.
	topicBeaconPeriod = 600 * time.Millisecond
	// idleLoopPeriod is the time between two runs of the beacon loop on a host that sends no periodic beacons.
	idleLoopPeriod = 200 * time.Millisecond
	// minConfirmationGain is by how much a topic's last confirmation must have advanced for a relay to send a full beacon at once.
	minConfirmationGain = 200 * time.Millisecond
	// relayedSilentAfter is the silence after which a steered host counts as failed if this host receives only its full beacons or only the reports of relays on it, both every 0.6 s (topicBeaconPeriod).
	relayedSilentAfter = 1800 * time.Millisecond
	// relaysLostAfter is how much longer a steered host in fanout.relayDomain may be silent if the relays that report on it are silent too. Within this time the relays count as failed and other hosts become relays.
	relaysLostAfter = relayedSilentAfter + 2*topicBeaconPeriod
	// silentAfter is the silence after which a steered host counts as failed if this host receives all of its beacons. unsteeredSilentAfter applies instead on unsteered hosts in a full mesh. Both allow for the loss of some datagrams.
	silentAfter          = 1200 * time.Millisecond
	unsteeredSilentAfter = 2500 * time.Millisecond
	// minSuspension is the increase of suspendedTime from which the machine counts as having been suspended.
	minSuspension = 200 * time.Millisecond
)

// beaconNow makes the beacon loop send a full beacon without delay.
func (d *Daemon) beaconNow() {
	select {
	case d.urgent <- struct{}{}:
	default:
	}
}

// runBeacons is the beacon loop. It sends beacons to the fan-out and marks steered
// hosts as failed that send none.
func (d *Daemon) runBeacons() {
	timer := time.NewTimer(observationPeriod)
	defer timer.Stop()
	var lastFull fullBeacon
	suspended := suspendedTime()
	for {
		isUrgent := false
		select {
		case <-d.ctx.Done():
			return
		case <-d.urgent:
			isUrgent = true
		case <-timer.C:
			timer.Reset(d.beaconPeriod())
		}
		if current := suspendedTime(); current-suspended > minSuspension {
			suspended = current
			d.markTopicsStale()
		}
		now := time.Now()
		d.lastTick.Store(now.UnixNano())
		d.failSilentHosts(now)
		d.tickAllotments(now)
		isFull := d.isFullBeaconDue(now, isUrgent, &lastFull)
		d.sendBeacons(now, isFull, isUrgent)
	}
}

// beaconPeriod returns the time until the next run of the beacon loop. It is longer on
// a host that sends beacons only after it has read the store itself.
func (d *Daemon) beaconPeriod() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.isUnsteered() && !d.fanout.isRelay {
		return idleLoopPeriod
	}
	return observationPeriod
}

// fullBeacon describes the last beacon to the whole fan-out.
type fullBeacon struct {
	// sentAt is when it was sent.
	sentAt time.Time
	// confirmedAt is when the most recently confirmed topic in it was confirmed.
	confirmedAt time.Time
}

// isFullBeaconDue reports whether a beacon to the whole fan-out is due, and if so
// records it in last and updates the fan-out. It is due after topicBeaconPeriod, after a
// change of a shared fact, and at once if isUrgent. Outside a full mesh it is also due on a relay once the last
// confirmation of a topic is more recent by minConfirmationGain than the one in the last
// full beacon, because each relay on the way adds to the age of the confirmation.
func (d *Daemon) isFullBeaconDue(now time.Time, isUrgent bool, last *fullBeacon) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	confirmed := last.confirmedAt
	for _, extent := range d.topicExtents(now) {
		if at := now.Add(-extent.Age); at.After(confirmed) {
			confirmed = at
		}
	}
	isFresh := d.forwardsChanges() && confirmed.Sub(last.confirmedAt) >= minConfirmationGain
	isSharedChanged := d.sharing.takeChange()
	if !isUrgent && !isFresh && !isSharedChanged && now.Sub(last.sentAt) < topicBeaconPeriod {
		return false
	}
	*last = fullBeacon{sentAt: now, confirmedAt: confirmed}
	d.updateFanout(now)
	return true
}

// suspendedTime is the total time for which the machine has been suspended since it
// started. The monotonic clock, which Go's timers use, does not count that time.
// It is zero if the clocks cannot be read.
func suspendedTime() time.Duration {
	var boot, monotonic unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil {
		return 0
	}
	return time.Duration(boot.Nano() - monotonic.Nano())
}

// markTopicsStale raises the ages of the topics after the machine was suspended, so
// that they are confirmed or read again.
func (d *Daemon) markTopicsStale() {
	d.log.Warn("host was suspended; confirming the topics again")
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, f := range []*followedTopic{d.configuration, d.targets} {
		f.topic.MarkStale(time.Now(), readSchedule.Max)
	}
}

// sendBeacons sends this host's observations to the near and far hosts of the fan-out.
// A full beacon goes to the whole fan-out. Outside a full mesh, a relay lists in it the
// steered hosts, or for other failure domains only the advertised ones. All beacons
// carry the offsets and ages of the topics. An unsteered host that is no relay sends
// nothing unless isUrgent.
func (d *Daemon) sendBeacons(now time.Time, isFull, isUrgent bool) {
	d.mu.Lock()
	if d.isUnsteered() && !d.fanout.isRelay && !isUrgent {
		d.mu.Unlock()
		return
	}
	services := make([]*service, 0, len(d.services))
	for _, s := range d.services {
		services = append(services, s)
	}
	d.beaconSequence++
	message := beacon.Message{Sender: d.settings.Name, Incarnation: d.incarnation, Sequence: d.beaconSequence, Topics: d.topicExtents(now)}
	receivers := d.fanout
	var advertisedIDs []uint32
	if isFull {
		message = message.WithSteered(d.shortIDs(d.steeredHosts))
		advertisedIDs = d.shortIDs(receivers.advertised)
	}
	requesters := d.observationRequesters(now, receivers.far)
	d.mu.Unlock()
	if isFull {
		message = d.sharing.addTo(now, services, message)
		d.sendBeacon(&message, receivers.rest)
	}
	if len(receivers.near)+len(receivers.far) == 0 {
		return
	}
	// Slowdowns from before observationsDueAt were sent in a beacon then. One period is
	// added as an overlap. A beacon is due at least in every idleBeaconEvery-th period.
	observed := collectObservations(now, services, min(max(now.Sub(d.observationsDueAt), observationPeriod), idleBeaconEvery*observationPeriod)+observationPeriod)
	d.sendFar(&message, receivers.far, advertisedIDs, requesters, observed, isFull)
	hasRequests := observed.hasRequests()
	// The beacon after the last request shows other hosts that none are in flight.
	isDue := isFull || hasRequests || d.lastBeaconHadRequests || message.Sequence%idleBeaconEvery == 0
	d.lastBeaconHadRequests = hasRequests
	if isDue {
		d.observationsDueAt = now
	}
	if all := observed.all(); isFull || (isDue && len(all) > 0) {
		near := message.WithObservations(all)
		d.sendBeacon(&near, receivers.near)
	}
}

// sendBeacon sends one datagram with the message to each of the addresses.
func (d *Daemon) sendBeacon(message *beacon.Message, addresses []string) {
	if len(addresses) == 0 {
		return
	}
	datagram, err := beacon.Encode(message)
	if err != nil {
		d.peerLog.Error("encoding a beacon failed", "Error", err.Error())
		return
	}
	for _, address := range addresses {
		d.counters.beaconsSent.Inc()
		d.controlBytes.Add(int64(len(datagram)))
		d.socket.Send(address, datagram)
	}
}

// topicExtents returns the offset and age of each topic that has been read; d.mu is held.
func (d *Daemon) topicExtents(now time.Time) []beacon.TopicExtent {
	var extents []beacon.TopicExtent
	for _, f := range []*followedTopic{d.configuration, d.targets} {
		if f.topic.IsLoaded() {
			extents = append(extents, beacon.TopicExtent{Topic: f.name, Extent: f.topic.Extent(now)})
		}
	}
	return extents
}

// receiveBeacon applies a beacon of another host. Those of hosts or incarnations
// that are not in the membership table are ignored.
func (d *Daemon) receiveBeacon(m *beacon.Message) {
	now := time.Now()
	d.controlBytes.Add(receivedBeaconBytes)
	d.lastPeerContact.Store(now.UnixNano())
	if d.receiveAllotments(m) {
		return
	}
	d.mu.Lock()
	sender, found := d.members.Lookup(now, m.Sender)
	if !found || sender.Incarnation != m.Incarnation {
		d.mu.Unlock()
		return
	}
	for _, extent := range m.Topics {
		d.applyExtent(extent, sender.PeerAddress, now)
	}
	d.members.MarkAlive(now, m.Sender, m.Incarnation)
	d.lastSeen[m.Sender] = now
	if m.WantsObservations {
		d.observationsWantedAt[m.Sender] = now
	}
	d.applySteeredIDs(m.Steered, &sender.Info, now)
	services := d.servicesIn(m)
	forwardsChanges := d.forwardsChanges()
	d.mu.Unlock()
	for i := range m.Services {
		if s := services[m.Services[i].Service]; s != nil {
			s.mergeObservations(now, m.Sender, &m.Services[i])
		}
	}
	if d.sharing.learn(now, d.serviceNamed, m) && forwardsChanges {
		d.sharing.announce()
	}
}

// servicesIn returns the services that a beacon observes and this host has, by name; d.mu is held.
func (d *Daemon) servicesIn(m *beacon.Message) map[string]*service {
	services := make(map[string]*service, len(m.Services))
	for i := range m.Services {
		services[m.Services[i].Service] = d.services[m.Services[i].Service]
	}
	return services
}

// serviceNamed returns a service of this host, nil if there is none of that name.
func (d *Daemon) serviceNamed(name string) *service {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.services[name]
}

// receivedBeaconBytes is the assumed size of a received beacon in the count of control traffic.
const receivedBeaconBytes = 200

// applyExtent confirms a topic if the sender has the same offset, and requests the
// missing facts from the sender if it has a higher one or a later era, or if this host has
// not read the topic yet; d.mu is held.
func (d *Daemon) applyExtent(extent beacon.TopicExtent, address string, now time.Time) {
	f := d.topicNamed(extent.Topic)
	if f == nil {
		return
	}
	if extent.Era < f.topic.Era() && f.topic.IsLoaded() {
		return
	}
	if extent.Through > f.topic.Through() || !f.topic.IsLoaded() || f.topic.EndsEra(extent.Era) {
		if f.behindSince.IsZero() {
			f.behindSince = now
		}
		if !f.isFetching {
			d.done.Go(func() { d.fetchFacts(f, address, false) })
		}
		return
	}
	if extent.Through == f.topic.Through() {
		// Confirm lowers the age by which Observe recognises an outage.
		f.outageRetention.Observe(now, f.topic)
		f.topic.Confirm(now, extent.Extent)
	}
}

// failSilentHosts marks steered hosts as failed whose silence is too long. Hosts
// that have just become steered get as much time to send their first beacon.
func (d *Daemon) failSilentHosts(now time.Time) {
	if d.draining.Load() {
		// Other hosts send no beacons to a leaving host.
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	isChanged := false
	for _, h := range d.steeredHosts {
		limit := d.maxSilence(h)
		m, found := d.members.Lookup(now, h.Name)
		silence := d.silence(now, h.Name)
		if h.Name == d.settings.Name || !found || silence < limit {
			continue
		}
		d.peerLog.Warn("steered host sends no beacons; marking it as failed", "Silent", h.Name, "SilentMillis", silence.Milliseconds())
		d.members.MarkSilent(now, h.Name, m.Incarnation)
		isChanged = true
	}
	if isChanged {
		d.refreshHolders()
	}
}

// silence is how long a steered host has not shown that it is alive. For a host in
// fanout.relayDomain, it is counted only up to the relays' last report, so that failed relays
// don't make the hosts behind them seem failed. New relays take over within
// relaysLostAfter, so silence beyond that time counts in any case; d.mu is held.
func (d *Daemon) silence(now time.Time, name string) time.Duration {
	seen := d.lastSeen[name]
	domain, isRelayed := d.fanout.relayDomain[name]
	if !isRelayed {
		return now.Sub(seen)
	}
	return max(d.relayReportAt[domain].Sub(seen), now.Sub(seen)-relaysLostAfter)
}

// maxSilence is the silence from which this host counts a steered host as failed; d.mu is held.
func (d *Daemon) maxSilence(h steer.Host) time.Duration {
	isFull := d.isFullMesh()
	switch {
	case d.isUnsteered() && isFull:
		return unsteeredSilentAfter
	case !d.isUnsteered() && (isFull || d.fanout.isNear[h.Name]):
		return silentAfter
	default:
		return relayedSilentAfter
	}
}

// startSilenceTimers counts hosts that have just become steered as seen now, so that
// their silence starts at zero; d.mu is held.
func (d *Daemon) startSilenceTimers(before, after []steer.Host, now time.Time) {
	for _, h := range after {
		if !slices.Contains(before, h) {
			d.lastSeen[h.Name] = now
		}
	}
}

// mergeObservations passes another host's observations of the service's targets to
// the pool. Unknown targets are ignored.
func (s *service) mergeObservations(now time.Time, host string, received *beacon.ServiceObservations) {
	s.mu.Lock()
	defer s.mu.Unlock()
	merged := make([]choose.Observation, 0, len(received.Targets))
	for _, t := range received.Targets {
		if name, found := s.targetsByID[t.ID]; found {
			merged = append(merged, choose.Observation{Target: name, InFlight: t.InFlight, Slowdown: t.Slowdown, SlowdownAge: t.SlowdownAge, FailedShare: t.FailedShare})
		}
	}
	s.deliverActions(s.pool.ReceiveObservations(now, host, merged))
}

// readRankIn returns the index of this host in a list of steered hosts, or the
// length of the list if it is not in it.
func (d *Daemon) readRankIn(steered []steer.Host) int {
	rank := slices.IndexFunc(steered, func(h steer.Host) bool { return h.Name == d.settings.Name })
	if rank < 0 {
		return len(steered)
	}
	return rank
}
