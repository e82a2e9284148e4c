package entry

import (
	"context"
	"maps"
	"slices"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/rotisserie/eris"

	"gitlab.com/curranttiller/curranttiller/internal/peer"
	"gitlab.com/curranttiller/curranttiller/internal/plat"
	"gitlab.com/curranttiller/curranttiller/pkg/event"
	"gitlab.com/curranttiller/curranttiller/pkg/member"
	"gitlab.com/curranttiller/curranttiller/pkg/steer"
)

const (
	heartbeatTimeout = time.Second
	// membersPerPeriod is the number of members for which the heartbeat period of the settings applies; with a store and more members the period grows in proportion to their number.
	membersPerPeriod = 16
	// strongestShared is the largest number of hosts of each other failure domain in a host's table, those with the largest capacity, where tableScope limits the table; it is several times the usual number of steered hosts there.
	strongestShared = 12
	// seedIntroductionEvery is the number of introductions of which one goes to a seed. An introduction is an exchange of tables by a starting host. Outside a full mesh, the others go to members of the own failure domain once there are any in the table.
	seedIntroductionEvery = 4
	// introducePeriod is the time between two introductions of a starting host.
	introducePeriod = 200 * time.Millisecond
	// keyRetention is how long idempotency keys are remembered; it is converted to heartbeat counters, by which keys expire, so it is longer while the heartbeat period is stretched.
	keyRetention = 10 * time.Minute
)

// runMembers joins the membership and then sends heartbeats until the daemon closes.
func (d *Daemon) runMembers() {
	d.introduce()
	timer := time.NewTimer(d.settings.HeartbeatPeriod)
	defer timer.Stop()
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-timer.C:
			timer.Reset(d.heartbeatPeriod())
			d.runHeartbeat()
		}
	}
}

// introduce exchanges tables with other hosts until the membership table has
// settled. When all hosts start at once, the seeds receive every host's row in the
// first round and send them all in the second. In a large fleet the members of the
// own failure domain do so instead, as soon as one of them is in the table.
func (d *Daemon) introduce() {
	for round := uint64(0); d.ctx.Err() == nil && !d.checkSettled(time.Now()); round++ {
		if address, info := d.introductionPartner(round); address != "" {
			d.done.Go(func() { d.exchangeTables(d.ctx, address, info) })
		}
		d.pause(introducePeriod)
	}
	d.mu.Lock()
	isFullMesh := d.isFullMesh()
	d.mu.Unlock()
	if isFullMesh {
		// In a full mesh every table has the rows of all hosts, and the seeds get those of starting hosts first.
		d.contactSeeds()
	}
	d.contactRelays()
}

// introductionPartner returns the host with which a starting host exchanges tables
// next. The address is empty if there is none. For a seed, info is empty.
func (d *Daemon) introductionPartner(round uint64) (address string, info member.Info) {
	if round%seedIntroductionEvery != 0 {
		if near, found := d.nearMember(round); found {
			return near.PeerAddress, near
		}
	}
	seeds := d.seeds()
	if len(seeds) == 0 {
		return "", member.Info{}
	}
	return seeds[(d.incarnation+round)%uint64(len(seeds))], member.Info{}
}

// nearMember returns an alive member of the own failure domain, another one each
// round. In a full mesh it returns none, so that all introductions go to seeds.
func (d *Daemon) nearMember(round uint64) (member.Info, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.isFullMesh() {
		return member.Info{}, false
	}
	alive := d.members.Alive(time.Now())
	var near []member.Info
	for i := range alive {
		if alive[i].FailureDomain == d.settings.FailureDomain && alive[i].Name != d.settings.Name {
			near = append(near, alive[i].Info)
		}
	}
	if len(near) == 0 {
		return member.Info{}, false
	}
	return near[(d.incarnation+round)%uint64(len(near))], true
}

// contactRelays exchanges tables with the relays and the other partners of the
// fan-out, which then send this host beacons. By gossip alone they would learn of
// it seconds later.
func (d *Daemon) contactRelays() {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.updateFanout(now)
	for _, h := range d.fanout.partners {
		if m, found := d.members.Lookup(now, h.Name); found {
			d.done.Go(func() { d.exchangeTables(d.ctx, m.PeerAddress, m.Info) })
		}
	}
}

// checkSettled reports whether the membership table has settled. When that happens,
// it computes the steered hosts and the holders for the first time.
func (d *Daemon) checkSettled(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.joinPhase.IsOver() {
		return true
	}
	alive := d.aliveHosts(now)
	if !d.joinPhase.Update(now, hostNames(d.selectSteered(alive))) {
		return false
	}
	d.log.Info("membership table has settled", "Alive", len(alive), "AfterMillis", now.Sub(d.startedAt).Milliseconds())
	d.recomputeHolders(alive)
	return true
}

