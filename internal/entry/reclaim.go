package entry

import (
	"maps"
	"slices"
	"time"

	"gitlab.com/curranttiller/curranttiller/pkg/admit"
	"gitlab.com/curranttiller/curranttiller/pkg/choose"
)

// A caller that does not read its answer, or hardly sends its body, holds a slot of a target
// for that long. While others need slots, the connections of such callers are closed, and
// requests from where they came are doubtful to the pool.

// reclaimPeriod is the shortest time between two searches for callers that hold slots.
const reclaimPeriod = 100 * time.Millisecond

// callerPaced are the requests of a service that hold a slot of a target for as long as their
// caller takes to send the body or to read the answer, by request ID.
type callerPaced struct {
	accounts map[uint64]admit.Account
	// isWanted is set when a request is refused because there is no slot for it.
	isWanted    bool
	reclaimedAt time.Time
}

func newCallerPaced() callerPaced {
	return callerPaced{accounts: make(map[uint64]admit.Account)}
}

// add records that a request holds a slot at the pace of its caller.
func (c *callerPaced) add(id uint64, account admit.Account) {
	c.accounts[id] = account
}

// remove is called when a request has ended.
func (c *callerPaced) remove(id uint64) {
	delete(c.accounts, id)
}

// due returns the accounts whose connections must yield if their callers are late. There are
// some only while requests wait for slots or were refused for lack of them.
func (c *callerPaced) due(now time.Time, isWaiting bool) []admit.Account {
	isNeeded := isWaiting || c.isWanted
	if !isNeeded || now.Sub(c.reclaimedAt) < reclaimPeriod {
		return nil
	}
	c.isWanted, c.reclaimedAt = false, now
	return slices.Collect(maps.Values(c.accounts))
}

// holdsAtPaceOfCaller records that the slots of the request are held at the pace of its caller.
func (r *activeRequest) holdsAtPaceOfCaller() {
	r.service.mu.Lock()
	defer r.service.mu.Unlock()
	r.service.callerPaced.add(r.id, r.account)
}

// doubtOf returns what the record of a caller means to a pool.
func doubtOf(record admit.Record) choose.Doubt {
	switch {
	case record.IsPipelined:
		return choose.DoubtfulConnection
	case record.IsAddressLate:
		return choose.DoubtfulAddress
	default:
		return choose.NoDoubt
	}
}

// reclaimSlots closes the connections of late callers that hold slots which others need.
func (s *service) reclaimSlots(now time.Time) {
	s.mu.Lock()
	accounts := s.callerPaced.due(now, s.pool.Waiting() > 0)
	s.mu.Unlock()
	isReclaimed := false
	for _, account := range accounts {
		if account.Yield() {
			s.metrics.reclaims.Inc()
			isReclaimed = true
		}
	}
	if isReclaimed {
		s.doubtWaiting(now)
	}
}

// doubtWaiting tells the pool what the records of the callers say by now.
func (s *service) doubtWaiting(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, account := range s.accounts {
		s.deliverActions(s.pool.Doubt(now, id, doubtOf(account.Record())))
	}
}
