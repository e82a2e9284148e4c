package allot

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// tokenLife is the time after which a token that was not used expires, counted from the
	// question at the host and from the answer at the owner.
	tokenLife = 4 * time.Second
	// horizon is the time for which a host asks for tokens in advance.
	horizon = 1500 * time.Millisecond
	// resendAfter is the time after which a question counts as lost. It doubles with each
	// question up to maxResendAfter. After silentAfter the owner counts as silent, so that no
	// request waits for it.
	resendAfter    = 40 * time.Millisecond
	maxResendAfter = 160 * time.Millisecond
	silentAfter    = 130 * time.Millisecond
	// staleAfter is the time after a question from which it no longer matters that it was not
	// answered.
	staleAfter = 500 * time.Millisecond
	// lowDemand is the demand up to which a part of the reserve, ordinaryPart, is used before the
	// owner is asked, which saves messages.
	lowDemand    = 2
	ordinaryPart = 0.6
	// askPeriod is the least time between two questions for which no request waits.
	askPeriod = 100 * time.Millisecond
	// maxDryPause is the longest time for which requests without a token are refused at once
	// after the owner has had too few.
	maxDryPause = 150 * time.Millisecond
	// scarcePause is the time for which only urgent requests get tokens then.
	scarcePause = time.Second
	// demandMemory is the time over which the demand is averaged.
	demandMemory = time.Second
	// maxReturnAge is the age up to which a token may be returned. Older ones would add to the
	// requests of a later window.
	maxReturnAge = 250 * time.Millisecond
	// maxHeld is the largest number of tokens for one organisation. Messages carry no more.
	maxHeld = math.MaxUint16
	// forgetAfter is the time without requests after which an organisation is forgotten.
	forgetAfter = 3 * Window
	// maxDemands is the largest number of organisations in a question.
	maxDemands = 250
	// MaxWait is the longest time for which a request should wait for tokens.
	MaxWait = 150 * time.Millisecond
)

// Verdict says whether a request may run.
type Verdict int

const (
	// Refused means that the allotment has been reached.
	Refused Verdict = iota
	// Admitted means that the request may run.
	Admitted
	// Waiting means that the answer of the owner decides.
	Waiting
)

// Demand is what a host asks of the owner for one organisation.
type Demand struct {
	Key uint32
	// Held is the number of tokens that the host has. Waiting is the number of requests that
	// wait for one, and Ahead that of the further tokens that it expects to need.
	Held, Waiting, Ahead int
}

// Ask is a question of a host to the owner.
type Ask struct {
	// Number increases with each question. The answer to an earlier one is not accepted.
	Number  uint64
	Demands []Demand
}

// Given is the number of tokens that the owner gives for one organisation.
type Given struct {
	Key    uint32
	Tokens int
	// IsScarce says that the owner has hardly any left, so that it need not be asked again soon.
	IsScarce bool
}

// Answer is the answer of the owner to the question with the same number.
type Answer struct {
	Number uint64
	Given  []Given
}

// Spender is the part of one host: it takes a token for each request.
type Spender struct {
	startedAt time.Duration
	purses    map[uint32]*purse
	// number is that of the last question, and askedAt its time.
	number  uint64
	askedAt time.Duration
	// hasNoOwner says that there is no owner to ask.
	hasNoOwner bool
	// unansweredSince is the time of the first of the questions that are not answered.
	unansweredSince time.Duration
	isUnanswered    bool
	// resendAfter is the time after which the last question counts as lost.
	resendAfter time.Duration
	// reserved is the number of requests that were admitted without a token.
	reserved uint64
	// draw returns random numbers from 0 to 1.
	draw func() float64
}

// NewSpender returns a spender without tokens, whose first question has the number after first.
func NewSpender(now time.Duration, first uint64, draw func() float64) *Spender {
	return &Spender{startedAt: now, purses: make(map[uint32]*purse), number: first, askedAt: -time.Hour, draw: draw}
}

// purse is what a host has for one organisation.
type purse struct {
	terms   Terms
	batches []batch
	// waiting is the number of requests that wait, and askedFor that at the last question
	// which had no token yet.
	waiting, askedFor int
	// demand are the requests that arrive.
	demand  average
	urgency urgency
	// dryUntil is the end of the time in which requests are refused at once.
	dryUntil time.Duration
	// scarceUntil is the end of the time in which only urgent requests get tokens.
	scarceUntil time.Duration
	reserve     reserve
}

type batch struct {
	tokens int
	until  time.Duration
}

