package entry

import (
	"context"
	"crypto/rand"
	"slices"
	"time"

	"gitlab.com/curranttiller/curranttiller/internal/peer"
	"gitlab.com/curranttiller/curranttiller/internal/plat"
	"gitlab.com/curranttiller/curranttiller/pkg/event"
	"gitlab.com/curranttiller/curranttiller/pkg/ledger"
	"gitlab.com/curranttiller/curranttiller/pkg/spec"
	"gitlab.com/curranttiller/curranttiller/pkg/steer"
)

const (
	logReadWait      = 2 * time.Second
	logRetryDelay    = 200 * time.Millisecond
	documentsTimeout = 500 * time.Millisecond
	// peersSuffice is how long a fresh host waits for the log before it serves what its peers say.
	peersSuffice = time.Second
	outcomesKept = 256
	// retentionParts is how many times in a retention a host looks for what it has to restate.
	retentionParts = 32
)

// runDocuments follows the log. Only this goroutine appends restatements, and
// only right after it has read the log to its end.
func (d *Daemon) runDocuments() {
	d.learnFromSeeds()
	wait := time.Duration(0)
	longPoll := min(logReadWait, d.settings.LogRetention/retentionParts)
	var restated time.Time
	for d.ctx.Err() == nil {
		caughtUp, err := d.readLog(wait)
		if err != nil {
			d.logFailed(err)
			continue
		}
		wait = longPoll
		if caughtUp && time.Since(restated) > longPoll/2 {
			restated = time.Now()
			d.restate()
		}
	}
}

func (d *Daemon) logFailed(err error) {
	if d.ctx.Err() != nil {
		return
	}
	d.counters.logErrors.Inc()
	d.platLog.Warn("reading the log failed; documents stay as they are", "Error", err.Error())
	d.becomeReadyByPeers()
	select {
	case <-d.ctx.Done():
	case <-time.After(logRetryDelay):
	}
}

// readLog applies the next records and reports whether the reader knows the whole log.
func (d *Daemon) readLog(wait time.Duration) (bool, error) {
	d.mu.Lock()
	from := d.reader.Next()
	d.mu.Unlock()
	reply, err := d.platform.Read(d.ctx, plat.StreamDocuments, from, wait)
	if err != nil {
		return false, err
	}
	d.lastLogContact.Store(time.Now().UnixNano())
	d.mu.Lock()
	d.reader.SkipTo(reply.First)
	for i := range reply.Records {
		age := time.Duration(reply.NowUnixMillis-reply.Records[i].UnixMillis) * time.Millisecond
		d.applyRecord(&reply.Records[i], time.Now().Add(-age))
	}
	isCurrent := d.reader.Current(reply.Next)
	isStuck := !isCurrent && d.reader.Next() >= reply.Next
	if isCurrent && !d.ready {
		d.becomeReady("read the log to its end")
	}
	d.refreshDocuments()
	d.mu.Unlock()
	if isStuck {
		d.learnFromMembers()
	}
	return isCurrent, nil
}

// applyRecord takes one record; d.mu is held.
func (d *Daemon) applyRecord(record *plat.Record, appended time.Time) {
	d.counters.recordsRead.Inc()
	decoded, err := ledger.DecodeRecord(record.Body)
	if err != nil {
		// A malformed record has no effect, but its offset counts as read.
		d.counters.recordsRefused.Inc()
		d.platLog.Warn("log record is malformed and has no effect", "Offset", record.Offset, "Error", err.Error())
		decoded = ledger.Record{}
	}
	d.noteOutcomes(d.reader.Apply(record.Offset, &decoded))
	d.restater.See(appended, record.Offset, &decoded, d.reader)
}

// noteOutcomes records what became of proposals; d.mu is held.
func (d *Daemon) noteOutcomes(outcomes []ledger.Outcome) {
	for i := range outcomes {
		o := &outcomes[i]
		kind := "DocumentAccepted"
		if !o.Accepted {
			kind = "DocumentRefused"
		}
		d.events.Add(event.Event{Kind: kind, Service: o.Service, Cause: o.Author + ": " + o.Reason})
		d.platLog.Info("document proposal decided", "Service", o.Service, "Offset", o.Offset, "Author", o.Author, "Accepted", o.Accepted, "Reason", o.Reason)
	}
	d.recentOutcomes = append(d.recentOutcomes, outcomes...)
	if extra := len(d.recentOutcomes) - outcomesKept; extra > 0 {
		d.recentOutcomes = slices.Clone(d.recentOutcomes[extra:])
	}
}

