package settle_test

import (
	"strconv"
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
		name  string
		setup func(h *settle.Home)
		key   settle.Key
		print uint64
		want  settle.Action
	}{
		{"first submission runs", func(*settle.Home) {}, key(7, 3, "a"), 1, settle.Run},
		{"second submission joins", func(h *settle.Home) { h.Submit(key(7, 3, "a"), 1) }, key(7, 3, "a"), 1, settle.Join},
		{"other request with the key", func(h *settle.Home) { h.Submit(key(7, 3, "a"), 1) }, key(7, 3, "a"), 2, settle.Mismatch},
		{"settled key is replayed", func(h *settle.Home) {
			h.Submit(key(7, 3, "a"), 1)
			h.Finish(key(7, 3, "a"), settle.Outcome{Verdict: fault.Ran})
		}, key(7, 3, "a"), 1, settle.Replay},
		{"refused key stays refused", func(h *settle.Home) {
			h.Submit(key(7, 3, "a"), 1)
			h.Finish(key(7, 3, "a"), settle.Outcome{Verdict: fault.NotRun})
		}, key(7, 3, "a"), 1, settle.Replay},
		{"other incarnation", func(*settle.Home) {}, key(8, 3, "a"), 1, settle.Foreign},
		{"counter not drawn yet", func(*settle.Home) {}, key(7, 6, "a"), 1, settle.Foreign},
		{"below the floor", func(h *settle.Home) { h.Advance(20, 5) }, key(7, 3, "a"), 1, settle.Forgotten},
		{"no room", func(h *settle.Home) {
			h.Submit(key(7, 3, "b"), 1)
			h.Submit(key(7, 3, "c"), 1)
		}, key(7, 3, "a"), 1, settle.Full},
		{"room made by forgetting an older era", func(h *settle.Home) {
			h.Submit(key(7, 2, "b"), 1)
			h.Finish(key(7, 2, "b"), settle.Outcome{Verdict: fault.Ran})
			h.Submit(key(7, 3, "c"), 1)
		}, key(7, 3, "a"), 1, settle.Run},
		{"forgotten to make room", func(h *settle.Home) {
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
			action, _ := h.Submit(tt.key, tt.print)
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
		again, ok := settle.ParseKey(k.String())
		if !ok || again != k {
			t.Fatalf("%q gave %v and then %v", text, k, again)
		}
	})
}

// world is a home that crashes, callers that submit again, and targets whose work is counted.
type world struct {
	home        *settle.Home
	incarnation uint64
	counter     uint64
	drawn       []settle.Key
	running     map[settle.Key]bool
	ran         map[settle.Key]int
	// refused keys were answered NotRun at least once.
	refused map[settle.Key]bool
}

func (w *world) start() {
	w.incarnation++
	w.counter = 0
	w.home = settle.New("entry1", w.incarnation, settle.Limits{Keys: 5, Bytes: 50})
	w.running = make(map[settle.Key]bool)
}

// TestNoKeyRunsTwice explores submissions in any order with crashes, lost
// replies and forgetting; the target's count is the judge.
func TestNoKeyRunsTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{ran: make(map[settle.Key]int), refused: make(map[settle.Key]bool)}
		w.start()
		t.Repeat(map[string]func(*rapid.T){
			"draw": func(*rapid.T) {
				w.drawn = append(w.drawn, key(w.incarnation, w.counter, strconv.Itoa(len(w.drawn))))
			},
			"submit": func(t *rapid.T) {
				if len(w.drawn) == 0 {
					t.Skip("no key")
				}
				w.submit(t, rapid.SampledFrom(w.drawn).Draw(t, "key"))
			},
			"finish": func(t *rapid.T) {
				for k := range w.running {
					w.finish(k, rapid.SampledFrom([]fault.Verdict{fault.Ran, fault.NotRun, fault.MayHaveRun}).Draw(t, "verdict"))
					return
				}
				t.Skip("nothing runs")
			},
			"advance": func(t *rapid.T) {
				w.counter += rapid.Uint64Range(1, 4).Draw(t, "counters")
				w.home.Advance(w.counter, 3)
			},
			"crash": func(*rapid.T) { w.start() },
			"": func(t *rapid.T) {
				for k, count := range w.ran {
					if count > 1 {
						t.Fatalf("%s ran %d times", k, count)
					}
				}
			},
		})
	})
}

func (w *world) submit(t *rapid.T, k settle.Key) {
	action, answer := w.home.Submit(k, 1)
	switch action {
	case settle.Run:
		// The work counts from here on, for the target may begin at once.
		w.ran[k]++
		w.running[k] = true
		if w.refused[k] {
			t.Fatalf("%s runs after it was refused as not run", k)
		}
	case settle.Replay:
		if answer.Verdict == fault.NotRun && w.ran[k] > 0 {
			t.Fatalf("%s was remembered as not run", k)
		}
	default:
	}
}

func (w *world) finish(k settle.Key, verdict fault.Verdict) {
	delete(w.running, k)
	if verdict == fault.NotRun {
		w.ran[k]--
		w.refused[k] = true
	}
	w.home.Finish(k, settle.Outcome{Verdict: verdict, Body: []byte("twelve bytes")})
}