// Take decides on a request that arrives. If it has to wait, Resume must be called for it
// later. While tokens are scarce, the most urgent requests get them, and late ones get none.
func (s *Spender) Take(now time.Duration, key uint32, terms Terms, spread Spread, request Request) Verdict {
	p := s.purse(key, terms)
	p.demand.add(now)
	isUrgent := !request.IsLate && p.urgency.allows(now, request.Priority, spread.evenPart(terms), s.draw)
	verdict := s.take(now, p, spread, isUrgent)
	switch verdict {
	case Admitted:
		p.urgency.admitted.add(now)
	case Waiting:
		p.waiting++
	case Refused:
	}
	return verdict
}

func (s *Spender) take(now time.Duration, p *purse, spread Spread, isUrgent bool) Verdict {
	size := spread.reserve(p.terms)
	if !s.IsSilent(now) {
		size *= ordinaryPart
	}
	switch {
	case !isUrgent && now < p.scarceUntil:
		return Refused
	case p.take(now):
		return Admitted
	case (p.demand.now(now) <= lowDemand || s.IsSilent(now)) && p.reserve.take(now, size, s.draw):
		s.reserved++
		return Admitted
	case s.IsSilent(now) || now < p.dryUntil:
		return s.refuse(now, p, spread)
	default:
		return Waiting
	}
}

// Resume decides again on a request that waits. With isLast it must not wait any longer.
func (s *Spender) Resume(now time.Duration, key uint32, spread Spread, isLast bool) Verdict {
	p := s.purses[key]
	if p == nil {
		return Refused
	}
	verdict := Waiting
	switch {
	case p.take(now):
		verdict = Admitted
	case now < p.dryUntil || s.IsSilent(now) || isLast:
		verdict = s.refuse(now, p, spread)
	}
	if verdict != Waiting {
		p.waiting--
	}
	if verdict == Admitted {
		p.urgency.admitted.add(now)
	}
	return verdict
}

// refuse admits a request without a token if the reserve may be used, and refuses it otherwise.
// While the owner answers, that is so only soon after the start of the host: the buckets may
// still be empty then, and what callers could not send before comes in addition.
func (s *Spender) refuse(now time.Duration, p *purse, spread Spread) Verdict {
	isDry := now < p.dryUntil && now-s.startedAt > Window
	if isDry || !p.reserve.take(now, spread.reserve(p.terms), s.draw) {
		return Refused
	}
	s.reserved++
	return Admitted
}

// Abandon forgets a request that waits.
func (s *Spender) Abandon(key uint32) {
	if p := s.purses[key]; p != nil {
		p.waiting--
	}
}

// dryPause returns the time for which the owner need not be asked again after it has had too
// few tokens. Its bucket must not overflow meanwhile.
func dryPause(t Terms) time.Duration {
	fillTime := time.Duration(t.capacity() / t.inflow() * float64(time.Second))
	return min(fillTime/2, maxDryPause)
}

// Return gives back the token of a request that was admitted at a time and has not run.
func (s *Spender) Return(now, admitted time.Duration, key uint32) {
	p := s.purses[key]
	if p == nil || p.held(now) == 0 || now-admitted > maxReturnAge {
		// The token may have expired.
		return
	}
	p.batches[0].tokens++
}

// IsSilent reports whether the owner has not answered for some time.
func (s *Spender) IsSilent(now time.Duration) bool {
	return s.hasNoOwner || (s.isUnanswered && now-s.unansweredSince > silentAfter && now-s.askedAt <= staleAfter)
}

// NoOwner notes that there is no owner to ask.
func (s *Spender) NoOwner() {
	s.hasNoOwner = true
}

// Ask returns the next question if one is due.
func (s *Spender) Ask(now time.Duration) (Ask, bool) {
	s.hasNoOwner = false
	sinceAsked := now - s.askedAt
	if s.isUnanswered && sinceAsked < s.resendAfter {
		return Ask{}, false
	}
	demands, isUrgent := s.demands(now)
	if len(demands) == 0 || (!isUrgent && sinceAsked < askPeriod) {
		return Ask{}, false
	}
	s.number++
	s.askedAt = now
	if s.isUnanswered && sinceAsked <= staleAfter {
		s.resendAfter = min(2*s.resendAfter, maxResendAfter)
	} else {
		s.isUnanswered, s.unansweredSince, s.resendAfter = true, now, resendAfter
	}
	demands = mostUrgent(demands)
	for _, d := range demands {
		s.purses[d.Key].askedFor = d.Waiting
	}
	return Ask{Number: s.number, Demands: demands}, true
}

