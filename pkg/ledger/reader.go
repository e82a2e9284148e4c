package ledger

import (
	"cmp"
	"maps"
	"slices"
)

// Validator checks the text of a document and returns the service that it is for.
type Validator func(text string) (service string, err error)

// Outcome is what became of a proposal.
type Outcome struct {
	Offset   uint64
	ID       string
	Author   string
	Service  string
	Base     uint64
	Accepted bool
	// Reason says why a proposal was refused.
	Reason string
	// InForce is the version in force after the proposal, and InForceAuthor who proposed it, if known.
	InForce       uint64
	InForceAuthor string
}

// Document is a version in force and its text.
type Document struct {
	Version
	// Text is empty while the reader knows the version but not its text.
	Text string
	// Author proposed the version, if the reader saw the proposal.
	Author string
}

// Snapshot states which versions are in force after an offset.
type Snapshot struct {
	Through uint64
	InForce []Version
}

// isValid reports whether every version was published by the offset that the claim speaks of.
func (c *Snapshot) isValid() bool {
	return !slices.ContainsFunc(c.InForce, func(v Version) bool { return v.Version == 0 || v.Version > c.Through })
}

// Reader applies the records of a log in order; it is not safe for concurrent use.
type Reader struct {
	validate Validator
	// through is the last offset whose effect is known.
	through uint64
	// pending holds proposals after a gap, until a claim settles them.
	pending    []pendingRecord
	next       uint64
	inForce    map[string]Document
	earlyTexts map[Version]Document
}

type pendingRecord struct {
	offset uint64
	record Record
}

// maxPending bounds the proposals kept across a gap; older ones are dropped, which widens the gap.
const maxPending = 4096

// New returns a reader that knows the empty log.
func New(validate Validator) *Reader {
	return &Reader{
		validate:   validate,
		next:       1,
		inForce:    make(map[string]Document),
		earlyTexts: make(map[Version]Document),
	}
}

// Next returns the offset to read from.
func (r *Reader) Next() uint64 {
	return r.next
}

// Through returns the last offset whose effect is known.
func (r *Reader) Through() uint64 {
	return r.through
}

// Current reports whether the reader knows the effect of every record before end, the offset of the next append.
func (r *Reader) Current(end uint64) bool {
	return r.through+1 >= end && len(r.MissingTexts()) == 0
}

// Apply takes the record at an offset and returns the outcome of proposals that it settles.
// A skipped offset is a gap: the records between were trimmed.
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
		outcomes := r.ApplySnapshot(Snapshot{Through: min(record.Through, offset-1), InForce: record.InForce})
		return append(outcomes, r.applyInOrder(offset, record)...)
	case KindProposal:
	}
	return r.applyInOrder(offset, record)
}

// SkipTo tells the reader that every record before first was trimmed.
func (r *Reader) SkipTo(first uint64) {
	r.next = max(r.next, first)
}

func (r *Reader) applyInOrder(offset uint64, record *Record) []Outcome {
	if offset == r.through+1 {
		r.through = offset
		return r.decide(offset, record)
	}
	kept := pendingRecord{offset: offset}
	if record.Kind == KindProposal {
		kept.record = *record
	}
	if len(r.pending) >= maxPending {
		r.pending = r.pending[1:]
	}
	r.pending = append(r.pending, kept)
	return nil
}

func (r *Reader) decide(offset uint64, record *Record) []Outcome {
	if record.Kind != KindProposal {
		return nil
	}
	held := r.inForce[record.Service]
	outcome := Outcome{Offset: offset, ID: record.ID, Author: record.Author, Service: record.Service, Base: record.Base}
	outcome.Reason = r.rejectionReason(record, held)
	if outcome.Reason == "" {
		held = Document{Version: Version{Service: record.Service, Version: offset}, Text: record.Text, Author: record.Author}
		r.setInForce(held)
	}
	outcome.Accepted = outcome.Reason == ""
	outcome.InForce = held.Version.Version
	outcome.InForceAuthor = held.Author
	return []Outcome{outcome}
}

func (r *Reader) rejectionReason(record *Record, held Document) string {
	service, err := r.validate(record.Text)
	switch {
	case err != nil:
		return err.Error()
	case service != record.Service:
		return "the text is for service " + service
	case record.Base != held.Version.Version:
		return "another version is in force"
	default:
		return ""
	}
}

func (r *Reader) setInForce(d Document) {
	r.inForce[d.Service] = d
	maps.DeleteFunc(r.earlyTexts, func(v Version, _ Document) bool {
		return v.Service == d.Service && v.Version <= d.Version.Version
	})
}

// ApplySnapshot takes a claim of another host or of an index. Only a claim that reaches
// further than the reader changes anything, and no service ever goes to an older version.
func (r *Reader) ApplySnapshot(claim Snapshot) []Outcome {
	if claim.Through <= r.through || !claim.isValid() {
		return nil
	}
	for _, v := range claim.InForce {
		if v.Version > r.inForce[v.Service].Version.Version {
			known := r.earlyTexts[v]
			r.setInForce(Document{Version: v, Text: known.Text, Author: known.Author})
		}
	}
	r.through = claim.Through
	r.next = max(r.next, claim.Through+1)
	return r.applyPending()
}

// applyPending applies the proposals that a claim has made decidable.
func (r *Reader) applyPending() []Outcome {
	var outcomes []Outcome
	waiting := r.pending
	r.pending = nil
	for _, w := range waiting {
		switch {
		case w.offset <= r.through:
			r.storePendingText(w)
		case w.offset == r.through+1:
			r.through = w.offset
			outcomes = append(outcomes, r.decide(w.offset, &w.record)...)
		default:
			r.pending = append(r.pending, w)
		}
	}
	return outcomes
}

// storePendingText keeps the text of a proposal that the claim says is in force.
func (r *Reader) storePendingText(w pendingRecord) {
	if w.record.Kind == KindProposal {
		r.addText(Version{Service: w.record.Service, Version: w.offset}, w.record.Text, w.record.Author)
	}
}

// AddText takes the text and the author of a version from another host.
func (r *Reader) AddText(d Document) {
	r.addText(d.Version, d.Text, d.Author)
}

func (r *Reader) addText(v Version, text, author string) {
	service, err := r.validate(text)
	if err != nil || service != v.Service {
		return
	}
	held, found := r.inForce[v.Service]
	if found && held.Version == v {
		held.Text = text
		held.Author = cmp.Or(held.Author, author)
		r.inForce[v.Service] = held
		return
	}
	if v.Version > held.Version.Version {
		r.earlyTexts[v] = Document{Version: v, Text: text, Author: author}
	}
}

// MissingTexts returns the versions whose texts the reader lacks.
func (r *Reader) MissingTexts() []Version {
	var missing []Version
	for _, d := range r.inForce {
		if d.Text == "" {
			missing = append(missing, d.Version)
		}
	}
	return missing
}

// Snapshot returns what the reader knows.
func (r *Reader) Snapshot() Snapshot {
	claim := Snapshot{Through: r.through}
	for _, d := range r.Documents() {
		claim.InForce = append(claim.InForce, d.Version)
	}
	return claim
}

// Documents returns the documents in force by service.
func (r *Reader) Documents() []Document {
	all := slices.Collect(maps.Values(r.inForce))
	slices.SortFunc(all, func(a, b Document) int { return cmp.Compare(a.Service, b.Service) })
	return all
}

// Document returns the document in force of one service.
func (r *Reader) Document(service string) (Document, bool) {
	d, found := r.inForce[service]
	return d, found
}
