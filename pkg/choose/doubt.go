package choose

import (
	"slices"
	"time"
)

// Load pattern: a crowd of callers asks for long answers and doesn't read them, or sends
// further requests behind each. Each holds a slot until its connection is closed, and a queue
// full of such requests keeps out the callers whose requests take moments.
//
// Requests of doubtful callers may be in a pool in any number while there are no others.
// Beside others, only as many of them stay as half of this host's share of the slots, so that
// one of the other half is free within moments. The rest are refused at once.

// Doubt says how much speaks against the caller of a request. Higher values go last.
type Doubt int

// Reasons for doubt.
const (
	// NoDoubt is for callers against which nothing speaks.
	NoDoubt Doubt = iota
	// DoubtfulAddress is for callers from an address with connections that were closed because
	// their callers were late.
	DoubtfulAddress
	// DoubtfulConnection is for callers that send requests without waiting for answers.
	DoubtfulConnection

	doubtLevels = iota
)

const (
	// doubtfulSlotShare is the part of this host's share of the slots that requests of
	// doubtful callers may use beside others.
	doubtfulSlotShare = 0.5
	// doubtPeriod is how long a request with less doubt counts as being beside others.
	doubtPeriod = time.Second
	// doubtRetryAfter is when a doubtful caller may return.
	doubtRetryAfter = time.Second
)

// doubts counts the requests in a pool by doubt.
type doubts struct {
	present [doubtLevels]int
	// arrivedAt is when the last request of each level arrived.
	arrivedAt [doubtLevels]time.Time
}

// above returns the number of requests with more doubt than a level.
func (d *doubts) above(level Doubt) int {
	count := 0
	for _, present := range d.present[level+1:] {
		count += present
	}
	return count
}

// isBesideBetter reports whether a request with less doubt than a level arrived recently.
func (d *doubts) isBesideBetter(now time.Time, level Doubt) bool {
	return slices.ContainsFunc(d.arrivedAt[:level], func(at time.Time) bool { return now.Sub(at) < doubtPeriod })
}

// add records that a request is in the pool.
func (p *Pool) add(r *pending) {
	p.requests[r.ID] = r
	p.doubts.present[r.Doubt]++
}

// remove records that a request has left the pool.
func (p *Pool) remove(id uint64) {
	if r, found := p.requests[id]; found {
		p.doubts.present[r.Doubt]--
		delete(p.requests, id)
	}
}

// doubtfulRoom is the number of requests of doubtful callers that stay beside others.
func (p *Pool) doubtfulRoom() int {
	return max(1, int(doubtfulSlotShare*float64(p.totalSlots)/float64(max(p.sharingHosts, 1))))
}

// arriveInDoubt records the doubt about a new request, and refuses it or those with more
// doubt that wait beyond their room.
func (p *Pool) arriveInDoubt(now time.Time, r *pending) (refusals []Refusal, isRefused bool) {
	p.doubts.arrivedAt[r.Doubt] = now
	if r.Doubt > NoDoubt && p.doubts.isBesideBetter(now, r.Doubt) && p.doubts.above(r.Doubt-1) >= p.doubtfulRoom() {
		return []Refusal{doubtRefusal(r)}, true
	}
	return p.refuseDoubtful(r.Doubt), false
}

func doubtRefusal(r *pending) Refusal {
	return Refusal{Request: r.ID, Reason: ReasonQueueFull, RetryAfter: doubtRetryAfter}
}

// refuseDoubtful refuses waiting requests with more doubt than a level, the newest first,
// until those in the pool fit in their room. Those with an attempt stay.
func (p *Pool) refuseDoubtful(level Doubt) []Refusal {
	excess := p.doubts.above(level) - p.doubtfulRoom()
	if excess <= 0 {
		return nil
	}
	var waiting []*pending
	for r := range p.waiting.all {
		if r.Doubt > level && len(r.attempts) == 0 {
			waiting = append(waiting, r)
		}
	}
	waiting = waiting[max(0, len(waiting)-excess):]
	refusals := make([]Refusal, 0, len(waiting))
	for _, r := range waiting {
		p.waiting.remove(r.ID)
		p.remove(r.ID) // makes room at once, before Release
		refusals = append(refusals, doubtRefusal(r))
	}
	return refusals
}

// Doubt raises the doubt about a request, and refuses those for which there is no room then.
func (p *Pool) Doubt(now time.Time, id uint64, doubt Doubt) Actions {
	r, found := p.requests[id]
	if !found || doubt <= r.Doubt {
		return Actions{}
	}
	p.doubts.present[r.Doubt]--
	p.doubts.present[doubt]++
	r.Doubt = doubt
	if !p.doubts.isBesideBetter(now, doubt) {
		return Actions{}
	}
	return Actions{Refusals: p.refuseDoubtful(doubt - 1)}
}