// heartbeatPeriod is the time until the next heartbeat. With a store it grows with
// the number of members, and the members' timeouts with it. The beacons of steered
// hosts show sooner whether they are alive, and failures of other hosts are not urgent.
func (d *Daemon) heartbeatPeriod() time.Duration {
	if d.adapter.Store == nil {
		return d.settings.HeartbeatPeriod
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	factor := max(1, float64(len(d.members.Members(time.Now())))/membersPerPeriod)
	d.members.SetTiming(d.timing().Scaled(factor))
	return time.Duration(factor * float64(d.settings.HeartbeatPeriod))
}

// seeds returns the peer addresses through which this host finds others: those of
// the settings and those on the platform's lists, because the hosts that the
// settings name may all have been replaced.
func (d *Daemon) seeds() []string {
	addresses := slices.Clone(d.settings.Peers)
	d.mu.Lock()
	defer d.mu.Unlock()
	listed := append(slices.Clone(d.listedHosts), d.storeSeeds...)
	for i := range listed {
		h := &listed[i]
		if h.Role == plat.RoleEntry && h.State == plat.StateLive && !slices.Contains(addresses, h.Address) {
			addresses = append(addresses, h.Address)
		}
	}
	return slices.DeleteFunc(addresses, func(a string) bool { return a == d.settings.PeerAdvertised })
}

// contactSeeds exchanges tables with all seeds, without waiting for the results.
func (d *Daemon) contactSeeds() {
	for _, address := range d.seeds() {
		d.done.Go(func() { d.exchangeTables(d.ctx, address, member.Info{}) })
	}
}

// runHeartbeat raises the own heartbeat counter and exchanges tables with a random
// member, or with the seeds if there is no other member.
func (d *Daemon) runHeartbeat() {
	now := time.Now()
	d.mu.Lock()
	d.members.Tick(now)
	d.forgetRemoved(now)
	d.advanceKeys()
	partner, found := d.members.Partner(now)
	d.refreshHolders()
	d.updateFleetSize(now)
	keep := d.keptPeers(now, partner.PeerAddress)
	d.mu.Unlock()
	d.lastTick.Store(now.UnixNano())
	if !found {
		d.contactSeeds()
		return
	}
	d.peers.CloseExcept(keep)
	d.done.Go(func() { d.exchangeTables(d.ctx, partner.PeerAddress, partner.Info) })
}

// maxRemoved is how many hosts that are no longer members may be remembered by name.
const maxRemoved = 256

// forgetRemoved removes what is remembered of hosts and failure domains that are no longer in
// the membership table, once that is much; d.mu is held.
func (d *Daemon) forgetRemoved(now time.Time) {
	atMost := d.members.Count() + maxRemoved
	if max(len(d.lastSeen), len(d.observationsWantedAt), len(d.relayReportAt), len(d.clockLeads)) <= atMost {
		return
	}
	listed := make(map[string]bool)
	for _, m := range d.members.Members(now) {
		listed[m.Name], listed[m.FailureDomain] = true, true
	}
	for _, times := range []map[string]time.Time{d.lastSeen, d.observationsWantedAt, d.relayReportAt} {
		maps.DeleteFunc(times, func(name string, _ time.Time) bool { return !listed[name] })
	}
	maps.DeleteFunc(d.clockLeads, func(name string, _ time.Duration) bool { return !listed[name] })
}

// keptPeers returns the peer addresses whose connections stay open. Without a store
// these are those of all members. With a store they are those of the next receiver of a
// heartbeat and of the hosts that are contacted repeatedly, which are the steered hosts
// or, if the own failure domain has cells, the partners of the fan-out; d.mu is held.
func (d *Daemon) keptPeers(now time.Time, partner string) map[string]bool {
	keep := map[string]bool{partner: true}
	if d.adapter.Store == nil {
		for _, m := range d.members.Members(now) {
			keep[m.PeerAddress] = true
		}
		return keep
	}
	kept := d.steeredHosts
	if steer.HasCells(kept, d.settings.FailureDomain) {
		kept = d.fanout.partners
	}
	for _, h := range kept {
		if m, found := d.members.Lookup(now, h.Name); found {
			keep[m.PeerAddress] = true
		}
	}
	return keep
}

// advanceKeys makes the home accept keys with the current heartbeat counter, before
// that counter is sent to anyone who could put it in a token; d.mu is held.
func (d *Daemon) advanceKeys() {
	d.keysMu.Lock()
	defer d.keysMu.Unlock()
	d.keys.Advance(d.members.Self().Counter, uint64(keyRetention/d.settings.HeartbeatPeriod))
}

// exchangeTables sends one heartbeat, merges the reply and then sends the rows that
// the other host lacks. info is empty for a seed. Errors are only logged and counted.
func (d *Daemon) exchangeTables(ctx context.Context, address string, info member.Info) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	sent := time.Now()
	own := d.newHeartbeat(sent, info.FailureDomain)
	d.counters.heartbeatsSent.Inc()
	reply, err := d.peers.Heartbeat(ctx, address, &own)
	if err != nil {
		d.heartbeatFailed(info, err)
		return
	}
	d.mergeReply(&reply, sent, time.Now())
	if reply.LacksRows {
		d.sendRows(ctx, address, &reply)
	}
}

