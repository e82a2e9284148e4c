package ledger

import (
	"cmp"
	"maps"
	"slices"
)

// Validator returns the service that the text of a document is for, or an error if
// the text is not valid. It must return the same result on every host.
type Validator func(text string) (service string, err error)

// Outcome is the decision about a proposal.
type Outcome struct {
	// Offset is that of the proposal, and ID, Author, Service and Base are those of its Record.
	Offset   uint64
	ID       string
	Author   string
	Service  string
	Base     uint64
	Accepted bool
	// Reason says why the proposal was refused. It is empty for an accepted one.
	Reason string
	// InForce is the version in force after the proposal, or 0 if the service has no
	// document. InForceAuthor is the operator who proposed that version, or empty if the
	// reader has not received the name.
	InForce       uint64
	InForceAuthor string
}

// Document is a version with its text.
type Document struct {
	Version
	// Text is empty if the reader has not received the text of the version yet.
	Text string
	// Author is the operator who proposed the version, or empty if the reader has
	// not received the name.
	Author string
}

// Snapshot states which versions are in force after the record at an offset.
type Snapshot struct {
	// Through is the offset of the last record that the snapshot takes into account.
	Through uint64
	// InForce has one version of each service with a document.
	InForce []Version
}

// isValid reports whether every version is the offset of a record that the snapshot takes into account.
func (s *Snapshot) isValid() bool {
	return !slices.ContainsFunc(s.InForce, func(v Version) bool { return v.Version == 0 || v.Version > s.Through })
}

// Reader decides which documents are in force. It uses the records of the log, which must
// be applied in order, and the snapshots of other hosts. It is not safe for concurrent use.
type Reader struct {
	validate Validator
	// through is the last offset that inForce takes into account.
	through uint64
	// pending holds the records after a gap, until a snapshot closes the gap.
	pending []pendingRecord
	// next is the offset to read from.
	next uint64
	// inForce has the document in force of each service.
	inForce map[string]Document
	// earlyTexts holds texts of versions that are newer than the one in force.
	earlyTexts map[Version]Document
}

// pendingRecord is a record that can't be applied yet. Its record is empty unless
// it is a proposal, because an Index and a Text are applied when they are read.
type pendingRecord struct {
	offset uint64
	record Record
}

// maxPending bounds the records kept after a gap. The oldest ones are dropped
// first, which widens the gap.
const maxPending = 4096

// New returns a reader that starts at offset 1 with no document in force.
func New(validate Validator) *Reader {
	return &Reader{
		validate:   validate,
		next:       1,
		inForce:    make(map[string]Document),
		earlyTexts: make(map[Version]Document),
	}
}

// Next returns the offset of the next record to apply.
func (r *Reader) Next() uint64 {
	return r.next
}

// Through returns the last offset that the documents in force take into account.
func (r *Reader) Through() uint64 {
	return r.through
}

// Current reports whether the documents in force take every record before the
// offset end into account and all their texts are stored. Pass the offset that
// the next appended record will get.
func (r *Reader) Current(end uint64) bool {
	return r.through+1 >= end && len(r.MissingTexts()) == 0
}

// Apply applies the record at an offset and returns the outcomes of the proposals that
// can be decided now. Offsets before Next are ignored. If the offset is higher than
// Next, the records between are missing, and proposals stay undecided until a snapshot
// closes the gap, from an Index or by ApplySnapshot. A nil record only takes up its
// offset, as a malformed record does.
func (r *Reader) Apply(offset uint64, record *Record) []Outcome {
	if offset < r.next {
		return nil
	}
	r.next = offset + 1
	if record == nil {
		return r.applyInOrder(offset, &Record{})
	}
	switch record.Kind {
	case KindText:
		r.addText(Version{Service: record.Service, Version: record.Version}, record.Text, record.Author)
	case KindIndex:
		// An Index can't take itself or later records into account.
		outcomes := r.ApplySnapshot(Snapshot{Through: min(record.Through, offset-1), InForce: record.InForce})
		return append(outcomes, r.applyInOrder(offset, record)...)
	case KindProposal:
	}
	return r.applyInOrder(offset, record)
}

// SkipTo makes Next return at least first, the offset of the first record that the log still has.
func (r *Reader) SkipTo(first uint64) {
	r.next = max(r.next, first)
}

// applyInOrder applies a record that follows the last applied one, and keeps any other as pending.
func (r *Reader) applyInOrder(offset uint64, record *Record) []Outcome {
	if offset == r.through+1 {
		r.through = offset
		return r.decide(offset, record)
	}
	pending := pendingRecord{offset: offset}
	if record.Kind == KindProposal {
		pending.record = *record
	}
	if len(r.pending) >= maxPending {
		r.pending = r.pending[1:]
	}
	r.pending = append(r.pending, pending)
	return nil
}

