package allot

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// scarceMargin is by how much the requests that may take scarce tokens exceed those that
	// got one lately, so that no token is left over.
	scarceMargin = 1.2
	// leastShare is the share of the less urgent requests that may take scarce tokens in any
	// case.
	leastShare = 0.05
	// maxRanks is the number of priorities that are told apart.
	maxRanks = 16
)

// Request is what decides which requests of an organisation get scarce tokens.
type Request struct {
	// Priority is the rank of the request. Lower values go first.
	Priority int
	// IsLate says that its answer can't be in time any more, because it was refused before.
	IsLate bool
}

// average is an exponentially decaying number of events a second.
type average struct {
	perSecond float64
	at        time.Duration
}

func (a *average) now(now time.Duration) float64 {
	return a.perSecond * math.Exp(-max(now-a.at, 0).Seconds()/demandMemory.Seconds())
}

func (a *average) add(now time.Duration) {
	a.perSecond = a.now(now) + 1/demandMemory.Seconds()
	a.at = now
}

// urgency decides which requests may take tokens while an organisation sends many times its
// allotment: the most urgent ones, as many as there are tokens.
type urgency struct {
	// ranks are the demands by priority, the most urgent first.
	ranks []rank
	// admitted are the requests that got a token or were taken from the reserve.
	admitted average
}

type rank struct {
	priority int
	demand   average
}

// allows counts a request, and reports whether it may take a scarce token. At least as many
// requests may as evenPart, the host's part if all hosts get the same number of tokens.
func (u *urgency) allows(now time.Duration, priority int, evenPart float64, draw func() float64) bool {
	i, found := slices.BinarySearchFunc(u.ranks, priority, func(r rank, p int) int { return cmp.Compare(r.priority, p) })
	if !found && len(u.ranks) >= maxRanks {
		return true
	}
	if !found {
		u.ranks = slices.Insert(u.ranks, i, rank{priority: priority})
	}
	u.ranks[i].demand.add(now)
	room := scarceMargin * max(u.admitted.now(now), evenPart)
	for j := range i {
		room -= u.ranks[j].demand.now(now)
	}
	return draw() < max(room/u.ranks[i].demand.now(now), leastShare)
}
