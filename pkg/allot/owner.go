package allot

import (
	"time"
)

const (
	// firstPause is the time for which a new owner gives no answers, so that it has tokens then.
	firstPause = 200 * time.Millisecond
	// takeoverPause is the time without inflow if the allotment has no burst, and resumePause
	// that after a pause of the owner. Meanwhile another host may be the owner.
	takeoverPause = 1500 * time.Millisecond
	resumePause   = 700 * time.Millisecond
	// pausedAfter is the time without a call of Tick after which the owner counts as paused.
	pausedAfter = 800 * time.Millisecond
	// regainAfter is the time after which a host that becomes the owner again begins anew.
	regainAfter = 500 * time.Millisecond
	// reachPause is the time after which the owner gives more when more hosts are alive.
	reachPause = 1500 * time.Millisecond
	// maxNumbers is the number of processes whose last questions are remembered.
	maxNumbers = 4096
	// aheadPart is the part of a bucket that hosts may have for later requests.
	aheadPart = 0.5
	// minWholeShare is the share from which an owner has at least one token.
	minWholeShare = 0.2
	// scarcePart is the part of a bucket below which tokens are scarce.
	scarcePart = 0.125
	// sweepPeriod is the time between two searches for expired tokens of an organisation.
	sweepPeriod = 250 * time.Millisecond
)

// Owner is the part of the host that gives tokens. All hosts have one, and it gives none
// while another host is the owner.
type Owner struct {
	isOwner bool
	// since is when the host became the owner or went on after a pause. lostAt is when it was
	// last no longer the owner.
	since, lostAt time.Duration
	tickedAt      time.Duration
	isAlone       bool
	// reach is the part of the known hosts that are alive. If it has become larger, lasting is
	// raised to it at risesAt, which is zero otherwise.
	reach, lasting float64
	risesAt        time.Duration
	accounts       map[uint32]*account
	// numbers are those of the last question of each host.
	numbers map[string]uint64
}

// NewOwner returns the part of a host that isn't the owner.
func NewOwner() *Owner {
	return &Owner{lostAt: -regainAfter - 1, accounts: make(map[uint32]*account), numbers: make(map[string]uint64)}
}

// account is the bucket of one organisation.
type account struct {
	terms Terms
	// level is the number of tokens in the bucket at filledAt.
	level    float64
	filledAt time.Duration
	capacity float64
	// outstanding is the number of tokens that hosts may have, by host.
	outstanding map[string]batch
	total       int
	sweptAt     time.Duration
}

// Tick must be called several times a second. It says whether the host is the owner in its
// view, which part of the hosts that it knows is alive, and whether it knows no other host.
func (o *Owner) Tick(now time.Duration, isOwner bool, reach float64, isAlone bool) {
	isPaused := o.isOwner && !isAlone && now-o.tickedAt > pausedAfter
	switch {
	case isPaused:
		o.begin(now + resumePause)
	case o.isOwner && !isOwner:
		o.lostAt = now
	case isOwner && !o.isOwner && now-o.lostAt <= regainAfter:
		o.skip(now - o.lostAt)
	case isOwner && !o.isOwner:
		o.begin(now)
	}
	o.isOwner, o.tickedAt, o.isAlone = isOwner, now, isAlone
	o.updateReach(now, min(max(reach, 0), 1))
}

// begin empties the buckets of an owner that gives tokens from a time on.
func (o *Owner) begin(since time.Duration) {
	clear(o.accounts)
	clear(o.numbers)
	o.since = since
}

// skip leaves out the inflow of a time in which the host was not the owner. Its view may have
// been wrong for a moment, in particular while many hosts start.
func (o *Owner) skip(absence time.Duration) {
	o.since += absence
	for _, a := range o.accounts {
		a.filledAt += absence
	}
}

// updateReach lowers the lasting reach at once and raises it after a while. When a divided
// fleet is whole again, the owners of its other parts have given up by then.
func (o *Owner) updateReach(now time.Duration, reach float64) {
	o.reach = reach
	switch {
	case reach <= o.lasting || now <= o.since:
		o.lasting, o.risesAt = reach, 0
	case o.risesAt == 0:
		o.risesAt = now + reachPause
	case now >= o.risesAt:
		o.lasting, o.risesAt = reach, 0
	}
}