// decide returns the outcome of a proposal and puts an accepted one in force. It
// returns none for other records.
func (r *Reader) decide(offset uint64, record *Record) []Outcome {
	if record.Kind != KindProposal {
		return nil
	}
	current := r.inForce[record.Service]
	outcome := Outcome{Offset: offset, ID: record.ID, Author: record.Author, Service: record.Service, Base: record.Base}
	outcome.Reason = r.rejectionReason(record, current)
	if outcome.Reason == "" {
		current = Document{Version: Version{Service: record.Service, Version: offset}, Text: record.Text, Author: record.Author}
		r.setInForce(current)
	}
	outcome.Accepted = outcome.Reason == ""
	outcome.InForce = current.Version.Version
	outcome.InForceAuthor = current.Author
	return []Outcome{outcome}
}

// rejectionReason returns why a proposal is refused if the document current is in
// force, or an empty text if the proposal is accepted.
func (r *Reader) rejectionReason(record *Record, current Document) string {
	service, err := r.validate(record.Text)
	switch {
	case err != nil:
		return err.Error()
	case service != record.Service:
		return "the text is for service " + service
	case record.Base != current.Version.Version:
		return "another version is in force"
	default:
		return ""
	}
}

// setInForce puts a document in force and drops the early texts of its service that are not newer.
func (r *Reader) setInForce(d Document) {
	r.inForce[d.Service] = d
	maps.DeleteFunc(r.earlyTexts, func(v Version, _ Document) bool {
		return v.Service == d.Service && v.Version <= d.Version.Version
	})
}

// ApplySnapshot applies the snapshot of another host or of an Index record, and
// returns the outcomes of the pending proposals that can be decided now. It ignores a
// snapshot whose Through is not higher than that of the reader, or that has a version of
// zero or above Through. It never replaces a version by an older one. Next then
// returns an offset after Through.
func (r *Reader) ApplySnapshot(snapshot Snapshot) []Outcome {
	if snapshot.Through <= r.through || !snapshot.isValid() {
		return nil
	}
	for _, v := range snapshot.InForce {
		if v.Version > r.inForce[v.Service].Version.Version {
			early := r.earlyTexts[v]
			r.setInForce(Document{Version: v, Text: early.Text, Author: early.Author})
		}
	}
	r.through = snapshot.Through
	r.next = max(r.next, snapshot.Through+1)
	return r.applyPending()
}

// applyPending applies the pending records up to the next gap and drops those that
// the reader already takes into account.
func (r *Reader) applyPending() []Outcome {
	var outcomes []Outcome
	pending := r.pending
	r.pending = nil
	for _, p := range pending {
		switch {
		case p.offset <= r.through:
			r.storePendingText(p)
		case p.offset == r.through+1:
			r.through = p.offset
			outcomes = append(outcomes, r.decide(p.offset, &p.record)...)
		default:
			r.pending = append(r.pending, p)
		}
	}
	return outcomes
}

// storePendingText stores the text of a proposal that the reader need not decide,
// because a snapshot already takes it into account.
func (r *Reader) storePendingText(p pendingRecord) {
	if p.record.Kind == KindProposal {
		r.addText(Version{Service: p.record.Service, Version: p.offset}, p.record.Text, p.record.Author)
	}
}

// AddText stores the text and the author of a version, as received from another
// host. It ignores texts that are not valid for the service and versions older
// than the one in force.
func (r *Reader) AddText(d Document) {
	r.addText(d.Version, d.Text, d.Author)
}

func (r *Reader) addText(v Version, text, author string) {
	service, err := r.validate(text)
	if err != nil || service != v.Service {
		return
	}
	current, found := r.inForce[v.Service]
	if found && current.Version == v {
		current.Text = text
		current.Author = cmp.Or(current.Author, author)
		r.inForce[v.Service] = current
		return
	}
	if v.Version > current.Version.Version {
		r.earlyTexts[v] = Document{Version: v, Text: text, Author: author}
	}
}

// MissingTexts returns the versions in force whose texts are not stored.
func (r *Reader) MissingTexts() []Version {
	var missing []Version
	for _, d := range r.inForce {
		if d.Text == "" {
			missing = append(missing, d.Version)
		}
	}
	return missing
}

// Snapshot returns the versions that this reader has in force, including those whose
// texts are missing.
func (r *Reader) Snapshot() Snapshot {
	snapshot := Snapshot{Through: r.through}
	for _, d := range r.Documents() {
		snapshot.InForce = append(snapshot.InForce, d.Version)
	}
	return snapshot
}

// Documents returns the documents in force, sorted by service.
func (r *Reader) Documents() []Document {
	all := slices.Collect(maps.Values(r.inForce))
	slices.SortFunc(all, func(a, b Document) int { return cmp.Compare(a.Service, b.Service) })
	return all
}

// Document returns the document of one service that is in force, and whether there is one.
func (r *Reader) Document(service string) (Document, bool) {
	d, found := r.inForce[service]
	return d, found
}
