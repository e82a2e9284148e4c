package entry

import (
	"context"
	"slices"
	"time"

	"gitlab.com/curranttiller/curranttiller/internal/peer"
	"gitlab.com/curranttiller/curranttiller/pkg/facts"
)

const (
	// factsTimeout is the timeout of a request for facts, with all its redirects; the reply may share a slow link with those to all other hosts.
	factsTimeout = time.Second
	// maxHostsAsked is how many hosts one request for facts may be sent to, one after another. Redirects distribute a topic through a tree of hosts (followedTopic.tree). If each host serves four others, the tree has a thousand leaves after five levels.
	maxHostsAsked = 8
	// seedRetryMin and seedRetryMax bound the delay between two requests of a starting host to seeds for facts, which doubles each time; a reply takes some ms, but hundreds of hosts may ask the same one.
	seedRetryMin = 50 * time.Millisecond
	seedRetryMax = 300 * time.Millisecond
	// noRedirectAfterRounds is the number of rounds, with one seed each, after which a starting host asks not to be redirected.
	noRedirectAfterRounds = 6
	// bootstrapReadDelay is how long a host leaves the first read of the store to the seeds when the whole system starts, with a random addition of up to the same time; traffic starts seconds after the hosts.
	bootstrapReadDelay = 2 * time.Second
	// restartReadDelay is used in its place by a host that starts while the system is running.
	restartReadDelay = time.Second
	// strongCapacity is the capacity in slots from which a host that starts while the system is running reads the store at once, because it may be a steered one and callers may wait for it; weak hosts of large fleets have some 20.
	strongCapacity = 40
)

// fetchFacts requests from another host the facts that this host lacks, and applies
// them. A request for the whole topic may be redirected to other hosts, unless
// redirectFailed is set because earlier redirects gave no facts. It does nothing while
// another request for the topic is in progress.
func (d *Daemon) fetchFacts(f *followedTopic, address string, redirectFailed bool) {
	d.mu.Lock()
	if f.isFetching {
		d.mu.Unlock()
		return
	}
	f.isFetching = true
	request := peer.FactsRequest{Topic: f.name, From: f.topic.Through(), Era: f.topic.Era(), Requester: facts.Requester{
		Address: d.settings.PeerAdvertised, FailureDomain: d.settings.FailureDomain, RedirectFailed: redirectFailed,
	}}
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		f.isFetching = false
		d.mu.Unlock()
	}()
	ctx, cancel := context.WithTimeout(d.ctx, factsTimeout)
	defer cancel()
	for range maxHostsAsked {
		reply, err := d.peers.Facts(ctx, address, &request)
		if err != nil {
			d.peerLog.Debug("requesting facts from another host failed", "Peer", address, "Topic", f.name, "Error", err.Error())
			return
		}
		if reply.RedirectTo == "" {
			d.applyDelta(f, &reply.Delta, address)
			return
		}
		address = reply.RedirectTo
	}
	d.peerLog.Debug("request for facts was redirected too often", "Topic", f.name)
}

// Facts implements peer.Handler. It answers with the facts from the offset From of the
// request on, or with the whole topic if that belongs to another era. If From is zero or of
// an earlier era, it may redirect the asking host to another one instead. It returns false if this host has not read the topic.
func (d *Daemon) Facts(request *peer.FactsRequest) (peer.FactsReply, bool) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	f := d.topicNamed(request.Topic)
	if f == nil || !f.topic.IsLoaded() {
		return peer.FactsReply{}, false
	}
	from := request.From
	if request.Era != f.topic.Era() {
		from = 0
	}
	if from == 0 && request.Era <= f.topic.Era() {
		if elsewhere := f.tree.Redirect(now, &request.Requester, d.steeredPeerAddresses(request.Requester.FailureDomain, now)); elsewhere != "" {
			return peer.FactsReply{RedirectTo: elsewhere}, true
		}
	}
	return peer.FactsReply{Delta: f.topic.Since(now, from)}, true
}

// steeredPeerAddresses returns the peer addresses of the other steered hosts of a
// failure domain; d.mu is held.
func (d *Daemon) steeredPeerAddresses(failureDomain string, now time.Time) []string {
	var addresses []string
	for _, h := range d.steeredHosts {
		if m, found := d.members.Lookup(now, h.Name); found && h.FailureDomain == failureDomain && h.Name != d.settings.Name {
			addresses = append(addresses, m.PeerAddress)
		}
	}
	return addresses
}

// fetchFactsFromSeeds requests the topics from one seed after another, until this
// host has both topics or the daemon closes.
func (d *Daemon) fetchFactsFromSeeds() {
	delay := seedRetryMin
	// The rounds are counted from the incarnation, which spreads the hosts over the seeds.
	for round := d.incarnation; ; round++ {
		d.pause(delay)
		delay = min(2*delay, seedRetryMax)
		select {
		case <-d.ctx.Done():
			return
		case <-d.topicsRead:
			return
		default:
		}
		seeds := d.seeds()
		if len(seeds) == 0 {
			continue
		}
		address := seeds[round%uint64(len(seeds))]
		redirectFailed := round-d.incarnation >= noRedirectAfterRounds
		for _, f := range []*followedTopic{d.configuration, d.targets} {
			if !d.isTopicRead(f) {
				d.fetchFacts(f, address, redirectFailed)
			}
		}
	}
}

func (d *Daemon) isTopicRead(f *followedTopic) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return f.topic.IsLoaded()
}

// leavesFirstReadToSeeds reports whether this host still waits for the topics from
// the seeds before it reads the store itself, because each first read costs several
// calls and many hosts may start together. Seeds don't wait, nor do strong hosts that
// start while the system is running, because callers may be directed to them at once.
func (d *Daemon) leavesFirstReadToSeeds(now time.Time) bool {
	if len(d.settings.Peers) == 0 || slices.Contains(d.settings.Peers, d.settings.PeerAdvertised) {
		return false
	}
	if !d.settings.Bootstrap && d.settings.Capacity() >= strongCapacity {
		return false
	}
	delay := bootstrapReadDelay
	if !d.settings.Bootstrap {
		delay = restartReadDelay
	}
	return now.Sub(d.startedAt) < delay+time.Duration(d.jitter*float64(delay))
}
