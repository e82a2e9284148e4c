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

func TestRacingOperators(t *testing.T) {
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
			is.True(r.Current(2)) // the offset counts as read
		})
	}
}

func TestStaleIndexDoesNotRevert(t *testing.T) {
	is := is.New(t)
	r := ledger.New(validate)
	r.Apply(1, proposal("a", 0, "v1"))
	r.Apply(2, proposal("a", 1, "v2"))
	r.Apply(3, &ledger.Record{Kind: ledger.KindIndex, Through: 1, InForce: []ledger.Version{{Service: "a", Version: 1}}})
	d, _ := r.Document("a")
	is.Equal(d.Version.Version, uint64(2))
}

func TestFreshReaderBehindStaleIndexIsNotCurrent(t *testing.T) {
	is := is.New(t)
	r := ledger.New(validate)
	r.SkipTo(3)
	r.Apply(3, &ledger.Record{Kind: ledger.KindIndex, Through: 1, InForce: []ledger.Version{{Service: "a", Version: 1}}})
	is.True(!r.Current(4)) // offset 2 may have changed everything
	r.ApplySnapshot(ledger.Snapshot{Through: 2, InForce: []ledger.Version{{Service: "a", Version: 2}}})
	r.AddText(ledger.Document{Version: ledger.Version{Service: "a", Version: 2}, Text: "a:v2"})
	is.True(r.Current(4))
}

func TestImpossibleClaimsAreIgnored(t *testing.T) {
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

// logWorld is a log that is trimmed, operators that race, and readers that
// pause, restart anywhere and tell each other what they know.
type logWorld struct {
	first   uint64
	records []ledger.Record
	truth   *ledger.Reader
	readers []*ledger.Reader
	ready   []bool
	shown   []map[string]uint64
}

func (w *logWorld) next() uint64 {
	return uint64(len(w.records)) + 1
}

func (w *logWorld) append(record *ledger.Record) {
	w.records = append(w.records, *record)
	w.truth.Apply(uint64(len(w.records)), record)
}

func (w *logWorld) read(i, atMost int) {
	r := w.readers[i]
	r.SkipTo(w.first)
	for n := 0; n < atMost && r.Next() < w.next(); n++ {
		offset := r.Next()
		record := w.records[offset-1]
		r.Apply(offset, &record)
	}
	if r.Current(w.next()) {
		w.ready[i] = true
	}
}

func (w *logWorld) fresh(i int) {
	w.readers[i] = ledger.New(validate)
	w.ready[i] = false
	w.shown[i] = make(map[string]uint64)
}

// TestReadersAgree checks that no reader ever goes back, that a reader that says
// it is current has exactly what a reader of the whole log has, and that no reader
// takes a version that was never accepted.
func TestReadersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const count = 3
		w := &logWorld{first: 1, truth: ledger.New(validate), readers: make([]*ledger.Reader, count), ready: make([]bool, count), shown: make([]map[string]uint64, count)}
		for i := range count {
			w.fresh(i)
		}
		reader := func(t *rapid.T) int { return rapid.IntRange(0, count-1).Draw(t, "reader") }
		t.Repeat(map[string]func(*rapid.T){
			"propose": func(t *rapid.T) {
				service := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "service")
				held, _ := w.readers[reader(t)].Document(service)
				w.append(proposal(service, held.Version.Version, fmt.Sprint("p", w.next())))
			},
			"restate": func(t *rapid.T) {
				// The claim may be old by the time it is appended: its host was paused.
				r := w.readers[reader(t)]
				claim := r.Snapshot()
				for _, d := range r.Documents() {
					if d.Text != "" {
						w.append(&ledger.Record{Kind: ledger.KindText, Service: d.Service, Version: d.Version.Version, Text: d.Text})
					}
				}
				w.append(&ledger.Record{Kind: ledger.KindIndex, Through: claim.Through, InForce: claim.InForce})
			},
			"read": func(t *rapid.T) { w.read(reader(t), rapid.IntRange(1, 5).Draw(t, "records")) },
			"trim": func(t *rapid.T) { w.first = rapid.Uint64Range(w.first, w.next()).Draw(t, "first") },
			"tell": func(t *rapid.T) {
				from, to := w.readers[reader(t)], w.readers[reader(t)]
				to.ApplySnapshot(from.Snapshot())
				for _, d := range from.Documents() {
					if d.Text != "" {
						to.AddText(d)
					}
				}
			},
			"restart": func(t *rapid.T) { w.fresh(reader(t)) },
			"":        w.check,
		})
	})
}

func (w *logWorld) check(t *rapid.T) {
	for i, r := range w.readers {
		for _, d := range r.Documents() {
			if d.Version.Version < w.shown[i][d.Service] {
				t.Fatalf("reader %d went back to version %d of %s", i, d.Version.Version, d.Service)
			}
			w.shown[i][d.Service] = d.Version.Version
			record := w.records[d.Version.Version-1]
			if record.Kind != ledger.KindProposal || record.Service != d.Service || (d.Text != "" && d.Text != record.Text) {
				t.Fatalf("reader %d has a version %v that nobody proposed so", i, d)
			}
		}
		if r.Current(w.next()) && fmt.Sprint(r.Documents()) != fmt.Sprint(w.truth.Documents()) && !sameVersions(r, w.truth) {
			t.Fatalf("reader %d says it is current with %v, in force is %v", i, r.Documents(), w.truth.Documents())
		}
	}
}

func sameVersions(a, b *ledger.Reader) bool {
	return fmt.Sprint(a.Snapshot()) == fmt.Sprint(b.Snapshot())
}

func TestRepublishedDocumentsOutliveRetention(t *testing.T) {
	is := is.New(t)
	const retention = 40 * time.Second
	now := time.Unix(0, 0)
	r := ledger.New(validate)
	s := ledger.NewRepublisher(retention, now)
	record := proposal("a", 0, "v1")
	r.Apply(1, record)
	s.Observe(now, 1, record, r)
	is.Equal(len(s.Due(now.Add(9*time.Second), r, 0, 3)), 0)
	is.Equal(len(s.Due(now.Add(11*time.Second), r, 1, 3)), 0) // the next host waits longer
	for offset, kind := range []ledger.Kind{ledger.KindText, ledger.KindIndex} {
		due := s.Due(now.Add(11*time.Second), r, 0, 3)
		is.Equal(len(due), 1)
		is.Equal(due[0].Kind, kind)
		r.Apply(uint64(offset+2), &due[0])
		s.Observe(now.Add(11*time.Second), uint64(offset+2), &due[0], r)
	}
	is.Equal(len(s.Due(now.Add(12*time.Second), r, 0, 3)), 0)
}

func TestRepublisherIgnoresIndexOfPausedHost(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	r := ledger.New(validate)
	s := ledger.NewRepublisher(40*time.Second, now)
	for offset := uint64(1); offset <= 5; offset++ {
		r.Apply(offset, proposal("a", offset-1, fmt.Sprint(offset)))
	}
	late := &ledger.Record{Kind: ledger.KindIndex, Through: 2, InForce: []ledger.Version{{Service: "a", Version: 2}}}
	r.Apply(6, late)
	s.Observe(now.Add(20*time.Second), 6, late, r)
	text := ledger.Record{Kind: ledger.KindText, Service: "a", Version: 5}
	s.Observe(now.Add(20*time.Second), 7, &text, r)
	due := s.Due(now.Add(21*time.Second), r, 0, 1)
	is.Equal(len(due), 1)
	is.Equal(due[0].Kind, ledger.KindIndex)
}
