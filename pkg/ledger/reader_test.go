package ledger_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rotisserie/eris"
	"pgregory.net/rapid"

	"gitlab.com/curranttiller/curranttiller/pkg/ledger"
)

func validate(text string) (string, error) {
	service, _, found := strings.Cut(text, ":")
	if !found {
		return "", eris.New("no service")
	}
	return service, nil
}

func proposal(service string, base uint64, id string) *ledger.Record {
	return &ledger.Record{Kind: ledger.KindProposal, ID: id, Author: id, Service: service, Base: base, Text: service + ":" + id}
}

// TestOnlyFirstOfTwoProposalsIsAccepted guards against an operator who overwrites the
// change of another that was published in the meantime.
func TestOnlyFirstOfTwoProposalsIsAccepted(t *testing.T) {
	is := is.New(t)
	r := ledger.New(validate)
	first := r.Apply(1, proposal("a", 0, "ana"))
	second := r.Apply(2, proposal("a", 0, "rui"))
	third := r.Apply(3, proposal("a", 1, "rui"))
	is.True(first[0].Accepted)
	is.True(!second[0].Accepted)
	is.Equal(second[0].InForceAuthor, "ana")
	is.Equal(second[0].InForce, uint64(1))
	is.True(third[0].Accepted)
	is.True(r.Current(4))
}

func TestInvalidTextIsRefused(t *testing.T) {
	tests := []struct {
		name   string
		record *ledger.Record
	}{
		{"malformed", &ledger.Record{Kind: ledger.KindProposal, Service: "a", Text: "nonsense"}},
		{"of another service", &ledger.Record{Kind: ledger.KindProposal, Service: "a", Text: "b:x"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := ledger.New(validate)
			outcomes := r.Apply(1, tt.record)
			is.True(!outcomes[0].Accepted)
			is.True(r.Current(2)) // a refused proposal leaves no gap
		})
	}
}

// TestStaleIndexDoesNotRevert guards against a late Index that puts an older version in force again.
func TestStaleIndexDoesNotRevert(t *testing.T) {
	is := is.New(t)
	r := ledger.New(validate)
	r.Apply(1, proposal("a", 0, "v1"))
	r.Apply(2, proposal("a", 1, "v2"))
	r.Apply(3, &ledger.Record{Kind: ledger.KindIndex, Through: 1, InForce: []ledger.Version{{Service: "a", Version: 1}}})
	d, _ := r.Document("a")
	is.Equal(d.Version.Version, uint64(2))
}

// TestNewReaderWithStaleIndexIsNotCurrent guards against a new host that serves the
// documents of an Index although the log has deleted records that the Index doesn't
// take into account.
func TestNewReaderWithStaleIndexIsNotCurrent(t *testing.T) {
	is := is.New(t)
	r := ledger.New(validate)
	r.SkipTo(3)
	r.Apply(3, &ledger.Record{Kind: ledger.KindIndex, Through: 1, InForce: []ledger.Version{{Service: "a", Version: 1}}})
	is.True(!r.Current(4)) // the record at offset 2 may be an accepted proposal
	r.ApplySnapshot(ledger.Snapshot{Through: 2, InForce: []ledger.Version{{Service: "a", Version: 2}}})
	r.AddText(ledger.Document{Version: ledger.Version{Service: "a", Version: 2}, Text: "a:v2"})
	is.True(r.Current(4))
}

// TestSnapshotOfFutureVersionsIsIgnored guards against a wrong Index that makes readers
// skip the records up to an offset that the log has not reached.
func TestSnapshotOfFutureVersionsIsIgnored(t *testing.T) {
	is := is.New(t)
	r := ledger.New(validate)
	r.SkipTo(5)
	r.Apply(5, &ledger.Record{Kind: ledger.KindIndex, Through: 1 << 40, InForce: []ledger.Version{{Service: "a", Version: 1 << 39}}})
	is.Equal(len(r.Documents()), 0)
	is.True(!r.Current(6))
}

func FuzzDecodeRecord(f *testing.F) {
	for _, seed := range []string{`{"Kind":"Proposal"}`, `{"Kind":"Text"}`, `{}`, "", `{"Kind":"Index","Through":-1}`, "[]"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(_ *testing.T, encoded []byte) {
		record, err := ledger.DecodeRecord(encoded)
		if err == nil {
			ledger.New(validate).Apply(1, &record)
		}
	})
}

// logModel is a log that deletes old records, operators who propose concurrently, and
// readers that pause, restart at the first record of the log and send each other their
// snapshots.
type logModel struct {
	// first is the offset of the first record that the log still has.
	first uint64
	// records are all records since offset 1.
	records []ledger.Record
	// reference has applied every record.
	reference *ledger.Reader
	readers   []*ledger.Reader
	// ready says that a reader has been current at some time since its restart. No check uses it.
	ready []bool
	// versions are the versions that each reader returned last, by service.
	versions []map[string]uint64
}

func (m *logModel) next() uint64 {
	return uint64(len(m.records)) + 1
}

func (m *logModel) append(record *ledger.Record) {
	m.records = append(m.records, *record)
	m.reference.Apply(uint64(len(m.records)), record)
}

func (m *logModel) read(i, atMost int) {
	r := m.readers[i]
	r.SkipTo(m.first)
	for n := 0; n < atMost && r.Next() < m.next(); n++ {
		offset := r.Next()
		record := m.records[offset-1]
		r.Apply(offset, &record)
	}
	if r.Current(m.next()) {
		m.ready[i] = true
	}
}

