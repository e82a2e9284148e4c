package choose

import (
	"math"
	"time"
)

// standing says how an organisation has been served compared with the others.
type standing int

const (
	// owed is for requests of an organisation that was served much less often than all.
	owed standing = iota
	// within is for requests within the share of their organisation.
	within
	// beyond is for requests in excess of that share.
	beyond
)

func (s standing) String() string {
	return [...]string{"Owed", "Within", "Beyond"}[s]
}

const (
	// recentDecay is the time constant of the recent requests of an organisation.
	recentDecay = 3 * time.Second
	// usualDecay is the time constant of the usual work of an organisation. It is many times
	// the length of a burst, so that a burst hardly raises it.
	usualDecay = 2 * time.Minute
	// usualMargin times its usual work is the share of an organisation.
	usualMargin = 1.5
	// excessGrowth times its usual work is the most that a host learns of the work within the
	// share of an organisation, so that a lasting increase becomes usual in the end.
	excessGrowth = 1.1
	// maxGrowth limits the growth of the demand of the others that counts.
	maxGrowth = 4
	// minWindow is the least time over which work is averaged.
	minWindow = time.Second
	// beyondPeriod is how long returns are beyond the share after a first try was. Refused
	// callers return within about that time.
	beyondPeriod = time.Second
	// learningTime is the time from the start of a host in which no work is beyond a share.
	learningTime = 3 * time.Second
	// shareBurst is the time for which an organisation may save its share, and shareRequests
	// the number of requests that it may send at once besides. Few requests say little about
	// what is usual.
	shareBurst    = 2 * time.Second
	shareRequests = 4
	// owedShare is the share of the service rate of all requests below which an organisation is
	// owed service. It exceeds the quarter that every organisation must get.
	owedShare = 0.4
	// minOwedRequests is the number of recent requests from which an organisation can be owed service.
	minOwedRequests = 3
	// forgetAfter is the time without requests after which an account is removed.
	forgetAfter = 10 * time.Minute
)

// account is what a host remembers of one organisation, or of all together. Work is in seconds.
type account struct {
	// asked and served are decayed numbers of recent requests that arrived and that were granted.
	asked, served float64
	// recent is the decayed work that was asked for, over recentDecay, and usual that over usualDecay.
	recent, usual float64
	// saved is the work that the organisation may still ask for within its share.
	saved float64
	// beyondAt is when a first try was last beyond the share.
	beyondAt time.Time
	at       time.Time
}

func (a *account) decay(now time.Time) {
	elapsed := now.Sub(a.at)
	recent := math.Exp(-float64(elapsed) / float64(recentDecay))
	a.asked *= recent
	a.served *= recent
	a.recent *= recent
	a.usual *= math.Exp(-float64(elapsed) / float64(usualDecay))
	a.at = now
}

// accounts decides the standing of requests from the work that organisations usually ask for.
type accounts struct {
	byName map[string]*account
	all    account
	since  time.Time
	// forgotAt is when forget last looked for old accounts.
	forgotAt time.Time
}

func newAccounts(now time.Time) accounts {
	return accounts{byName: make(map[string]*account), all: account{at: now}, since: now}
}

// arrive records a request and returns its standing. The first try of a request spends
// from the share of its organisation. Returns after a refusal don't spend again, and are
// beyond it if a first try was recently.
func (a *accounts) arrive(now time.Time, name string, work time.Duration, isReturn bool) standing {
	org, found := a.byName[name]
	if !found {
		org = &account{at: now, saved: shareRequests * work.Seconds()}
		a.byName[name] = org
	}
	elapsed := now.Sub(org.at)
	org.decay(now)
	a.all.decay(now)
	org.asked++
	a.all.asked++
	isBeyond := now.Sub(org.beyondAt) < beyondPeriod
	if !isReturn {
		isBeyond = !a.spend(now, org, elapsed, work.Seconds())
	}
	switch {
	case org.asked >= minOwedRequests && org.served/org.asked < owedShare*a.all.served/a.all.asked:
		return owed
	case isBeyond:
		return beyond
	default:
		return within
	}
}

// preview returns the standing that a first try would have, and records nothing.
func (a *accounts) preview(now time.Time, name string, work time.Duration) standing {
	copied := accounts{byName: make(map[string]*account), all: a.all, since: a.since}
	if org, found := a.byName[name]; found {
		account := *org
		copied.byName[name] = &account
	}
	return copied.arrive(now, name, work, false)
}

// spend takes the work of a first try from the share of an organisation, whose last request
// came the given time ago, and reports whether it is within the share.
func (a *accounts) spend(now time.Time, org *account, elapsed time.Duration, work float64) bool {
	known := now.Sub(a.since)
	usual := org.usual / window(usualDecay, known)
	recent := org.recent / window(recentDecay, known)
	share := usualMargin * a.growthOfOthers(known, org) * usual
	org.saved = min(org.saved+elapsed.Seconds()*share, shareBurst.Seconds()*share+shareRequests*work)
	isWithin := known <= learningTime || org.saved >= work
	if isWithin {
		org.saved = max(org.saved-work, 0)
	} else {
		org.beyondAt = now
	}
	learned := work
	if known > learningTime && recent > 0 {
		// A lasting increase becomes usual slowly.
		most := usual
		if isWithin {
			most = excessGrowth*usual + shareRequests*work/recentDecay.Seconds()
		}
		learned *= min(most/recent, 1)
	}
	org.recent += work
	a.all.recent += work
	org.usual += learned
	a.all.usual += learned
	return isWithin
}

// growthOfOthers is the recent demand of the other organisations relative to their usual one.
// The share of an organisation grows with it, so that all may ask for more together.
func (a *accounts) growthOfOthers(known time.Duration, org *account) float64 {
	usual := (a.all.usual - org.usual) / window(usualDecay, known)
	recent := (a.all.recent - org.recent) / window(recentDecay, known)
	if usual <= 0 {
		return 1
	}
	return min(max(recent/usual, 1), maxGrowth)
}

// window returns the number of seconds of a constant rate that a sum with the given decay
// holds after the given time.
func window(decay, known time.Duration) float64 {
	return max(decay.Seconds()*-math.Expm1(-float64(known)/float64(decay)), minWindow.Seconds())
}

// grant records the first grant of a request.
func (a *accounts) grant(now time.Time, name string) {
	if org, found := a.byName[name]; found {
		org.decay(now)
		a.all.decay(now)
		org.served++
		a.all.served++
	}
}

// forget removes the accounts of organisations that have sent nothing for long. It looks for
// them once in forgetAfter.
func (a *accounts) forget(now time.Time) {
	if now.Sub(a.forgotAt) < forgetAfter {
		return
	}
	a.forgotAt = now
	for name, org := range a.byName {
		if now.Sub(org.at) > forgetAfter {
			delete(a.byName, name)
		}
	}
}