// IsOwner reports whether the host was the owner at the last Tick.
func (o *Owner) IsOwner() bool {
	return o.isOwner
}

// Answer answers a question of a host. The name must differ between two runs of a host's
// process. It reports false if there is no answer, because this host is not the owner or
// has just become it, or because the question is an old one.
func (o *Owner) Answer(now time.Duration, host string, ask Ask, termsOf func(key uint32) (Terms, bool)) (Answer, bool) {
	if o.isOwner && now-o.tickedAt > pausedAfter {
		o.Tick(now, true, o.reach, o.isAlone)
	}
	if !o.isOwner || now < o.since+firstPause || ask.Number <= o.numbers[host] {
		return Answer{}, false
	}
	if len(o.numbers) >= maxNumbers {
		// Only the hosts of long ago are of no use, but an old question does little harm.
		clear(o.numbers)
	}
	o.numbers[host] = ask.Number
	answer := Answer{Number: ask.Number}
	for _, d := range ask.Demands {
		terms, found := termsOf(d.Key)
		if !found {
			continue
		}
		answer.Given = append(answer.Given, o.give(now, host, d, terms))
	}
	return answer, true
}

// give gives tokens for one organisation. Requests that wait come first, and use theirs at
// once. Tokens for later requests are given from half of the rest, so that those of other
// hosts find some, and only up to a part of the bucket, because many may not be used.
func (o *Owner) give(now time.Duration, host string, d Demand, terms Terms) Given {
	a := o.accounts[d.Key]
	if a == nil {
		a = &account{filledAt: o.since + takeoverWait(terms), outstanding: make(map[string]batch)}
		o.accounts[d.Key] = a
	}
	a.terms = terms
	a.setOutstanding(now, host, d.Held)
	a.fill(now, o.share(terms))
	available := int(a.level)
	used := min(d.Waiting, available)
	room := int(aheadPart*a.capacity) - a.total
	ahead := max(min(d.Ahead, (available-used)/2, room), 0)
	a.level -= float64(used + ahead)
	a.setOutstanding(now, host, d.Held+ahead)
	return Given{Key: d.Key, Tokens: used + ahead, IsScarce: a.level < scarcePart*a.capacity}
}

// share is the part of the inflow of this owner. If all parts of a divided fleet have such an
// owner, they exceed the inflow by what is left of the bound. The larger the burst, the sooner
// a larger reach counts, because other owners may use the burst meanwhile.
func (o *Owner) share(t Terms) float64 {
	rest := (1 - bucketPart - reservePart) * t.beyondInflow()
	reach := o.lasting + (o.reach-o.lasting)*t.burstSeconds()
	return min(reach*(1+rest/(t.inflow()*Window.Seconds())), 1)
}

// takeoverWait is the shorter the larger the burst is that another owner may use meanwhile.
func takeoverWait(t Terms) time.Duration {
	return time.Duration((1 - t.burstSeconds()) * float64(takeoverPause))
}

// fill adds the inflow since the last call. Tokens that hosts have count as in the bucket.
func (a *account) fill(now time.Duration, share float64) {
	if now-a.sweptAt >= sweepPeriod {
		a.sweptAt = now
		for host, b := range a.outstanding {
			if b.until <= now {
				a.total -= b.tokens
				delete(a.outstanding, host)
			}
		}
	}
	if now > a.filledAt {
		a.level += (now - a.filledAt).Seconds() * a.terms.inflow() * share
		a.filledAt = now
	}
	a.capacity = a.terms.capacity() * share
	if share >= minWholeShare {
		a.capacity = max(a.capacity, 1)
	}
	a.level = max(min(a.level, a.capacity-float64(a.total)), 0)
}

func (a *account) setOutstanding(now time.Duration, host string, tokens int) {
	a.total += tokens - a.outstanding[host].tokens
	if tokens == 0 {
		delete(a.outstanding, host)
		return
	}
	a.outstanding[host] = batch{tokens: tokens, until: now + tokenLife}
}