// sendRows sends the rows that are missing from the row counters in the other host's reply.
func (d *Daemon) sendRows(ctx context.Context, address string, reply *peer.Heartbeat) {
	now := time.Now()
	own := d.newHeartbeat(now, reply.FailureDomain)
	d.mu.Lock()
	own.Members = d.members.MissingRows(now, reply.RowCounters, d.tableScope(reply.FailureDomain))
	d.mu.Unlock()
	if _, err := d.peers.Heartbeat(ctx, address, &own); err != nil {
		d.peerLog.Debug("sending member rows failed", "Peer", reply.Sender, "Error", err.Error())
	}
}

// heartbeatFailed counts a failed heartbeat. It marks the member as failed if the
// connection was refused or lost, but not after a timeout.
func (d *Daemon) heartbeatFailed(info member.Info, err error) {
	d.counters.heartbeatsFailed.Inc()
	d.peerLog.Debug("heartbeat failed", "Peer", info.Name, "Error", err.Error())
	if status.Code(eris.Cause(err)) == codes.Unavailable && info.Name != "" {
		d.mu.Lock()
		d.members.MarkUnreachable(time.Now(), info.Name, info.Incarnation)
		d.refreshHolders()
		d.mu.Unlock()
	}
}

// tableScope selects the rows that a host of a failure domain needs. With a store and
// outside a full mesh, these are all rows of its own domain and those of the strongest
// hosts of other domains, which may be steered. Complete tables on all hosts would then
// cost traffic that grows with the square of their number. Otherwise these are all
// rows; d.mu is held.
func (d *Daemon) tableScope(failureDomain string) member.Scope {
	if d.adapter.Store == nil || d.isFullMesh() {
		return member.Scope{}
	}
	return member.Scope{FailureDomain: failureDomain, MaxPerOtherDomain: strongestShared}
}

// newHeartbeat returns a heartbeat without rows for a host of the given failure
// domain; failureDomain is empty if it is unknown.
func (d *Daemon) newHeartbeat(now time.Time, failureDomain string) peer.Heartbeat {
	d.mu.Lock()
	defer d.mu.Unlock()
	return peer.Heartbeat{
		Sender:           d.settings.Name,
		FailureDomain:    d.settings.FailureDomain,
		RowCounters:      d.members.RowCounters(now, d.tableScope(failureDomain)),
		DocumentsThrough: d.reader.Through(),
		Sent:             now,
	}
}

// mergeReply merges the reply to a heartbeat. It also estimates the lead of the
// peer's clock: the peer's time of sending minus this host's time at the middle of
// the exchange.
func (d *Daemon) mergeReply(reply *peer.Heartbeat, sent, received time.Time) {
	middle := sent.Add(received.Sub(sent) / 2)
	d.mu.Lock()
	d.clockLeads[reply.Sender] = reply.Sent.Sub(middle)
	d.mu.Unlock()
	d.mergeHeartbeat(reply, received)
}

// Heartbeat implements peer.Handler.
func (d *Daemon) Heartbeat(received *peer.Heartbeat) peer.Heartbeat {
	now := time.Now()
	d.mu.Lock()
	rows := d.members.MissingRows(now, received.RowCounters, d.tableScope(received.FailureDomain))
	d.mu.Unlock()
	lacksRows := d.mergeHeartbeat(received, now)
	reply := d.newHeartbeat(now, received.FailureDomain)
	reply.Members = rows
	reply.LacksRows = lacksRows
	return reply
}

// mergeHeartbeat merges the rows and row counters that another host sent, and reports
// whether that host has rows that this one lacks. If it has read more of the
// document log while this host cannot reach the log, its documents are requested.
func (d *Daemon) mergeHeartbeat(received *peer.Heartbeat, now time.Time) bool {
	d.lastPeerContact.Store(now.UnixNano())
	d.mu.Lock()
	before := len(d.members.Alive(now))
	d.members.Merge(now, received.Members)
	lacksRows := d.members.MergeCounters(now, received.RowCounters)
	after := len(d.members.Alive(now))
	isBehind := received.DocumentsThrough > d.reader.Through()
	sender, found := d.members.Lookup(now, received.Sender)
	d.refreshHolders()
	d.mu.Unlock()
	if before != after {
		d.events.Add(event.Event{Kind: "MembersChanged", Cause: "heartbeat of " + received.Sender})
	}
	if isBehind && found && now.UnixNano()-d.lastPlatformRead.Load() > int64(2*d.settings.HeartbeatPeriod) {
		d.done.Go(func() { d.fetchDocumentsFrom(sender.PeerAddress) })
	}
	return lacksRows
}

