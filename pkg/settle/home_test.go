package settle_test

import (
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"gitlab.com/curranttiller/curranttiller/pkg/fault"
	"gitlab.com/curranttiller/curranttiller/pkg/settle"
)

func key(incarnation, counter uint64, unique string) settle.Key {
	return settle.Key{Token: settle.Token{Host: "entry1", Incarnation: incarnation, Counter: counter}, Unique: unique}
}

func TestSubmit(t *testing.T) {
	limits := settle.Limits{Keys: 2, Bytes: 10}
	tests := []struct {
		name        string
		setup       func(h *settle.Home)
		key         settle.Key
		fingerprint uint64
		want        settle.Action
	}{
		{"first submission runs", func(*settle.Home) {}, key(7, 3, "a"), 1, settle.Run},
		{"second submission joins", func(h *settle.Home) { h.Submit(key(7, 3, "a"), 1) }, key(7, 3, "a"), 1, settle.Join},
		{"other request with the key", func(h *settle.Home) { h.Submit(key(7, 3, "a"), 1) }, key(7, 3, "a"), 2, settle.Mismatch},
		{"finished key is replayed", func(h *settle.Home) {
			h.Submit(key(7, 3, "a"), 1)
			h.Finish(key(7, 3, "a"), settle.Outcome{Verdict: fault.Ran})
		}, key(7, 3, "a"), 1, settle.Replay},
		{"refused key stays refused", func(h *settle.Home) {
			h.Submit(key(7, 3, "a"), 1)
			h.Finish(key(7, 3, "a"), settle.Outcome{Verdict: fault.NotRun})
		}, key(7, 3, "a"), 1, settle.Replay},
		{"other incarnation", func(*settle.Home) {}, key(8, 3, "a"), 1, settle.Foreign},
		{"counter above the current one", func(*settle.Home) {}, key(7, 6, "a"), 1, settle.Foreign},
		{"below the minimum counter", func(h *settle.Home) { h.Advance(20, 5) }, key(7, 3, "a"), 1, settle.Forgotten},
		{"no room for another key", func(h *settle.Home) {
			h.Submit(key(7, 3, "b"), 1)
			h.Submit(key(7, 3, "c"), 1)
		}, key(7, 3, "a"), 1, settle.Full},
		{"room made by expiring an older counter", func(h *settle.Home) {
			h.Submit(key(7, 2, "b"), 1)
			h.Finish(key(7, 2, "b"), settle.Outcome{Verdict: fault.Ran})
			h.Submit(key(7, 3, "c"), 1)
		}, key(7, 3, "a"), 1, settle.Run},
		{"expired to make room", func(h *settle.Home) {
			h.Submit(key(7, 2, "b"), 1)
			h.Finish(key(7, 2, "b"), settle.Outcome{Verdict: fault.Ran})
			h.Submit(key(7, 3, "c"), 1)
			h.Submit(key(7, 3, "a"), 1)
		}, key(7, 2, "b"), 1, settle.Forgotten},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h := settle.New("entry1", 7, limits)
			h.Advance(5, 10)
			tt.setup(h)
			action, _ := h.Submit(tt.key, tt.fingerprint)
			is.Equal(action, tt.want)
		})
	}
}

func TestKeyRoundTrip(t *testing.T) {
	is := is.New(t)
	k := key(0xdeadbeef, 12, "u.with.dots")
	parsed, ok := settle.ParseKey(k.String())
	is.True(ok)
	is.Equal(parsed, k)
}

func FuzzParseKey(f *testing.F) {
	for _, seed := range []string{"entry1.1f.3.a", "", "....", "a.b.c.d", "h.ffffffffffffffffff.1.x"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		k, ok := settle.ParseKey(text)
		if !ok {
			return
		}
		reparsed, ok := settle.ParseKey(k.String())
		if !ok || reparsed != k {
			t.Fatalf("parsing %q gave %v, and parsing the text of that key gave %v", text, k, reparsed)
		}
	})
}

