package entry

import (
	"context"
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
	// membersPerPeriod is the number of members for which the heartbeat period of the settings is meant.
	membersPerPeriod = 16
	// strongestShared is how many hosts of each other failure domain a host knows, several times those that callers are steered to.
	strongestShared = 12
	// seedIntroductionEvery is how many introductions there are for one to a seed, where hosts of the own failure domain are known.
	seedIntroductionEvery = 4
	// introducePeriod is how often a fresh host introduces itself to a seed until it is settled.
	introducePeriod = 200 * time.Millisecond
	// keepCounters converts the time that keys are remembered into heartbeat counters.
	keyRetention = 10 * time.Minute
)

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

// introduce exchanges tables with others until this host is settled. When the
// whole system starts, the seeds hear of everyone in the first round and tell it
// in the second; where hosts are many, those of the own failure domain do.
func (d *Daemon) introduce() {
	for turn := uint64(0); d.ctx.Err() == nil && !d.checkSettled(time.Now()); turn++ {
		if address, info := d.introductionPartner(turn); address != "" {
			d.done.Go(func() { d.exchangeTables(d.ctx, address, info) })
		}
		d.pause(introducePeriod)
	}
	d.mu.Lock()
	isFullMesh := d.isFullMesh()
	d.mu.Unlock()
	if isFullMesh {
		d.contactSeeds()
	}
	d.contactRelays()
}

// introductionPartner returns whom a fresh host introduces itself to next; info is empty for a seed.
func (d *Daemon) introductionPartner(turn uint64) (address string, info member.Info) {
	if turn%seedIntroductionEvery != 0 {
		if near, found := d.nearMember(turn); found {
			return near.PeerAddress, near
		}
	}
	seeds := d.seeds()
	if len(seeds) == 0 {
		return "", member.Info{}
	}
	return seeds[(d.incarnation+turn)%uint64(len(seeds))], member.Info{}
}

// nearMember returns a living member of the own failure domain, another one each
// turn, if callers are steered to many hosts.
func (d *Daemon) nearMember(turn uint64) (member.Info, bool) {
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
	return near[(d.incarnation+turn)%uint64(len(near))], true
}

// contactRelays introduces the host to those that tell it how far the store is
// known and which hosts are steered to; by gossip they would learn of it seconds later.
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

// checkSettled looks whether this host knows the others by now, and takes up its part among them if so.
func (d *Daemon) checkSettled(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.settling.IsOver() {
		return true
	}
	alive := d.aliveHosts(now)
	if !d.settling.Note(now, hostNames(d.selectSteered(alive))) {
		return false
	}
	d.log.Info("the other entry hosts are known", "Alive", len(alive), "AfterMillis", now.Sub(d.started).Milliseconds())
	d.recomputeHolders(alive)
	return true
}