// runHosts reads the platform's list of hosts periodically.
func (d *Daemon) runHosts() {
	var revision uint64
	ticker := time.NewTicker(d.settings.HostListPeriod)
	defer ticker.Stop()
	for {
		list, changed, err := d.platform.Hosts(d.ctx, revision)
		if err != nil {
			d.platLog.Debug("reading the host list failed; the last one stays in use", "Error", err.Error())
		}
		if err == nil && changed {
			revision = list.Revision
			d.replaceHosts(list.Hosts)
		}
		select {
		case <-d.ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// dropMalformedRows removes the malformed rows of a list in place, and counts them.
func (d *Daemon) dropMalformedRows(hosts []plat.Host) []plat.Host {
	return slices.DeleteFunc(hosts, func(h plat.Host) bool {
		if err := h.Check(); err != nil {
			d.counters.hostRowsMalformed.Inc()
			d.platLog.Warn("row of the host list is malformed and has no effect", "Host", h.Name, "Error", err.Error())
			return true
		}
		return false
	})
}

// replaceHosts applies a new list from the platform. After the first one it exchanges
// tables with the seeds, which include the entry hosts on the list.
func (d *Daemon) replaceHosts(listed []plat.Host) {
	hosts := d.dropMalformedRows(listed)
	d.mu.Lock()
	isFirst := d.listedHosts == nil
	d.listedHosts = hosts
	d.mu.Unlock()
	if isFirst {
		d.contactSeeds()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recomputeHolders(d.aliveHosts(time.Now()))
}

// refreshHolders recomputes the holders of all services, and so the targets that
// this host holds, if the set of alive hosts has changed; d.mu is held.
func (d *Daemon) refreshHolders() {
	alive := d.aliveHosts(time.Now())
	if slices.Equal(alive, d.lastAliveHosts) {
		return
	}
	d.lastAliveHosts = alive
	if d.adapter.Store != nil && slices.Equal(d.selectSteeredIfSettled(alive), d.steeredHosts) {
		// The holders are the steered hosts, so most changes in a large fleet don't affect them.
		return
	}
	d.recomputeHolders(alive)
}

// selectSteeredIfSettled returns the steered hosts among the given ones, or none
// until the membership table has settled; d.mu is held.
func (d *Daemon) selectSteeredIfSettled(alive []steer.Host) []steer.Host {
	if !d.joinPhase.IsOver() {
		return nil
	}
	return d.selectSteered(alive)
}

// recomputeHolders computes the holders of all services for the alive hosts and
// passes them to the pools with the current targets; d.mu is held.
func (d *Daemon) recomputeHolders(alive []steer.Host) {
	d.updateFleetSize(time.Now())
	if d.adapter.Store != nil {
		d.recomputeSteered(alive)
		return
	}
	for _, s := range d.services {
		s.setTargets(time.Now(), d.listedHosts, steer.Holders(s.name, alive, s.document.Holders))
	}
}

// recomputeSteered computes the steered hosts. They are the holders of every
// service, because the requests of one caller go to several services; d.mu is held.
func (d *Daemon) recomputeSteered(alive []steer.Host) {
	steered := d.selectSteeredIfSettled(alive)
	d.startSilenceTimers(d.steeredHosts, steered, time.Now())
	if !slices.Equal(steered, d.steeredHosts) {
		d.log.Info("steered hosts changed", "Hosts", hostNames(steered), "Alive", len(alive))
	}
	d.steeredHosts = steered
	d.readRank = d.readRankIn(steered)
	for _, s := range d.services {
		s.setTargets(time.Now(), d.listedHosts, steered)
	}
}

// hostNames returns the names in the order of the hosts.
func hostNames(hosts []steer.Host) []string {
	list := make([]string, 0, len(hosts))
	for _, h := range hosts {
		list = append(list, h.Name)
	}
	return list
}

// aliveHosts returns the members that are alive and not leaving; d.mu is held.
func (d *Daemon) aliveHosts(now time.Time) []steer.Host {
	alive := d.members.Alive(now)
	hosts := make([]steer.Host, 0, len(alive))
	for i := range alive {
		hosts = append(hosts, steer.Host{Name: alive[i].Name, FailureDomain: alive[i].FailureDomain, Capacity: alive[i].Capacity})
	}
	return hosts
}