// homeModel is a home with its callers and targets. The home may crash. Callers submit
// keys repeatedly, and the model counts the runs at the targets.
type homeModel struct {
	home        *settle.Home
	incarnation uint64
	counter     uint64
	// issued are the keys of all incarnations.
	issued  []settle.Key
	running map[settle.Key]bool
	// runs is how often the request of each key ran or may have run.
	runs map[settle.Key]int
	// refused are the keys with an outcome of NotRun.
	refused map[settle.Key]bool
}

func (m *homeModel) restart() {
	m.incarnation++
	m.counter = 0
	m.home = settle.New("entry1", m.incarnation, settle.Limits{Keys: 5, Bytes: 50})
	m.running = make(map[settle.Key]bool)
}

// TestHeadersCountAsMemory guards against a home that stores long headers of any number of
// answers (issue 29, report of another operator).
func TestHeadersCountAsMemory(t *testing.T) {
	is := is.New(t)
	h := settle.New("entry1", 7, settle.Limits{Keys: 10, Bytes: 100})
	h.Advance(5, 5)
	outcome := settle.Outcome{Verdict: fault.Ran, Status: 200, Headers: [][2]string{{"X-Long", strings.Repeat("x", 60)}}}
	for i, isKept := range []bool{true, false} {
		k := key(7, 3, strconv.Itoa(i))
		h.Submit(k, 1)
		h.Finish(k, outcome)
		action, got := h.Submit(k, 1)
		is.Equal(action, settle.Replay)
		is.Equal(got.Verdict, fault.Ran)
		is.Equal(got.BodyDropped, !isKept)
		is.Equal(len(got.Headers) == 1, isKept)
	}
	h.Advance(20, 5) // expires the first one
	k := key(7, 18, "next")
	h.Submit(k, 1)
	h.Finish(k, outcome)
	_, got := h.Submit(k, 1)
	is.True(!got.BodyDropped)
}

// TestNoKeyRunsTwice guards against a second run of a request after the home of its key
// crashed, its outcome expired or the response was lost. It submits keys in any order
// and counts the runs at the targets. A request that was refused must not run later either.
func TestNoKeyRunsTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &homeModel{runs: make(map[settle.Key]int), refused: make(map[settle.Key]bool)}
		m.restart()
		t.Repeat(map[string]func(*rapid.T){
			"issue": func(*rapid.T) {
				m.issued = append(m.issued, key(m.incarnation, m.counter, strconv.Itoa(len(m.issued))))
			},
			"submit": func(t *rapid.T) {
				if len(m.issued) == 0 {
					t.Skip("no key was issued")
				}
				m.submit(t, rapid.SampledFrom(m.issued).Draw(t, "key"))
			},
			"finish": func(t *rapid.T) {
				for k := range m.running {
					m.finish(k, rapid.SampledFrom([]fault.Verdict{fault.Ran, fault.NotRun, fault.MayHaveRun}).Draw(t, "verdict"))
					return
				}
				t.Skip("no request is running")
			},
			"advance": func(t *rapid.T) {
				m.counter += rapid.Uint64Range(1, 4).Draw(t, "counters")
				m.home.Advance(m.counter, 3)
			},
			"crash": func(*rapid.T) { m.restart() },
			"": func(t *rapid.T) {
				for k, count := range m.runs {
					if count > 1 {
						t.Fatalf("request with key %s ran %d times", k, count)
					}
				}
			},
		})
	})
}

func (m *homeModel) submit(t *rapid.T, k settle.Key) {
	action, outcome := m.home.Submit(k, 1)
	switch action {
	case settle.Run:
		// The run counts from here on, because the target may start it at once.
		m.runs[k]++
		m.running[k] = true
		if m.refused[k] {
			t.Fatalf("request with key %s runs although it was refused earlier", k)
		}
	case settle.Replay:
		if outcome.Verdict == fault.NotRun && m.runs[k] > 0 {
			t.Fatalf("request with key %s ran or may have run, but its stored verdict is NotRun", k)
		}
	default:
	}
}

func (m *homeModel) finish(k settle.Key, verdict fault.Verdict) {
	delete(m.running, k)
	if verdict == fault.NotRun {
		m.runs[k]--
		m.refused[k] = true
	}
	m.home.Finish(k, settle.Outcome{Verdict: verdict, Body: []byte("twelve bytes")})
}