// demands returns what the organisations need, and whether requests wait for it. It is empty
// unless an organisation has less than half of the tokens that it should have. Then it is
// worth asking for all that lack some.
func (s *Spender) demands(now time.Duration) (demands []Demand, isUrgent bool) {
	isNeeded := false
	for key, p := range s.purses {
		if now-p.demand.at > forgetAfter && p.waiting == 0 {
			delete(s.purses, key)
			continue
		}
		if now < p.dryUntil {
			continue
		}
		held := p.held(now)
		// A single request is no reason to expect more.
		target := min(int(max(p.demand.now(now)*horizon.Seconds()-1, 0)), maxHeld)
		d := Demand{Key: key, Held: held, Waiting: min(max(p.waiting-held, 0), maxHeld), Ahead: max(target-held, 0)}
		isUrgent = isUrgent || d.Waiting > 0
		isNeeded = isNeeded || d.Waiting > 0 || d.Ahead > held
		if d.Waiting > 0 || d.Ahead > held {
			demands = append(demands, d)
		}
	}
	if !isNeeded {
		return nil, false
	}
	return demands, isUrgent
}

// mostUrgent sorts the demands, and cuts them to those of maxDemands organisations for which
// most requests wait.
func mostUrgent(demands []Demand) []Demand {
	slices.SortFunc(demands, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(b.Waiting, a.Waiting), cmp.Compare(a.Key, b.Key))
	})
	return demands[:min(len(demands), maxDemands)]
}

// Receive applies an answer, and reports whether it belongs to the last question.
func (s *Spender) Receive(now time.Duration, answer Answer) bool {
	if answer.Number != s.number || !s.isUnanswered {
		return false
	}
	s.isUnanswered = false
	until := s.askedAt + tokenLife
	for _, given := range answer.Given {
		p := s.purses[given.Key]
		if p == nil {
			continue
		}
		// The owner counts tokens for requests that wait as used, so those of requests that no
		// longer wait are not kept.
		tokens := given.Tokens - max(p.askedFor-max(p.waiting-p.held(now), 0), 0)
		if tokens > 0 && now < until {
			p.batches = append(p.batches, batch{tokens: tokens, until: until})
		}
		if given.IsScarce || given.Tokens < p.askedFor {
			p.dryUntil, p.scarceUntil = now+dryPause(p.terms), now+scarcePause
		}
	}
	return true
}

// Reserved returns the number of requests that were admitted without a token.
func (s *Spender) Reserved() uint64 {
	return s.reserved
}

// Held returns the number of tokens for all organisations.
func (s *Spender) Held(now time.Duration) int {
	total := 0
	for p := range maps.Values(s.purses) {
		total += p.held(now)
	}
	return total
}

func (s *Spender) purse(key uint32, terms Terms) *purse {
	p := s.purses[key]
	if p == nil {
		p = &purse{terms: terms}
		s.purses[key] = p
	}
	switch {
	case terms == p.terms:
	case terms.isLowerThan(p.terms):
		p.batches = nil
	default:
		p.dryUntil, p.scarceUntil = 0, 0
	}
	p.terms = terms
	return p
}

// held drops expired tokens, and returns the number of those left.
func (p *purse) held(now time.Duration) int {
	total := 0
	for len(p.batches) > 0 && (p.batches[0].until <= now || p.batches[0].tokens == 0) {
		p.batches = p.batches[1:]
	}
	for _, b := range p.batches {
		total += b.tokens
	}
	return total
}

func (p *purse) take(now time.Duration) bool {
	if p.held(now) == 0 {
		return false
	}
	p.batches[0].tokens--
	return true
}

// reserve counts the requests without a token in slots of a second.
type reserve struct {
	slots [7]int
	slot  int64
	// extra is the random number that decides on a fraction of a request, for the time
	// until redrawAt.
	extra    float64
	redrawAt time.Duration
}

// take takes one request of the given number in a window, if that is not used up.
func (r *reserve) take(now time.Duration, size float64, draw func() float64) bool {
	slot := int64(now / time.Second)
	for ; r.slot < slot; r.slot++ {
		if slot-r.slot > int64(len(r.slots)) {
			r.slot = slot - int64(len(r.slots))
		}
		r.slots[(r.slot+1)%int64(len(r.slots))] = 0
	}
	if now >= r.redrawAt {
		r.extra, r.redrawAt = draw(), now+Window
	}
	used := 0
	for _, n := range r.slots {
		used += n
	}
	if float64(used)+r.extra >= size {
		return false
	}
	r.slots[slot%int64(len(r.slots))]++
	return true
}
