package settle

import (
	"gitlab.com/curranttiller/curranttiller/pkg/fault"
)

// Outcome is the result of a request as the home stores it.
type Outcome struct {
	// Verdict says whether the request ran. NotRun is stored too, so that a refused key
	// stays refused. Otherwise another submission that is still in transit could run
	// after its caller has received the refusal.
	Verdict fault.Verdict
	// Reason is the Tiller-Reason header to respond with if BodyDropped is set.
	Reason string
	// Status is the HTTP status to respond with. It is that of the first submission, or
	// 409 Conflict if BodyDropped is set because the response could not be stored.
	Status int
	// Headers are the response headers, in pairs of name and value.
	Headers [][2]string
	// Body is the whole response body. It is empty if BodyDropped is set.
	Body []byte
	// BodyDropped says that neither headers nor body are stored, because the response
	// was too large, or the request failed before the response was complete.
	BodyDropped bool
}

// size returns the number of bytes of the header and the body.
func (o *Outcome) size() int {
	size := len(o.Body)
	for _, field := range o.Headers {
		size += len(field[0]) + len(field[1])
	}
	return size
}

// Action is what the home must do with a submission.
type Action int

const (
	// Run means that this is the first submission. The home runs the request and then calls Finish.
	Run Action = iota
	// Join means that an earlier submission is still running. The home waits for its outcome.
	Join
	// Replay means that the outcome is stored. The home responds with it.
	Replay
	// Forgotten means that the record of the key may have expired. The home responds with the verdict MayHaveRun.
	Forgotten
	// Foreign means that the key has another home, or a counter that this home has not
	// reached yet. The home responds with the verdict MayHaveRun.
	Foreign
	// Full means that no further key can be stored. The home responds with the verdict
	// MayHaveRun and not with NotRun, because it couldn't store this refusal for later submissions.
	Full
	// Mismatch means that the key was used for a different request. The home responds
	// with the verdict NotRun, because the request of this submission did not run.
	Mismatch
)

// String returns the name of the constant. The home responds to Forgotten and Foreign
// with this name in the Tiller-Reason header.
func (a Action) String() string {
	return [...]string{"Run", "Join", "Replay", "Forgotten", "Foreign", "Full", "Mismatch"}[a]
}

// statusConflict is the HTTP status of an outcome whose response did not fit into the memory limit.
const statusConflict = 409

// keyRecord is what the home stores about one key.
type keyRecord struct {
	// fingerprint is the hash of the request that came with the first submission.
	fingerprint uint64
	// done says that the request has ended and outcome is set.
	done    bool
	outcome Outcome
}

// Limits bounds the memory of a home.
type Limits struct {
	// Keys is the largest number of stored keys, those of running requests included.
	Keys int
	// Bytes is the largest total size of the stored headers and bodies.
	Bytes int
}

// Home stores the outcomes of the keys of one incarnation. It is not safe for concurrent use.
type Home struct {
	// token holds the home's current counter.
	token  Token
	limits Limits
	// minCounter is the lowest counter at which a key without a record is certain to be new.
	minCounter uint64
	// storedBytes is the total size of the stored headers and bodies.
	storedBytes int
	// records has the record of a key under its counter and then its unique part, so
	// that all keys with the same counter can expire together.
	records  map[uint64]map[string]*keyRecord
	keyCount int
}

// New returns the home of one incarnation of a host, without any keys and with the counter at zero.
func New(host string, incarnation uint64, limits Limits) *Home {
	return &Home{
		token:   Token{Host: host, Incarnation: incarnation},
		limits:  limits,
		records: make(map[uint64]map[string]*keyRecord),
	}
}

// Advance raises the heartbeat counter to the given value, unless it is higher already.
// It expires the outcomes of keys whose counter is lower than the given one by more
// than retained heartbeats. Records of requests that are still running stay until the
// first call after their end. The minimum counter rises all the same, so a key with the
// same counter but without a record counts as expired.
func (h *Home) Advance(counter, retained uint64) {
	h.token.Counter = max(h.token.Counter, counter)
	if counter > retained {
		h.minCounter = max(h.minCounter, counter-retained)
	}
	for keyCounter, records := range h.records {
		if keyCounter < h.minCounter {
			h.expireFinished(keyCounter, records)
		}
	}
}

// expireFinished deletes the records of finished requests from the records of one counter.
func (h *Home) expireFinished(counter uint64, records map[string]*keyRecord) {
	for unique, record := range records {
		if record.done {
			h.storedBytes -= record.outcome.size()
			h.keyCount--
			delete(records, unique)
		}
	}
	if len(records) == 0 {
		delete(h.records, counter)
	}
}

// Submit returns what to do with one submission of a key. The fingerprint is a hash of
// the request. If two submissions of a key differ in it, the caller has used the key
// for two requests. The outcome is set only if the action is Replay.
func (h *Home) Submit(key Key, fingerprint uint64) (Action, Outcome) {
	if key.Host != h.token.Host || key.Incarnation != h.token.Incarnation {
		return Foreign, Outcome{}
	}
	if record, found := h.records[key.Counter][key.Unique]; found {
		return h.resubmit(record, fingerprint)
	}
	if key.Counter < h.minCounter {
		return Forgotten, Outcome{}
	}
	// This home has issued no token with a counter above its current one. Such a key is
	// refused, because its record would expire too late.
	if key.Counter > h.token.Counter {
		return Foreign, Outcome{}
	}
	for h.keyCount >= h.limits.Keys {
		if !h.evictOldest(key.Counter) {
			return Full, Outcome{}
		}
	}
	h.addRecord(key, fingerprint)
	return Run, Outcome{}
}

// resubmit returns what to do with a submission whose key has a record.
func (h *Home) resubmit(record *keyRecord, fingerprint uint64) (Action, Outcome) {
	if record.fingerprint != fingerprint {
		return Mismatch, Outcome{}
	}
	if record.done {
		return Replay, record.outcome
	}
	return Join, Outcome{}
}

// evictOldest makes room by expiring the finished requests of the lowest counter that
// has records, if it is below a given counter. It raises the minimum counter above the
// lowest one, even if all requests there are still running. It reports whether it deleted
// any record.
func (h *Home) evictOldest(below uint64) bool {
	oldest := below
	for counter := range h.records {
		oldest = min(oldest, counter)
	}
	if oldest >= below {
		return false
	}
	h.minCounter = max(h.minCounter, oldest+1)
	countBefore := h.keyCount
	h.expireFinished(oldest, h.records[oldest])
	return h.keyCount < countBefore
}

func (h *Home) addRecord(key Key, fingerprint uint64) {
	records, found := h.records[key.Counter]
	if !found {
		records = make(map[string]*keyRecord)
		h.records[key.Counter] = records
	}
	records[key.Unique] = &keyRecord{fingerprint: fingerprint}
	h.keyCount++
}

// Finish stores the outcome of a key for which Submit returned Run. It does nothing if
// the key has no record of a running request. If header and body don't fit into the memory
// limit, the stored outcome keeps only the verdict, and its status is 409 Conflict.
func (h *Home) Finish(key Key, outcome Outcome) {
	record, found := h.records[key.Counter][key.Unique]
	if !found || record.done {
		return
	}
	if h.storedBytes+outcome.size() > h.limits.Bytes {
		outcome = Outcome{Verdict: outcome.Verdict, Status: statusConflict, Reason: "AnswerNotRemembered", BodyDropped: true}
	}
	record.done = true
	record.outcome = outcome
	h.storedBytes += outcome.size()
}

// Keys returns the number of stored keys, which Limits.Keys bounds.
func (h *Home) Keys() int {
	return h.keyCount
}