// refreshDocuments puts the documents in force that the reader knows; d.mu is held.
func (d *Daemon) refreshDocuments() {
	if !d.ready {
		return
	}
	isChanged := false
	for _, held := range d.reader.Documents() {
		s, found := d.services[held.Service]
		if held.Text == "" || (found && s.version >= held.Version.Version) {
			continue
		}
		document, err := spec.Parse(held.Service, []byte(held.Text))
		if err != nil {
			continue
		}
		isChanged = true
		if !found {
			s = newService(d, held.Service, &document)
			d.services[held.Service] = s
		}
		s.setDocument(time.Now(), &document, held.Version.Version)
		d.events.Add(event.Event{Kind: "DocumentInForce", Service: held.Service, Cause: held.Author})
	}
	if isChanged {
		d.recomputeHolders(d.aliveHosts(time.Now()))
	}
}

// becomeReady lets the host serve; d.mu is held.
func (d *Daemon) becomeReady(cause string) {
	d.ready = true
	d.events.Add(event.Event{Kind: "HostReady", Cause: cause})
	d.log.Info("documents are known; serving", "Cause", cause)
}

// becomeReadyByPeers lets a fresh host serve in an outage of the log what its
// peers say is in force. It may be behind until it hears from one that is not.
func (d *Daemon) becomeReadyByPeers() {
	d.mu.Lock()
	isWaiting := !d.ready
	d.mu.Unlock()
	if !isWaiting || time.Now().UnixNano()-d.lastLogContact.Load() < int64(peersSuffice) {
		return
	}
	if !d.learnFromMembers() {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.reader.Missing()) == 0 {
		d.becomeReady("the log is out of reach; peers told the documents in force")
		d.refreshDocuments()
	}
}

func (d *Daemon) learnFromSeeds() {
	d.learnFromAll(d.seeds())
}

// learnFromMembers asks every other member, and reports whether one of them knew the documents.
func (d *Daemon) learnFromMembers() bool {
	d.mu.Lock()
	var addresses []string
	for _, m := range d.members.Members(time.Now()) {
		if m.Name != d.settings.Name {
			addresses = append(addresses, m.PeerAddress)
		}
	}
	d.mu.Unlock()
	return d.learnFromAll(addresses)
}

func (d *Daemon) learnFromAll(addresses []string) bool {
	results := make(chan bool, len(addresses))
	for _, address := range addresses {
		go func() { results <- d.learnFrom(address) }()
	}
	isAny := false
	for range addresses {
		isAny = <-results || isAny
	}
	return isAny
}

// learnFrom takes the claim of one host, and reports whether that host knew the documents.
func (d *Daemon) learnFrom(address string) bool {
	ctx, cancel := context.WithTimeout(d.ctx, documentsTimeout)
	defer cancel()
	d.mu.Lock()
	known := d.knownTexts()
	d.mu.Unlock()
	reply, err := d.peers.Documents(ctx, address, known)
	if err != nil {
		d.peerLog.Debug("asking a peer for documents failed", "Peer", address, "Error", err.Error())
		return false
	}
	if !reply.Current {
		return false
	}
	d.lastPeerContact.Store(time.Now().UnixNano())
	d.mu.Lock()
	defer d.mu.Unlock()
	d.noteOutcomes(d.reader.Learn(reply.Claim))
	for _, known := range reply.Texts {
		d.reader.AddText(known)
	}
	d.refreshDocuments()
	return true
}

// knownTexts lists the versions whose texts the host has; d.mu is held.
func (d *Daemon) knownTexts() []ledger.Version {
	var known []ledger.Version
	for _, held := range d.reader.Documents() {
		if held.Text != "" {
			known = append(known, held.Version)
		}
	}
	return known
}

// Documents implements peer.Handler.
func (d *Daemon) Documents(known map[ledger.Version]bool) peer.Documents {
	d.mu.Lock()
	defer d.mu.Unlock()
	reply := peer.Documents{Claim: d.reader.Claim(), Current: d.ready, Texts: make(map[ledger.Version]ledger.Document)}
	for _, held := range d.reader.Documents() {
		if !known[held.Version] {
			reply.Texts[held.Version] = held
		}
	}
	return reply
}

// restate appends what is due, so that the documents outlive the log's retention.
func (d *Daemon) restate() {
	d.mu.Lock()
	hosts := d.aliveHosts(time.Now())
	rank := slices.IndexFunc(hosts, func(h steer.Host) bool { return h.Name == d.settings.Name })
	due := d.restater.Due(time.Now(), d.reader, max(rank, 0), len(hosts))
	d.mu.Unlock()
	for i := range due {
		due[i].ID = rand.Text()
		if due[i].Kind == ledger.KindIndex {
			due[i].Author = d.settings.Name
		}
		encoded, err := due[i].Encode()
		if err != nil {
			continue
		}
		if _, err := d.platform.Append(d.ctx, plat.StreamDocuments, encoded); err != nil {
			d.platLog.Warn("restating a document failed; it is tried again", "Error", err.Error())
			return
		}
		d.counters.recordsAppended.Inc()
	}
}
