package ledger

import (
	"time"
)

// Republisher decides when a host appends Text and Index records for the documents
// in force, so that these outlive the retention time of the log. Every host runs
// one. The host with rank zero appends when the records of a document are as old
// as a quarter of the retention time. The other hosts wait longer by their rank, up
// to half of the retention time, and append only if no earlier host did.
type Republisher struct {
	retention time.Duration
	// indexOffset is the offset of the newest Index that a new reader can start
	// from, or zero if none was observed.
	indexOffset uint64
	// indexTime is no later than the append of the oldest record that such a reader needs.
	indexTime time.Time
	// textTimes is when a Proposal or Text of a version was last appended.
	textTimes map[Version]time.Time
}

// NewRepublisher returns a republisher for a log that deletes records after the
// retention time. An Index or text that it has not observed counts as appended at
// now, because the hosts from which this host received the documents have
// observed it and republish it in time.
func NewRepublisher(retention time.Duration, now time.Time) *Republisher {
	return &Republisher{retention: retention, indexTime: now, textTimes: make(map[Version]time.Time)}
}

// Observe records that a record was appended at a time, which must be by the clock
// that Due is called with. Call it for every record, after Reader.Apply.
func (p *Republisher) Observe(appended time.Time, offset uint64, record *Record, reader *Reader) {
	switch record.Kind {
	case KindProposal:
		p.textTimes[Version{Service: record.Service, Version: offset}] = appended
	case KindText:
		p.textTimes[Version{Service: record.Service, Version: record.Version}] = appended
	case KindIndex:
		p.observeIndex(appended, offset, record, reader)
	}
}

// observeIndex ignores an Index that a new reader can't use for a whole retention
// time. A host that was paused may append its Index late. Such an Index needs records
// from before the previous Index, and is useless as soon as the log deletes these.
func (p *Republisher) observeIndex(appended time.Time, offset uint64, record *Record, reader *Reader) {
	takesAllIntoAccount := record.Through+1 == offset
	takesPreviousIntoAccount := p.indexOffset > 0 && record.Through >= p.indexOffset
	if reader.Through() < offset || (!takesAllIntoAccount && !takesPreviousIntoAccount) {
		return
	}
	previous := p.indexTime
	p.indexOffset = offset
	p.indexTime = appended
	if !takesAllIntoAccount {
		// The Index needs records that were appended before it, but none from before the previous one.
		p.indexTime = previous
	}
}

// Due returns the Text and Index records that a host must append now. The rank is
// its position among count live hosts, from zero. The records have no ID, and an
// Index has no Author either.
func (p *Republisher) Due(now time.Time, reader *Reader, rank, count int) []Record {
	wait := p.retention/4 + p.retention/4*time.Duration(rank)/time.Duration(max(count, 1))
	var due []Record
	inForce := make(map[Version]time.Time)
	for _, d := range reader.Documents() {
		appended, found := p.textTimes[d.Version]
		if !found {
			appended = now
		}
		inForce[d.Version] = appended
		if d.Text != "" && now.Sub(appended) > wait {
			due = append(due, Record{Kind: KindText, Service: d.Service, Version: d.Version.Version, Text: d.Text, Author: d.Author})
		}
	}
	p.textTimes = inForce
	// The Index is appended only after the reader has read these texts from the log,
	// so that its snapshot takes them into account.
	if len(due) > 0 {
		return due
	}
	if now.Sub(p.indexTime) > wait && reader.Through() > 0 {
		snapshot := reader.Snapshot()
		due = append(due, Record{Kind: KindIndex, Through: snapshot.Through, InForce: snapshot.InForce})
	}
	return due
}
