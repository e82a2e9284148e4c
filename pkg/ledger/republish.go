package ledger

import (
	"time"
)

// Republisher decides when a host appends Text and Index records for the documents in
// force, so that these outlive the retention time of the log. Every host runs one. The
// host with rank zero appends when a record is older than a quarter of the retention
// time. The other hosts wait longer, in order of rank and up to half of the retention
// time, and append only if no host before them did.
type Republisher struct {
	retention time.Duration
	// indexOffset is the offset of the newest Index that a new reader can start
	// from, or zero if none was observed.
	indexOffset uint64
	// indexTime is a lower bound of the time when the oldest record that such a reader
	// needs was appended.
	indexTime time.Time
	// textTimes has the time when a Proposal or Text of each version was last appended.
	textTimes map[Version]time.Time
}

// NewRepublisher returns a republisher for a log that deletes records after the
// retention time. Before the first usable Index is observed, an Index counts as appended
// at now. A text that was not observed counts as appended at the first call of Due that
// finds it in force. The hosts from which this host received the documents have observed
// these records and republish them in time.
func NewRepublisher(retention time.Duration, now time.Time) *Republisher {
	return &Republisher{retention: retention, indexTime: now, textTimes: make(map[Version]time.Time)}
}

// Observe stores the time when a record of the log was appended. The time must be by
// the same clock as the time passed to Due. Call Observe for every record, after Reader.Apply.
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

// observeIndex stores the offset and the time of an Index that a new reader can start
// from. It ignores an Index while the reader has a gap before it. It also ignores an
// Index that takes neither all records before it nor the previous usable Index into
// account, for example the late Index of a host that was paused. A new reader that starts
// from it needs records from before the previous Index. It can't use the Index any more once
// the log has deleted these, which happens before the Index is as old as the retention time.
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
		// A new reader that starts from this Index also needs records from before it, but
		// none from before the previous Index.
		p.indexTime = previous
	}
}

// Due returns the Text and Index records that this host must append now. The rank is
// the position of the host among count live hosts, from zero. The caller must set the
// ID of the records and the Author of an Index.
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
	// The Index is due only after the reader has read these texts from the log, so that
	// its snapshot takes them into account.
	if len(due) > 0 {
		return due
	}
	if now.Sub(p.indexTime) > wait && reader.Through() > 0 {
		snapshot := reader.Snapshot()
		due = append(due, Record{Kind: KindIndex, Through: snapshot.Through, InForce: snapshot.InForce})
	}
	return due
}