// heartbeatPeriod grows with the number of members on a platform with a store:
// hosts that callers are steered to show by their beacons that they live, and
// nothing is urgent about the others.
func (d *Daemon) heartbeatPeriod() time.Duration {
	if d.adapter.Store == nil {
		return d.settings.HeartbeatPeriod
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	factor := max(1, float64(len(d.members.Members(time.Now())))/membersPerPeriod)
	d.members.SetTiming(d.timing().WithFactor(factor))
	return time.Duration(factor * float64(d.settings.HeartbeatPeriod))
}

// seeds lists the peer addresses of hosts to begin with: those of the settings,
// and those on the platform's list, because the former may all have been replaced.
func (d *Daemon) seeds() []string {
	addresses := slices.Clone(d.settings.Peers)
	d.mu.Lock()
	defer d.mu.Unlock()
	listed := append(slices.Clone(d.hosts), d.storeSeeds...)
	for i := range listed {
		h := &listed[i]
		if h.Role == plat.RoleEntry && h.State == plat.StateLive && !slices.Contains(addresses, h.Address) {
			addresses = append(addresses, h.Address)
		}
	}
	return slices.DeleteFunc(addresses, func(a string) bool { return a == d.settings.PeerAdvertised })
}

// contactSeeds introduces the host to others that it may not know yet.
func (d *Daemon) contactSeeds() {
	for _, address := range d.seeds() {
		d.done.Go(func() { d.exchangeTables(d.ctx, address, member.Info{}) })
	}
}

func (d *Daemon) runHeartbeat() {
	now := time.Now()
	d.mu.Lock()
	d.members.Tick(now)
	d.advanceKeys()
	partner, found := d.members.Partner(now)
	d.refreshHolders()
	keep := d.keptPeers(now, partner.PeerAddress)
	d.mu.Unlock()
	d.lastTick.Store(now.UnixNano())
	if !found {
		d.contactSeeds()
		return
	}
	d.peers.Keep(keep)
	d.done.Go(func() { d.exchangeTables(d.ctx, partner.PeerAddress, partner.Info) })
}

// keptPeers lists the peer addresses whose connections stay open. On a platform
// with a store only steered hosts are asked again and again; d.mu is held.
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

// advanceKeys lets the keys of the current counter in before anyone can be told
// of it; d.mu is held.
func (d *Daemon) advanceKeys() {
	d.keysMu.Lock()
	defer d.keysMu.Unlock()
	d.keys.Advance(d.members.Self().Counter, uint64(keyRetention/d.settings.HeartbeatPeriod))
}

// exchangeTables exchanges tables with one host; info is empty for a seed.
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
	if reply.IsLacking {
		d.sendRows(ctx, address, &reply)
	}
}

// sendRows sends the rows that the other host said it lacks.
func (d *Daemon) sendRows(ctx context.Context, address string, reply *peer.Heartbeat) {
	now := time.Now()
	own := d.newHeartbeat(now, reply.FailureDomain)
	d.mu.Lock()
	own.Members = d.members.Rows(now, reply.Counts, d.tableScope(reply.FailureDomain))
	d.mu.Unlock()
	if _, err := d.peers.Heartbeat(ctx, address, &own); err != nil {
		d.peerLog.Debug("sending member rows failed", "Peer", reply.Sender, "Error", err.Error())
	}
}

func (d *Daemon) heartbeatFailed(info member.Info, err error) {
	d.counters.heartbeatsFailed.Inc()
	d.peerLog.Debug("heartbeat failed", "Peer", info.Name, "Error", err.Error())
	if status.Code(eris.Cause(err)) == codes.Unavailable && info.Name != "" {
		d.mu.Lock()
		d.members.Refused(time.Now(), info.Name, info.Incarnation)
		d.refreshHolders()
		d.mu.Unlock()
	}
}

// tableScope is what a host of a failure domain needs of the table: where steered
// hosts are many, only the strongest of other domains, which callers may be
// steered to. Whole tables everywhere grow with the square of the hosts; d.mu is held.
func (d *Daemon) tableScope(failureDomain string) member.Scope {
	if d.adapter.Store == nil || d.isFullMesh() {
		return member.Scope{}
	}
	return member.Scope{FailureDomain: failureDomain, Strongest: strongestShared}
}

// newHeartbeat returns this host's side of an exchange with one of a failure domain, which is empty if it is not known.
func (d *Daemon) newHeartbeat(now time.Time, failureDomain string) peer.Heartbeat {
	d.mu.Lock()
	defer d.mu.Unlock()
	return peer.Heartbeat{
		Sender:           d.settings.Name,
		FailureDomain:    d.settings.FailureDomain,
		Counts:           d.members.Counts(now, d.tableScope(failureDomain)),
		DocumentsThrough: d.reader.Through(),
		Sent:             now,
	}
}

// mergeReply merges a reply and estimates the lead of the peer's clock as the
// difference to the middle of the exchange.
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
	rows := d.members.Rows(now, received.Counts, d.tableScope(received.FailureDomain))
	d.mu.Unlock()
	isLacking := d.mergeHeartbeat(received, now)
	reply := d.newHeartbeat(now, received.FailureDomain)
	reply.Members = rows
	reply.IsLacking = isLacking
	return reply
}

