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
	// logReadWait is how long a read waits at most for the next record.
	logReadWait      = 2 * time.Second
	logRetryDelay    = 200 * time.Millisecond
	documentsTimeout = 500 * time.Millisecond
	// peerFallbackAfter is how long a new host waits for the log before it serves the documents of its peers.
	peerFallbackAfter = time.Second
	maxRecentOutcomes = 256
	// republishChecksPerRetention limits the wait of a read to the retention time of the
	// log divided by it. Only between reads does a host check which documents it must
	// append again.
	republishChecksPerRetention = 32
)

// runDocuments reads the log of documents until the daemon stops. Only this goroutine
// republishes documents, which means that it appends them to the log again. It does so
// only right after it has read the log to its end.
func (d *Daemon) runDocuments() {
	d.fetchDocumentsFromSeeds()
	wait := time.Duration(0)
	longPoll := min(logReadWait, d.settings.LogRetention/republishChecksPerRetention)
	var lastRepublish time.Time
	for d.ctx.Err() == nil {
		caughtUp, err := d.readLog(wait)
		if err != nil {
			d.handleLogError(err)
			continue
		}
		wait = longPoll
		if caughtUp && time.Since(lastRepublish) > longPoll/2 {
			lastRepublish = time.Now()
			d.republish()
		}
	}
}

func (d *Daemon) handleLogError(err error) {
	if d.ctx.Err() != nil {
		return
	}
	d.counters.readErrors.Inc()
	d.platLog.Warn("reading the document log failed; documents stay as they are", "Error", err.Error())
	d.markReadyFromPeers()
	select {
	case <-d.ctx.Done():
	case <-time.After(logRetryDelay):
	}
}

// readLog applies the next records of the log, for which it waits at most wait. It
// reports whether the reader is up to date with the end of the log.
func (d *Daemon) readLog(wait time.Duration) (bool, error) {
	d.mu.Lock()
	from := d.reader.Next()
	d.mu.Unlock()
	reply, err := d.platform.Read(d.ctx, plat.StreamDocuments, from, wait)
	if err != nil {
		return false, err
	}
	d.lastPlatformRead.Store(time.Now().UnixNano())
	d.mu.Lock()
	// The log has deleted the records before reply.First.
	d.reader.SkipTo(reply.First)
	for i := range reply.Records {
		age := time.Duration(reply.NowUnixMillis-reply.Records[i].UnixMillis) * time.Millisecond
		d.applyRecord(&reply.Records[i], time.Now().Add(-age))
	}
	isCurrent := d.reader.Current(reply.Next)
	// A reader that is at the end of the log and not up to date lacks documents whose records the log has deleted.
	isStuck := !isCurrent && d.reader.Next() >= reply.Next
	if isCurrent && !d.ready {
		d.markReady("read the log to its end")
	}
	d.refreshDocuments()
	d.mu.Unlock()
	if isStuck {
		d.fetchDocumentsFromMembers()
	}
	return isCurrent, nil
}

// applyRecord applies a log record, which was appended at the given time of this host's clock; d.mu is held.
func (d *Daemon) applyRecord(record *plat.Record, appended time.Time) {
	d.counters.recordsRead.Inc()
	decoded, err := ledger.DecodeRecord(record.Body)
	if err != nil {
		// A malformed record has no effect, but the reader must go on to the next offset.
		d.counters.recordsMalformed.Inc()
		d.platLog.Warn("log record is malformed and has no effect", "Offset", record.Offset, "Error", err.Error())
		decoded = ledger.Record{}
	}
	d.recordOutcomes(d.reader.Apply(record.Offset, &decoded))
	d.republisher.Observe(appended, record.Offset, &decoded, d.reader)
}

// recordOutcomes records the accepted and refused proposals in the events, the log and the recent outcomes; d.mu is held.
func (d *Daemon) recordOutcomes(outcomes []ledger.Outcome) {
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
	if extra := len(d.recentOutcomes) - maxRecentOutcomes; extra > 0 {
		d.recentOutcomes = slices.Clone(d.recentOutcomes[extra:])
	}
}

// refreshDocuments applies the reader's newer documents to their services; d.mu is held.
func (d *Daemon) refreshDocuments() {
	if !d.ready {
		return
	}
	isChanged := false
	for _, stored := range d.reader.Documents() {
		s, found := d.services[stored.Service]
		if stored.Text == "" || (found && s.version >= stored.Version.Version) {
			continue
		}
		document, err := spec.Parse(stored.Service, []byte(stored.Text))
		if err != nil {
			continue
		}
		isChanged = true
		if !found {
			s = newService(d, stored.Service, &document)
			d.services[stored.Service] = s
		}
		s.setDocument(time.Now(), &document, stored.Version.Version)
		d.events.Add(event.Event{Kind: "DocumentInForce", Service: stored.Service, Cause: stored.Author})
	}
	if isChanged {
		d.recomputeHolders(d.aliveHosts(time.Now()))
	}
}