func (m *logModel) restart(i int) {
	m.readers[i] = ledger.New(validate)
	m.ready[i] = false
	m.versions[i] = make(map[string]uint64)
}

// TestReadersAgree checks three things. No reader returns to an older version before it
// restarts. A reader that is current has the same versions in force as a reader of the
// whole log. No reader has a version that is not the offset of a proposal with that text.
func TestReadersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const count = 3
		m := &logModel{first: 1, reference: ledger.New(validate), readers: make([]*ledger.Reader, count), ready: make([]bool, count), versions: make([]map[string]uint64, count)}
		for i := range count {
			m.restart(i)
		}
		reader := func(t *rapid.T) int { return rapid.IntRange(0, count-1).Draw(t, "reader") }
		t.Repeat(map[string]func(*rapid.T){
			"propose": func(t *rapid.T) {
				service := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "service")
				current, _ := m.readers[reader(t)].Document(service)
				m.append(proposal(service, current.Version.Version, fmt.Sprint("p", m.next())))
			},
			"republish": func(t *rapid.T) {
				// The reader may be behind the log, like that of a host that was paused.
				r := m.readers[reader(t)]
				snapshot := r.Snapshot()
				for _, d := range r.Documents() {
					if d.Text != "" {
						m.append(&ledger.Record{Kind: ledger.KindText, Service: d.Service, Version: d.Version.Version, Text: d.Text})
					}
				}
				m.append(&ledger.Record{Kind: ledger.KindIndex, Through: snapshot.Through, InForce: snapshot.InForce})
			},
			"read":               func(t *rapid.T) { m.read(reader(t), rapid.IntRange(1, 5).Draw(t, "records")) },
			"delete old records": func(t *rapid.T) { m.first = rapid.Uint64Range(m.first, m.next()).Draw(t, "first") },
			"send snapshot": func(t *rapid.T) {
				from, to := m.readers[reader(t)], m.readers[reader(t)]
				to.ApplySnapshot(from.Snapshot())
				for _, d := range from.Documents() {
					if d.Text != "" {
						to.AddText(d)
					}
				}
			},
			"restart": func(t *rapid.T) { m.restart(reader(t)) },
			"":        m.check,
		})
	})
}

func (m *logModel) check(t *rapid.T) {
	for i, r := range m.readers {
		for _, d := range r.Documents() {
			if d.Version.Version < m.versions[i][d.Service] {
				t.Fatalf("reader %d returned to version %d of %s", i, d.Version.Version, d.Service)
			}
			m.versions[i][d.Service] = d.Version.Version
			record := m.records[d.Version.Version-1]
			if record.Kind != ledger.KindProposal || record.Service != d.Service || (d.Text != "" && d.Text != record.Text) {
				t.Fatalf("reader %d has the document %v, which differs from the proposal at its offset", i, d)
			}
		}
		if r.Current(m.next()) && fmt.Sprint(r.Documents()) != fmt.Sprint(m.reference.Documents()) && !sameVersions(r, m.reference) {
			t.Fatalf("reader %d reports that it is current and has %v, but %v is in force", i, r.Documents(), m.reference.Documents())
		}
	}
}

func sameVersions(a, b *ledger.Reader) bool {
	return fmt.Sprint(a.Snapshot()) == fmt.Sprint(b.Snapshot())
}

// TestRepublishedDocumentsOutliveRetention guards against the loss of a document when the log deletes its proposal.
func TestRepublishedDocumentsOutliveRetention(t *testing.T) {
	is := is.New(t)
	const retention = 40 * time.Second
	now := time.Unix(0, 0)
	r := ledger.New(validate)
	republisher := ledger.NewRepublisher(retention, now)
	record := proposal("a", 0, "v1")
	r.Apply(1, record)
	republisher.Observe(now, 1, record, r)
	is.Equal(len(republisher.Due(now.Add(9*time.Second), r, 0, 3)), 0)
	is.Equal(len(republisher.Due(now.Add(11*time.Second), r, 1, 3)), 0) // the next host waits longer
	for offset, kind := range []ledger.Kind{ledger.KindText, ledger.KindIndex} {
		due := republisher.Due(now.Add(11*time.Second), r, 0, 3)
		is.Equal(len(due), 1)
		is.Equal(due[0].Kind, kind)
		r.Apply(uint64(offset+2), &due[0])
		republisher.Observe(now.Add(11*time.Second), uint64(offset+2), &due[0], r)
	}
	is.Equal(len(republisher.Due(now.Add(12*time.Second), r, 0, 3)), 0)
}

// TestRepublisherIgnoresIndexOfPausedHost guards against hosts that append no Index because
// a paused host has appended a late one. A new reader soon can't start from the late one.
func TestRepublisherIgnoresIndexOfPausedHost(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	r := ledger.New(validate)
	republisher := ledger.NewRepublisher(40*time.Second, now)
	for offset := uint64(1); offset <= 5; offset++ {
		r.Apply(offset, proposal("a", offset-1, fmt.Sprint(offset)))
	}
	late := &ledger.Record{Kind: ledger.KindIndex, Through: 2, InForce: []ledger.Version{{Service: "a", Version: 2}}}
	r.Apply(6, late)
	republisher.Observe(now.Add(20*time.Second), 6, late, r)
	text := ledger.Record{Kind: ledger.KindText, Service: "a", Version: 5}
	republisher.Observe(now.Add(20*time.Second), 7, &text, r)
	due := republisher.Due(now.Add(21*time.Second), r, 0, 1)
	is.Equal(len(due), 1)
	is.Equal(due[0].Kind, ledger.KindIndex)
}