// mergeHeartbeat takes a table and reports whether rows of it are lacking here.
func (d *Daemon) mergeHeartbeat(received *peer.Heartbeat, now time.Time) bool {
	d.lastPeerContact.Store(now.UnixNano())
	d.mu.Lock()
	before := len(d.members.Alive(now))
	d.members.Merge(now, received.Members)
	isLacking := d.members.MergeCounts(now, received.Counts)
	after := len(d.members.Alive(now))
	isBehind := received.DocumentsThrough > d.reader.Through()
	sender, found := d.members.Lookup(now, received.Sender)
	d.refreshHolders()
	d.mu.Unlock()
	if before != after {
		d.events.Add(event.Event{Kind: "MembersChanged", Cause: "heartbeat of " + received.Sender})
	}
	if isBehind && found && now.UnixNano()-d.lastLogContact.Load() > int64(2*d.settings.HeartbeatPeriod) {
		d.done.Go(func() { d.fetchDocumentsFrom(sender.PeerAddress) })
	}
	return isLacking
}

// runHosts follows the platform's list of hosts.
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

// dropMalformedRows drops the rows of a list that nobody could use, and counts them.
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

func (d *Daemon) replaceHosts(listed []plat.Host) {
	hosts := d.dropMalformedRows(listed)
	d.mu.Lock()
	isFirst := d.hosts == nil
	d.hosts = hosts
	d.mu.Unlock()
	if isFirst {
		d.contactSeeds()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recomputeHolders(d.aliveHosts(time.Now()))
}

// refreshHolders recomputes which targets this host holds, if the living hosts
// have changed; d.mu is held.
func (d *Daemon) refreshHolders() {
	hosts := d.aliveHosts(time.Now())
	if slices.Equal(hosts, d.lastAliveHosts) {
		return
	}
	d.lastAliveHosts = hosts
	if d.adapter.Store != nil && slices.Equal(d.selectSteeredIfSettled(hosts), d.steeredHosts) {
		// Hundreds of weak hosts come and go without a change for the targets.
		return
	}
	d.recomputeHolders(hosts)
}

// selectSteeredIfSettled lists the hosts that callers are steered to, none until this host knows the others; d.mu is held.
func (d *Daemon) selectSteeredIfSettled(hosts []steer.Host) []steer.Host {
	if !d.settling.IsOver() {
		return nil
	}
	return d.selectSteered(hosts)
}

// recomputeHolders takes a changed list of targets or documents into account; d.mu is held.
func (d *Daemon) recomputeHolders(hosts []steer.Host) {
	if d.adapter.Store != nil {
		d.recomputeSteered(hosts)
		return
	}
	for _, s := range d.services {
		s.setTargets(time.Now(), d.hosts, steer.Holders(s.name, hosts, s.document.Holders))
	}
}

// recomputeSteered decides which hosts callers are steered to; these hold every
// service, because the requests of one caller go to several; d.mu is held.
func (d *Daemon) recomputeSteered(hosts []steer.Host) {
	steered := d.selectSteeredIfSettled(hosts)
	d.startSilenceTimers(d.steeredHosts, steered, time.Now())
	if !slices.Equal(steered, d.steeredHosts) {
		d.log.Info("callers are steered to other hosts", "Hosts", hostNames(steered), "Alive", len(hosts))
	}
	d.steeredHosts = steered
	d.readRank = d.readRankIn(steered)
	for _, s := range d.services {
		s.setTargets(time.Now(), d.hosts, steered)
	}
}

func hostNames(hosts []steer.Host) []string {
	list := make([]string, 0, len(hosts))
	for _, h := range hosts {
		list = append(list, h.Name)
	}
	return list
}

// aliveHosts lists the members that callers may be sent to; d.mu is held.
func (d *Daemon) aliveHosts(now time.Time) []steer.Host {
	alive := d.members.Alive(now)
	hosts := make([]steer.Host, 0, len(alive))
	for i := range alive {
		hosts = append(hosts, steer.Host{Name: alive[i].Name, FailureDomain: alive[i].FailureDomain, Capacity: alive[i].Capacity})
	}
	return hosts
}
