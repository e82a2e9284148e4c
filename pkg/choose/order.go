package choose

import (
	"cmp"
	"slices"
	"time"
)

// Organisations compete for the slots of a service. Load patterns: an organisation sends many
// times its usual; the least urgent requests come in a burst; urgent ones do so while their
// callers return at once; a large part of the targets is slow.
//
// A pool uses this order from the first request on that has an organisation. The first
// difference decides who is granted next, and the last ones in the order are refused:
//
//  1. Requests that can still meet their latency objective go before late ones.
//  2. Requests of organisations that are owed service go first, and those beyond the share of
//     their organisation last (see accounts).
//  3. The rank of the organisation.
//  4. The rank of the route.
//  5. Requests with ample time go before tight ones, because the latter need luck.
//  6. Further attempts go before new requests, and these in order of arrival, but tight ones
//     newest first.
//
// A less urgent request also leaves some fast targets open, in proportion to the time of the
// targets that more urgent ones use (see leavesRoom).

// precedence is the place of a request in the order of grants. Lower values go first.
type precedence struct {
	standing     standing
	organisation int
	route        int
}

func (a precedence) compare(b precedence) int {
	return cmp.Or(cmp.Compare(a.standing, b.standing), cmp.Compare(a.organisation, b.organisation), cmp.Compare(a.route, b.route))
}

// leavesRoomFor reports whether requests leave room for others, which go before them. Within
// the share of their organisation they do so only for more urgent routes: the time of the
// targets that they get is theirs also while a higher rank sends more than usual.
func (a precedence) leavesRoomFor(other precedence) bool {
	if a.standing == within && a.organisation != other.organisation {
		return false
	}
	return other.compare(a) < 0
}

// standingOf records a new request and returns the standing of its organisation.
func (p *Pool) standingOf(now time.Time, r *pending) standing {
	if r.Organisation != "" {
		p.hasOrganisations = true
	}
	if !p.hasOrganisations {
		return within
	}
	return p.accounts.arrive(now, r.Organisation, p.work(r), r.spent > 0)
}

// ranked is a waiting request with its timeliness.
type ranked struct {
	*pending

	timeliness timeliness
	// index is the position in the queue.
	index int
}

func (a *ranked) compare(b *ranked) int {
	isLate := func(r *ranked) int {
		if r.timeliness == late {
			return 1
		}
		return 0
	}
	before := cmp.Or(cmp.Compare(isLate(a), isLate(b)), a.precedence.compare(b.precedence), cmp.Compare(a.timeliness, b.timeliness))
	if before == 0 && a.timeliness == tight {
		before = b.arrived.Compare(a.arrived)
	}
	return cmp.Or(before, cmp.Compare(a.index, b.index))
}

// rankWaiting returns the waiting requests in the order in which they are granted.
func (p *Pool) rankWaiting(now time.Time) []ranked {
	order := p.ranking[:0]
	for r := range p.waiting.all {
		order = append(order, ranked{pending: r, timeliness: p.timeliness(now, r), index: len(order)})
	}
	slices.SortFunc(order, func(a, b ranked) int { return a.compare(&b) })
	p.ranking = order
	return order
}

// dispatchByOrder grants the waiting requests in order.
func (p *Pool) dispatchByOrder(now time.Time, c *comparison, actions *Actions) {
	order := p.rankWaiting(now)
	p.updateContention(now)
	for i := range order {
		r := &order[i]
		if c.open() == 0 || (r.timeliness == late && c.isScarce(p, now)) {
			return
		}
		chosen := c.choose(r.pending, p.work(r.pending))
		if p.waitReason(now, r.pending, c, chosen) != "" {
			continue
		}
		p.waiting.remove(r.ID)
		actions.Grants = append(actions.Grants, p.grantChosen(now, r.pending, chosen, "expected to answer first"))
	}
}

const (
	// roomShare times the part of the fast slots that earlier requests in the order use is the
	// share of the fast targets that stays open for more of them, which arrive unevenly.
	roomShare = 0.7
	// maxRoom is the largest share of the fast targets that is kept open.
	maxRoom = 0.5
)

// leavesRoom reports whether enough fast targets stay open for requests that go before r. A
// slot is not taken back once it is granted, so a less urgent request in one of the last open
// ones makes those late that arrive next.
func (p *Pool) leavesRoom(now time.Time, r *pending, c *comparison) bool {
	fast, open := c.countFast()
	slots := 0
	for i := range c.candidates {
		if s := &c.candidates[i]; !s.isSlow() {
			slots += p.usefulSlots(s.targetState)
		}
	}
	if slots == 0 {
		return true
	}
	inUse := p.grantedWork.owedRoomBy(now, r.precedence) * float64(max(p.sharingHosts, 1)) / float64(slots)
	return float64(open) > min(roomShare*inUse, maxRoom)*float64(fast)
}

// returnWindow is the time within which refused callers return, unless the wait is longer
// than half of it.
const returnWindow = 450 * time.Millisecond

// returnAfter returns the time after which a refused caller may return. A request is refused
// because the wait would make it late, so a later return costs its caller little. The times
// are spread, because callers that are refused together must not return together.
func (p *Pool) returnAfter(now time.Time, wait time.Duration, r *pending) time.Duration {
	if !p.hasOrganisations {
		return wait
	}
	window := min(r.Deadline.Sub(now)/2, returnWindow)
	return wait + time.Duration(p.rng.Float64()*float64(max(window-wait, window/2)))
}
