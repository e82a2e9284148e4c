package ledger

import (
	"time"
)

// Republisher decides when a host restates documents, so that they outlive the
// retention of the log. Hosts take turns by rank: the first one restates at a
// quarter of the retention and the others follow only if it did not.
type Republisher struct {
	retention time.Duration
	// index is the newest index that a fresh reader could start from.
	indexOffset uint64
	indexTime   time.Time
	textTimes   map[Version]time.Time
}

// NewRepublisher returns a restater for a log that keeps records for retention.
// What it has not seen on the log counts as seen when it starts, since the
// hosts that told it know better and restate in time.
func NewRepublisher(retention time.Duration, now time.Time) *Republisher {
	return &Republisher{retention: retention, indexTime: now, textTimes: make(map[Version]time.Time)}
}

// Observe takes note of a record that was appended at a time. Call it after Reader.Apply.
func (s *Republisher) Observe(appended time.Time, offset uint64, record *Record, reader *Reader) {
	switch record.Kind {
	case KindProposal:
		s.textTimes[Version{Service: record.Service, Version: offset}] = appended
	case KindText:
		s.textTimes[Version{Service: record.Service, Version: record.Version}] = appended
	case KindIndex:
		s.observeIndex(appended, offset, record, reader)
	}
}

// observeIndex counts an index only if a fresh reader could still use it for a
// whole retention. An index that a paused host wrote late reaches back to
// before the previous index and would be useless as soon as that is trimmed.
func (s *Republisher) observeIndex(appended time.Time, offset uint64, record *Record, reader *Reader) {
	isComplete := record.Through+1 == offset
	isRecent := s.indexOffset > 0 && record.Through >= s.indexOffset
	if reader.Through() < offset || (!isComplete && !isRecent) {
		return
	}
	previous := s.indexTime
	s.indexOffset = offset
	s.indexTime = appended
	if !isComplete {
		s.indexTime = previous
	}
}

// Due returns the records to append now, for a host with a rank among count hosts.
// An index is due when the newest usable one is old, and a text when its version was not seen for as long.
func (s *Republisher) Due(now time.Time, reader *Reader, rank, count int) []Record {
	wait := s.retention/4 + s.retention/4*time.Duration(rank)/time.Duration(max(count, 1))
	var due []Record
	inForce := make(map[Version]time.Time)
	for _, d := range reader.Documents() {
		seen, found := s.textTimes[d.Version]
		if !found {
			seen = now
		}
		inForce[d.Version] = seen
		if d.Text != "" && now.Sub(seen) > wait {
			due = append(due, Record{Kind: KindText, Service: d.Service, Version: d.Version.Version, Text: d.Text, Author: d.Author})
		}
	}
	s.textTimes = inForce
	// The index waits until the texts were read back, so that it covers them.
	if len(due) > 0 {
		return due
	}
	if now.Sub(s.indexTime) > wait && reader.Through() > 0 {
		claim := reader.Snapshot()
		due = append(due, Record{Kind: KindIndex, Through: claim.Through, InForce: claim.InForce})
	}
	return due
}