// markReady makes the host accept requests; d.mu is held.
func (d *Daemon) markReady(cause string) {
	d.ready = true
	d.events.Add(event.Event{Kind: "HostReady", Cause: cause})
	d.log.Info("ready to serve requests", "Cause", cause)
}

// markReadyFromPeers makes a new host serve the documents of its peers during an outage
// of the log. They may be out of date until a peer that is up to date replies.
func (d *Daemon) markReadyFromPeers() {
	d.mu.Lock()
	isWaiting := !d.ready
	d.mu.Unlock()
	if !isWaiting || time.Now().UnixNano()-d.lastPlatformRead.Load() < int64(peerFallbackAfter) {
		return
	}
	if !d.fetchDocumentsFromMembers() {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.reader.MissingTexts()) == 0 {
		d.markReady("the log is unreachable; read the documents in force from peers")
		d.refreshDocuments()
	}
}

func (d *Daemon) fetchDocumentsFromSeeds() {
	d.fetchDocuments(d.seeds())
}

// fetchDocumentsFromMembers requests documents from every other member and reports whether one of them was ready.
func (d *Daemon) fetchDocumentsFromMembers() bool {
	d.mu.Lock()
	var addresses []string
	for _, m := range d.members.Members(time.Now()) {
		if m.Name != d.settings.Name {
			addresses = append(addresses, m.PeerAddress)
		}
	}
	d.mu.Unlock()
	return d.fetchDocuments(addresses)
}

// fetchDocuments requests documents from all addresses at once and reports whether one of the hosts was ready.
func (d *Daemon) fetchDocuments(addresses []string) bool {
	results := make(chan bool, len(addresses))
	for _, address := range addresses {
		go func() { results <- d.fetchDocumentsFrom(address) }()
	}
	isAnyReady := false
	for range addresses {
		isAnyReady = <-results || isAnyReady
	}
	return isAnyReady
}

// fetchDocumentsFrom requests the versions in force and the missing texts from one
// host. It reports whether that host was ready.
func (d *Daemon) fetchDocumentsFrom(address string) bool {
	ctx, cancel := context.WithTimeout(d.ctx, documentsTimeout)
	defer cancel()
	d.mu.Lock()
	stored := d.storedTexts()
	d.mu.Unlock()
	reply, err := d.peers.Documents(ctx, address, stored)
	if err != nil {
		d.peerLog.Debug("requesting documents from a peer failed", "Peer", address, "Error", err.Error())
		return false
	}
	if !reply.Current {
		return false
	}
	d.lastPeerContact.Store(time.Now().UnixNano())
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recordOutcomes(d.reader.ApplySnapshot(reply.Snapshot))
	for _, document := range reply.Texts {
		d.reader.AddText(document)
	}
	d.refreshDocuments()
	return true
}

// storedTexts lists the versions whose texts this host has; d.mu is held.
func (d *Daemon) storedTexts() []ledger.Version {
	var stored []ledger.Version
	for _, document := range d.reader.Documents() {
		if document.Text != "" {
			stored = append(stored, document.Version)
		}
	}
	return stored
}

// Documents implements peer.Handler. stored holds the versions whose texts the other host already has, and the reply leaves these out.
func (d *Daemon) Documents(stored map[ledger.Version]bool) peer.Documents {
	d.mu.Lock()
	defer d.mu.Unlock()
	reply := peer.Documents{Snapshot: d.reader.Snapshot(), Current: d.ready, Texts: make(map[ledger.Version]ledger.Document)}
	for _, document := range d.reader.Documents() {
		if !stored[document.Version] {
			reply.Texts[document.Version] = document
		}
	}
	return reply
}

// republish appends documents to the log again before the retention time removes them.
// The alive hosts share this work by their position in the list of alive hosts.
func (d *Daemon) republish() {
	d.mu.Lock()
	hosts := d.aliveHosts(time.Now())
	rank := slices.IndexFunc(hosts, func(h steer.Host) bool { return h.Name == d.settings.Name })
	due := d.republisher.Due(time.Now(), d.reader, max(rank, 0), len(hosts))
	d.mu.Unlock()
	for i := range due {
		due[i].ID = rand.Text()
		// An index record holds a new snapshot of the versions in force, made by this host. The text of a document keeps its author.
		if due[i].Kind == ledger.KindIndex {
			due[i].Author = d.settings.Name
		}
		encoded, err := due[i].Encode()
		if err != nil {
			continue
		}
		if _, err := d.platform.Append(d.ctx, plat.StreamDocuments, encoded); err != nil {
			d.platLog.Warn("republishing a document failed; will be retried", "Error", err.Error())
			return
		}
		d.counters.recordsAppended.Inc()
	}
}
