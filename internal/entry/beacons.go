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
	// observationPeriod is the time between two beacons to hosts that callers are steered to; it is short against the time for which a target's speed lasts.
	observationPeriod = 50 * time.Millisecond
	// idleBeaconEvery is how many of those periods a host without requests lets pass, which tells only what probes found; 200 ms are short against the time that others avoid an unheard target.
	idleBeaconEvery = 4
	// topicBeaconPeriod is the time between two beacons to the other hosts; their knowledge of the store must not seem too old.
	topicBeaconPeriod = 600 * time.Millisecond
	// unsteeredPeriod is the time in which a host that tells nothing looks at what it hears.
	unsteeredPeriod = 200 * time.Millisecond
	// minConfirmationGain is how much more recent knowledge must be to be told at once.
	minConfirmationGain = 200 * time.Millisecond
	// relayedSilentAfter is how long a steered host may be silent that is heard of every 0.6 s or through others.
	relayedSilentAfter = 1800 * time.Millisecond
	// relaysLostAfter is how much longer that is while the relays say nothing: until they count as failed and others pass on what they hear.
	relaysLostAfter = relayedSilentAfter + 2*topicBeaconPeriod
	// silentAfter is how long a steered host may send no beacon to another one, and farSilentAfter to any other host, before callers are sent elsewhere; datagrams get lost.
	silentAfter    = 1200 * time.Millisecond
	farSilentAfter = 2500 * time.Millisecond
	// minSuspension is how far the time awake may fall behind the time passed before the host counts as having slept.
	minSuspension = 200 * time.Millisecond
)

// beaconNow asks for a beacon to every host at once, because something changed.
func (d *Daemon) beaconNow() {
	select {
	case d.urgent <- struct{}{}:
	default:
	}
}

// runBeacons tells other hosts what this host knows and sees.
func (d *Daemon) runBeacons() {
	timer := time.NewTimer(observationPeriod)
	defer timer.Stop()
	var told fullBeacon
	slept := suspendedTime()
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
		if now := suspendedTime(); now-slept > minSuspension {
			slept = now
			d.markTopicsStale()
		}
		now := time.Now()
		d.lastTick.Store(now.UnixNano())
		d.failSilentHosts(now)
		isForAll := d.isFullBeaconDue(now, isUrgent, &told)
		d.sendBeacons(now, isForAll, isUrgent)
	}
}

// beaconPeriod is longer on a host that has nothing to tell.
func (d *Daemon) beaconPeriod() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.isUnsteered() && !d.fanout.isRelay {
		return unsteeredPeriod
	}
	return observationPeriod
}

// fullBeacon is when all hosts of the fan-out were last told, and how recent the
// knowledge was that they were told of.
type fullBeacon struct {
	at        time.Time
	confirmed time.Time
}

// isFullBeaconDue reports whether a beacon is due to the whole fan-out: after a time,
// and through relays also as soon as what is known is confirmed, because it
// ages on the way.
func (d *Daemon) isFullBeaconDue(now time.Time, isUrgent bool, told *fullBeacon) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	confirmed := told.confirmed
	for _, extent := range d.topicExtents(now) {
		if at := now.Add(-extent.Age); at.After(confirmed) {
			confirmed = at
		}
	}
	isFresh := d.forwardsChanges() && confirmed.Sub(told.confirmed) >= minConfirmationGain
	if !isUrgent && !isFresh && now.Sub(told.at) < topicBeaconPeriod {
		return false
	}
	*told = fullBeacon{at: now, confirmed: confirmed}
	d.updateFanout(now)
	return true
}

// suspendedTime is how long the machine was suspended since it started; the steady
// clock does not count that time.
func suspendedTime() time.Duration {
	var boot, steady unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady) != nil {
		return 0
	}
	return time.Duration(boot.Nano() - steady.Nano())
}

// markTopicsStale makes this host read the store again after it was suspended.
func (d *Daemon) markTopicsStale() {
	d.log.Warn("host was suspended; what it knows is read again")
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, f := range []*followedTopic{d.configuration, d.targets} {
		f.topic.Doubt(time.Now(), readSchedule.Most)
	}
}

// sendBeacons sends what steered hosts see to each other, and how far the store
// is known to the rest of the fan-out. A host that callers are not steered to
// tells nothing, unless it has news or passes on what it hears.
func (d *Daemon) sendBeacons(now time.Time, isForAll, isUrgent bool) {
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
	told := d.fanout
	var vouched []uint32
	if isForAll {
		message = message.WithSteered(d.shortIDs(d.steeredHosts))
		vouched = d.shortIDs(told.advertised)
	}
	asked := d.observationRequesters(now, told.far)
	d.mu.Unlock()
	if isForAll {
		d.sendBeacon(&message, told.rest)
	}
	if len(told.near)+len(told.far) == 0 {
		return
	}
	seen := collectObservations(now, services, min(max(now.Sub(d.observationsSentAt), observationPeriod), idleBeaconEvery*observationPeriod)+observationPeriod)
	d.sendFar(&message, told.far, vouched, asked, seen, isForAll)
	isUsed := seen.hasRequests()
	isDue := isForAll || isUsed || d.lastBeaconHadRequests || message.Sequence%idleBeaconEvery == 0
	d.lastBeaconHadRequests = isUsed
	if isDue {
		d.observationsSentAt = now
	}
	if all := seen.all(); isForAll || (isDue && len(all) > 0) {
		near := message.WithObservations(all)
		d.sendBeacon(&near, told.near)
	}
}

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

