package choose

import (
	"math"
	"slices"
	"time"
)

const (
	// grantRateDecay is the time constant of the rate, about the time of a few requests.
	grantRateDecay = 300 * time.Millisecond
	// trackedPriorities is the number of priorities of routes with a rate of their own. The last
	// one includes all less urgent priorities.
	trackedPriorities = 4
	// minPriorityShare is the least share of the whole rate that a priority can count on, however
	// much goes to more urgent ones.
	minPriorityShare = 0.1
	// minTrackedWork is the decayed work in nanoseconds below which a precedence is no longer tracked.
	minTrackedWork = float64(time.Microsecond)
)

// grantRate is the work of the requests granted recently by precedence, with exponential
// decay. The levels are in the order of their precedence.
type grantRate struct {
	levels []grantLevel
	at     time.Time
}

// grantLevel is the decayed work of one precedence, in nanoseconds.
type grantLevel struct {
	precedence precedence
	work       float64
}

// tracked returns the precedence under which the work of a request is counted.
func (a precedence) tracked() precedence {
	a.route = min(max(a.route, 0), trackedPriorities-1)
	return a
}

func (g *grantRate) decay(now time.Time) {
	weight := math.Exp(-float64(now.Sub(g.at)) / float64(grantRateDecay))
	for i := range g.levels {
		g.levels[i].work *= weight
	}
	g.levels = slices.DeleteFunc(g.levels, func(l grantLevel) bool { return l.work < minTrackedWork })
	g.at = now
}

// add records the work of a granted request.
func (g *grantRate) add(now time.Time, of precedence, work time.Duration) {
	g.decay(now)
	level := grantLevel{precedence: of.tracked(), work: float64(work)}
	i, found := slices.BinarySearchFunc(g.levels, level.precedence, func(l grantLevel, of precedence) int { return l.precedence.compare(of) })
	if found {
		g.levels[i].work += level.work
		return
	}
	g.levels = slices.Insert(g.levels, i, level)
}

// availableTo returns the rate at which a precedence and all later ones were granted work
// recently, in seconds of work per second. Requests of an earlier precedence that arrive later
// go first, so their rate is not included. The result is at least minPriorityShare of the
// whole rate.
func (g *grantRate) availableTo(now time.Time, of precedence) float64 {
	g.decay(now)
	all, before := 0.0, 0.0
	for _, level := range g.levels {
		all += level.work
		if level.precedence.compare(of.tracked()) < 0 {
			before += level.work
		}
	}
	return max(all-before, minPriorityShare*all) / float64(grantRateDecay)
}

// owedRoomBy returns the rate at which the requests for which others of a precedence leave
// room were granted work recently, in seconds of work per second.
func (g *grantRate) owedRoomBy(now time.Time, of precedence) float64 {
	g.decay(now)
	rate := 0.0
	for _, level := range g.levels {
		if of.tracked().leavesRoomFor(level.precedence) {
			rate += level.work
		}
	}
	return rate / float64(grantRateDecay)
}
