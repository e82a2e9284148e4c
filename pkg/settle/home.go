package settle

import (
	"gitlab.com/curranttiller/curranttiller/pkg/fault"
)

// Outcome is the outcome of a request as it is remembered.
type Outcome struct {
	// Verdict is remembered whatever it is: a key that was refused as not run
	// stays refused, because another submission of it may still be on its way.
	Verdict fault.Verdict
	// Reason names the failure of a request without an answer of the target.
	Reason string
	// Status is the HTTP status that the first submission got.
	Status int
	// Headers are the remembered head, in pairs of name and value.
	Headers [][2]string
	// Body is the whole body, unless Dropped.
	Body []byte
	// BodyDropped says that the body was too large to remember.
	BodyDropped bool
}

// Action is what the home does with a submission.
type Action int

const (
	// Run means that the submission is the first: run it, then call Finish.
	Run Action = iota
	// Join means that an earlier submission is running: wait for its outcome.
	Join
	// Replay means that the outcome is known.
	Replay
	// Forgotten means that the key is older than the memory: answer MayHaveRun.
	Forgotten
	// Foreign means that the key was drawn from another incarnation: answer MayHaveRun.
	Foreign
	// Full means that the memory has no room and cannot keep a refusal either: answer MayHaveRun.
	Full
	// Mismatch means that the key was used for another request: answer NotRun, for this one did not run.
	Mismatch
)

// String returns the Pascal case name of the action.
func (a Action) String() string {
	return [...]string{"Run", "Join", "Replay", "Forgotten", "Foreign", "Full", "Mismatch"}[a]
}

// statusConflict is the HTTP status of an outcome whose answer was not kept.
const statusConflict = 409

type keyRecord struct {
	fingerprint  uint64
	done   bool
	answer Outcome
}

// Limits bounds what a home remembers.
type Limits struct {
	// Keys is the largest number of keys remembered.
	Keys int
	// Bytes is the largest total of remembered bodies.
	Bytes int
}

// Home holds the outcomes of the keys drawn from one incarnation; it is not safe for concurrent use.
type Home struct {
	token  Token
	limits Limits
	minCounter  uint64
	bodyBytes  int
	// records holds the keys by the counter at which they were drawn, so that
	// whole records can be forgotten.
	records map[uint64]map[string]*keyRecord
	keyCount int
}

// New returns an empty home for one incarnation.
func New(host string, incarnation uint64, limits Limits) *Home {
	return &Home{
		token:  Token{Host: host, Incarnation: incarnation},
		limits: limits,
		records:   make(map[uint64]map[string]*keyRecord),
	}
}

// Advance sets the current counter and forgets the outcomes of keys drawn more than keep counters ago.
// An era with a request that still runs is kept whole, but the floor rises all the same.
func (h *Home) Advance(counter, keep uint64) {
	h.token.Counter = max(h.token.Counter, counter)
	if counter > keep {
		h.minCounter = max(h.minCounter, counter-keep)
	}
	for era, keys := range h.records {
		if era < h.minCounter {
			h.expireFinished(era, keys)
		}
	}
}

func (h *Home) expireFinished(era uint64, keys map[string]*keyRecord) {
	for unique, m := range keys {
		if m.done {
			h.bodyBytes -= len(m.answer.Body)
			h.keyCount--
			delete(keys, unique)
		}
	}
	if len(keys) == 0 {
		delete(h.records, era)
	}
}

// Submit decides about one submission of a key; print is a fingerprint of the request.
func (h *Home) Submit(key Key, print uint64) (Action, Outcome) {
	if key.Host != h.token.Host || key.Incarnation != h.token.Incarnation {
		return Foreign, Outcome{}
	}
	if m, found := h.records[key.Counter][key.Unique]; found {
		return h.resubmit(m, print)
	}
	if key.Counter < h.minCounter {
		return Forgotten, Outcome{}
	}
	// A counter from the future was not drawn from this home. It is refused
	// because an era above the current one could be forgotten too late.
	if key.Counter > h.token.Counter {
		return Foreign, Outcome{}
	}
	for h.keyCount >= h.limits.Keys {
		if !h.evictOldest(key.Counter) {
			return Full, Outcome{}
		}
	}
	h.addRecord(key, print)
	return Run, Outcome{}
}

func (h *Home) resubmit(m *keyRecord, print uint64) (Action, Outcome) {
	if m.fingerprint != print {
		return Mismatch, Outcome{}
	}
	if m.done {
		return Replay, m.answer
	}
	return Join, Outcome{}
}

// evictOldest makes room by raising the floor above the oldest era before one,
// and reports whether that helped.
func (h *Home) evictOldest(before uint64) bool {
	oldest := before
	for era := range h.records {
		oldest = min(oldest, era)
	}
	if oldest >= before {
		return false
	}
	h.minCounter = max(h.minCounter, oldest+1)
	count := h.keyCount
	h.expireFinished(oldest, h.records[oldest])
	return h.keyCount < count
}

func (h *Home) addRecord(key Key, print uint64) {
	era, found := h.records[key.Counter]
	if !found {
		era = make(map[string]*keyRecord)
		h.records[key.Counter] = era
	}
	era[key.Unique] = &keyRecord{fingerprint: print}
	h.keyCount++
}

// Finish records the outcome of a key for which Submit returned Run.
func (h *Home) Finish(key Key, answer Outcome) {
	m, found := h.records[key.Counter][key.Unique]
	if !found || m.done {
		return
	}
	if h.bodyBytes+len(answer.Body) > h.limits.Bytes {
		answer = Outcome{Verdict: answer.Verdict, Status: statusConflict, Reason: "AnswerNotRemembered", BodyDropped: true}
	}
	m.done = true
	m.answer = answer
	h.bodyBytes += len(answer.Body)
}

// Keys returns the number of keys remembered.
func (h *Home) Keys() int {
	return h.keyCount
}
