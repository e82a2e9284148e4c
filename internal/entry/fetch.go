package entry

import (
	"context"
	"slices"
	"time"

	"gitlab.com/curranttiller/curranttiller/internal/peer"
	"gitlab.com/curranttiller/curranttiller/pkg/facts"
)

const (
	// factsTimeout bounds the question of what another host knows; the answer may share a small link with those to all other hosts.
	factsTimeout = time.Second
	// maxRedirects bounds how often a question for facts is sent on; a tree of four branches has a thousand leaves in five.
	maxRedirects = 8
	// seedRetryMin and strangersMost bound how long a fresh host waits between two questions to other hosts for facts; an answer takes some ms, but hundreds may ask the same host.
	seedRetryMin = 50 * time.Millisecond
	seedRetryMax = 300 * time.Millisecond
	// insistAfterRequests is the number of questions after which a fresh host wants an answer from whom it asks.
	insistAfterRequests = 6
	// bootstrapReadDelay is how long the first reading is left to the seeds when the whole system starts; traffic starts seconds after the hosts.
	bootstrapReadDelay = 2 * time.Second
	// restartReadDelay is the same for a host that starts again later.
	restartReadDelay = time.Second
	// strongCapacity is the number of slots from which a host may be one that callers wait for; weak hosts of large fleets have some 20.
	strongCapacity = 40
)

// fetchFacts asks another host for what it knows beyond this host's knowledge. A host that wants the whole topic may be sent on to others.
func (d *Daemon) fetchFacts(f *followedTopic, address string, insists bool) {
	d.mu.Lock()
	if f.isFetching {
		d.mu.Unlock()
		return
	}
	f.isFetching = true
	question := peer.FactsQuestion{Topic: f.name, From: f.topic.Through(), Asker: facts.Asker{
		Address: d.settings.PeerAdvertised, FailureDomain: d.settings.FailureDomain, Insists: insists,
	}}
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		f.isFetching = false
		d.mu.Unlock()
	}()
	ctx, cancel := context.WithTimeout(d.ctx, factsTimeout)
	defer cancel()
	for range maxRedirects {
		answer, err := d.peers.Facts(ctx, address, &question)
		if err != nil {
			d.peerLog.Debug("asking another host for facts failed", "Peer", address, "Topic", f.name, "Error", err.Error())
			return
		}
		if answer.Elsewhere == "" {
			d.applyDelta(f, &answer.Delta, address)
			return
		}
		address = answer.Elsewhere
	}
	d.peerLog.Debug("asking for facts was sent on too often", "Topic", f.name)
}

// Facts implements peer.Handler.
func (d *Daemon) Facts(question *peer.FactsQuestion) (peer.FactsAnswer, bool) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	f := d.topicNamed(question.Topic)
	if f == nil || !f.topic.IsKnown() {
		return peer.FactsAnswer{}, false
	}
	if question.From == 0 {
		if elsewhere := f.tree.Redirect(now, &question.Asker, d.steeredPeerAddresses(question.Asker.FailureDomain, now)); elsewhere != "" {
			return peer.FactsAnswer{Elsewhere: elsewhere}, true
		}
	}
	return peer.FactsAnswer{Delta: f.topic.Since(now, question.From)}, true
}

// steeredPeerAddresses lists the peer addresses of the steered hosts of another failure domain; d.mu is held.
func (d *Daemon) steeredPeerAddresses(failureDomain string, now time.Time) []string {
	var addresses []string
	for _, h := range d.steeredHosts {
		if m, found := d.members.Lookup(now, h.Name); found && h.FailureDomain == failureDomain && h.Name != d.settings.Name {
			addresses = append(addresses, m.PeerAddress)
		}
	}
	return addresses
}

// fetchFactsFromSeeds asks the seeds of the settings in turn for facts until all are known.
func (d *Daemon) fetchFactsFromSeeds() {
	delay := seedRetryMin
	for turn := d.incarnation; ; turn++ {
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
		address := seeds[turn%uint64(len(seeds))]
		insists := turn-d.incarnation >= insistAfterRequests
		for _, f := range []*followedTopic{d.configuration, d.targets} {
			if !d.isTopicRead(f) {
				d.fetchFacts(f, address, insists)
			}
		}
	}
}

func (d *Daemon) isTopicRead(f *followedTopic) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return f.topic.IsKnown()
}

// leavesFirstReadToSeeds reports whether a host leaves the first reading of the store to
// the seeds, which tell it: when many hosts start together, each reading costs
// several calls. Strong hosts, to which callers are steered, do not wait when they start again.
func (d *Daemon) leavesFirstReadToSeeds(now time.Time) bool {
	if len(d.settings.Peers) == 0 || slices.Contains(d.settings.Peers, d.settings.PeerAdvertised) {
		return false
	}
	if !d.settings.Bootstrap && d.settings.Capacity() >= strongCapacity {
		return false
	}
	patience := bootstrapReadDelay
	if !d.settings.Bootstrap {
		patience = restartReadDelay
	}
	return now.Sub(d.started) < patience+time.Duration(d.jitter*float64(patience))
}