// topicExtents lists how far the topics are known; d.mu is held.
func (d *Daemon) topicExtents(now time.Time) []beacon.TopicExtent {
	var extents []beacon.TopicExtent
	for _, f := range []*followedTopic{d.configuration, d.targets} {
		if f.topic.IsKnown() {
			extents = append(extents, beacon.TopicExtent{Topic: f.name, Through: f.topic.Through(), Age: f.topic.Age(now)})
		}
	}
	return extents
}

// receiveBeacon takes what another host knows and sees.
func (d *Daemon) receiveBeacon(m *beacon.Message) {
	now := time.Now()
	d.controlBytes.Add(receivedBeaconBytes)
	d.lastPeerContact.Store(now.UnixNano())
	d.mu.Lock()
	sender, found := d.members.Lookup(now, m.Sender)
	if !found || sender.Incarnation != m.Incarnation {
		d.mu.Unlock()
		return
	}
	for _, extent := range m.Topics {
		d.applyExtent(extent, sender.PeerAddress, now)
	}
	d.members.Heard(now, m.Sender, m.Incarnation)
	d.lastSeen[m.Sender] = now
	if m.WantsObservations {
		d.observationsWantedAt[m.Sender] = now
	}
	d.applySteeredIDs(m.Steered, &sender.Info, now)
	services := make(map[string]*service, len(m.Services))
	for _, sight := range m.Services {
		services[sight.Service] = d.services[sight.Service]
	}
	d.mu.Unlock()
	for i := range m.Services {
		if s := services[m.Services[i].Service]; s != nil {
			s.mergeObservations(now, m.Sender, &m.Services[i])
		}
	}
}

// receivedBeaconBytes is what a received beacon counts as, roughly.
const receivedBeaconBytes = 200

// applyExtent confirms what is known, or asks the sender for what it knows
// beyond that; d.mu is held.
func (d *Daemon) applyExtent(extent beacon.TopicExtent, address string, now time.Time) {
	f := d.topicNamed(extent.Topic)
	if f == nil {
		return
	}
	if extent.Through > f.topic.Through() || !f.topic.IsKnown() {
		if f.behindSince.IsZero() {
			f.behindSince = now
		}
		if !f.isFetching {
			d.done.Go(func() { d.fetchFacts(f, address, false) })
		}
		return
	}
	if extent.Through == f.topic.Through() {
		f.lapse.Note(now, f.topic)
		f.topic.Confirm(now, extent.Through, extent.Age)
	}
}

// failSilentHosts takes steered hosts out of use that send no beacons any more. Hosts
// that were steered to only lately get the time to send their first one.
func (d *Daemon) failSilentHosts(now time.Time) {
	if d.draining.Load() {
		// Others send nothing to a host that leaves.
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
		d.peerLog.Warn("steered host sends no beacons; callers are sent elsewhere", "Silent", h.Name, "SilentMillis", silence.Milliseconds())
		d.members.Silenced(now, h.Name, m.Incarnation)
		isChanged = true
	}
	if isChanged {
		d.refreshHolders()
	}
}

// silence is how long nothing was heard of a steered host. While the relays that
// tell of it say nothing themselves, others take their place; d.mu is held.
func (d *Daemon) silence(now time.Time, name string) time.Duration {
	heard := d.lastSeen[name]
	through, isRelayed := d.fanout.relayDomain[name]
	if !isRelayed {
		return now.Sub(heard)
	}
	return max(d.relayReportAt[through].Sub(heard), now.Sub(heard)-relaysLostAfter)
}

// maxSilence is how long a steered host may say nothing to this one; d.mu is held.
func (d *Daemon) maxSilence(h steer.Host) time.Duration {
	isFull := d.isFullMesh()
	switch {
	case d.isUnsteered() && isFull:
		return farSilentAfter
	case !d.isUnsteered() && (isFull || d.fanout.isNear[h.Name]):
		return silentAfter
	default:
		return relayedSilentAfter
	}
}

// startSilenceTimers starts the patience with hosts that callers are steered to from now on; d.mu is held.
func (d *Daemon) startSilenceTimers(before, after []steer.Host, now time.Time) {
	for _, h := range after {
		if !slices.Contains(before, h) {
			d.lastSeen[h.Name] = now
		}
	}
}

// mergeObservations takes what another host sees of the targets of the service.
func (s *service) mergeObservations(now time.Time, host string, sight *beacon.ServiceObservations) {
	s.mu.Lock()
	defer s.mu.Unlock()
	seen := make([]choose.Observation, 0, len(sight.Targets))
	for _, t := range sight.Targets {
		if name, known := s.targetsByID[t.ID]; known {
			seen = append(seen, choose.Observation{Target: name, InFlight: t.InFlight, Slowdown: t.Slowdown, SlowdownAge: t.SlowdownAge, FailedShare: t.FailedShare})
		}
	}
	s.deliverActions(s.pool.ReceiveObservations(now, host, seen))
}

// readRankIn returns the place of this host among the steered ones, or one behind them.
func (d *Daemon) readRankIn(steered []steer.Host) int {
	place := slices.IndexFunc(steered, func(h steer.Host) bool { return h.Name == d.settings.Name })
	if place < 0 {
		return len(steered)
	}
	return place
}
