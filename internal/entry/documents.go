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
	logReadTimeout   = 2 * time.Second
	logRetryDelay    = 200 * time.Millisecond
	documentsTimeout = 500 * time.Millisecond
	// peerFallbackAfter is how long a fresh host waits for the log before it serves what its peers say.
	peerFallbackAfter = time.Second
	maxRecentOutcomes = 256
	// restateChecksPerRetention is how many times in a retention a host looks for what it has to restate.
	restateChecksPerRetention = 32
)

// runDocuments follows the log. Only this goroutine appends restatements, and
// only right after it has read the log to its end.
func (d *Daemon) runDocuments() {
	d.fetchDocumentsFromSeeds()
	wait := time.Duration(0)
	longPoll := min(logReadTimeout, d.settings.LogRetention/restateChecksPerRetention)
	var restated time.Time
	for d.ctx.Err() == nil {
		caughtUp, err := d.readLog(wait)
		if err != nil {
			d.handleLogError(err)
			continue
		}
		wait = longPoll
		if caughtUp && time.Since(restated) > longPoll/2 {
			restated = time.Now()
			d.restate()
		}
	}
}

func (d *Daemon) handleLogError(err error) {
	if d.ctx.Err() != nil {
		return
	}
	d.counters.logErrors.Inc()
	d.platLog.Warn("reading the log failed; documents stay as they are", "Error", err.Error())
	d.markReadyFromPeers()
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
	d.logContact.Store(time.Now().UnixNano())
	d.mu.Lock()
	d.reader.SkipTo(reply.First)
	for i := range reply.Records {
		age := time.Duration(reply.NowUnixMillis-reply.Records[i].UnixMillis) * time.Millisecond
		d.applyRecord(&reply.Records[i], time.Now().Add(-age))
	}
	isCurrent := d.reader.Current(reply.Next)
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

// applyRecord takes one record; d.mu is held.
func (d *Daemon) applyRecord(record *plat.Record, appended time.Time) {
	d.counters.recordsRead.Inc()
	decoded, err := ledger.DecodeRecord(record.Body)
	if err != nil {
		// A malformed record has no effect, but its offset counts as read.
		d.counters.recordsMalformed.Inc()
		d.platLog.Warn("log record is malformed and has no effect", "Offset", record.Offset, "Error", err.Error())
		decoded = ledger.Record{}
	}
	d.recordOutcomes(d.reader.Apply(record.Offset, &decoded))
	d.restater.See(appended, record.Offset, &decoded, d.reader)
}

// recordOutcomes records what became of proposals; d.mu is held.
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
	d.recent = append(d.recent, outcomes...)
	if extra := len(d.recent) - maxRecentOutcomes; extra > 0 {
		d.recent = slices.Clone(d.recent[extra:])
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
		d.recomputeHolding(d.aliveHosts(time.Now()))
	}
}

// markReady lets the host serve; d.mu is held.
func (d *Daemon) markReady(cause string) {
	d.ready = true
	d.events.Add(event.Event{Kind: "HostReady", Cause: cause})
	d.log.Info("documents are known; serving", "Cause", cause)
}

// markReadyFromPeers lets a fresh host serve in an outage of the log what its
// peers say is in force. It may be behind until it hears from one that is not.
func (d *Daemon) markReadyFromPeers() {
	d.mu.Lock()
	isWaiting := !d.ready
	d.mu.Unlock()
	if !isWaiting || time.Now().UnixNano()-d.logContact.Load() < int64(peerFallbackAfter) {
		return
	}
	if !d.fetchDocumentsFromMembers() {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.reader.Missing()) == 0 {
		d.markReady("the log is out of reach; peers told the documents in force")
		d.refreshDocuments()
	}
}

func (d *Daemon) fetchDocumentsFromSeeds() {
	d.fetchDocuments(d.seeds())
}

// fetchDocumentsFromMembers asks every other member, and reports whether one of them knew the documents.
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

func (d *Daemon) fetchDocuments(addresses []string) bool {
	results := make(chan bool, len(addresses))
	for _, address := range addresses {
		go func() { results <- d.fetchDocumentsFrom(address) }()
	}
	isAny := false
	for range addresses {
		isAny = <-results || isAny
	}
	return isAny
}

// fetchDocumentsFrom takes the claim of one host, and reports whether that host knew the documents.
func (d *Daemon) fetchDocumentsFrom(address string) bool {
	ctx, cancel := context.WithTimeout(d.ctx, documentsTimeout)
	defer cancel()
	d.mu.Lock()
	known := d.storedTexts()
	d.mu.Unlock()
	reply, err := d.peers.Documents(ctx, address, known)
	if err != nil {
		d.peerLog.Debug("asking a peer for documents failed", "Peer", address, "Error", err.Error())
		return false
	}
	if !reply.Current {
		return false
	}
	d.peerContact.Store(time.Now().UnixNano())
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recordOutcomes(d.reader.Learn(reply.Claim))
	for _, known := range reply.Texts {
		d.reader.AddText(known)
	}
	d.refreshDocuments()
	return true
}

// storedTexts lists the versions whose texts the host has; d.mu is held.
func (d *Daemon) storedTexts() []ledger.Version {
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
