package choose

import (
	"math"
	"time"
)

const (
	// grantRateDecay is the time constant of the rate, about the time of a few requests.
	grantRateDecay = 300 * time.Millisecond
	// trackedPriorities is the number of priorities with a rate of their own. The last one
	// includes all less urgent priorities.
	trackedPriorities = 4
	// minPriorityShare is the least share of the whole rate that a priority can count on, however
	// much goes to more urgent ones.
	minPriorityShare = 0.1
)

// grantRate is the work of the requests granted recently by priority, in nanoseconds and
// with exponential decay.
type grantRate struct {
	work [trackedPriorities]float64
	at   time.Time
}

func priorityIndex(priority int) int {
	return min(max(priority, 0), trackedPriorities-1)
}

func (g *grantRate) decay(now time.Time) {
	weight := math.Exp(-float64(now.Sub(g.at)) / float64(grantRateDecay))
	for i := range g.work {
		g.work[i] *= weight
	}
	g.at = now
}

// add records the work of a granted request.
func (g *grantRate) add(now time.Time, priority int, work time.Duration) {
	g.decay(now)
	g.work[priorityIndex(priority)] += float64(work)
}

// availableTo returns the rate at which a priority and all less urgent ones were granted
// work recently, in seconds of work per second. More urgent requests that arrive later go
// first, so their rate is not included. The result is at least minPriorityShare of the
// whole rate.
func (g *grantRate) availableTo(now time.Time, priority int) float64 {
	g.decay(now)
	all, before := 0.0, 0.0
	for i, work := range g.work {
		all += work
		if i < priorityIndex(priority) {
			before += work
		}
	}
	return max(all-before, minPriorityShare*all) / float64(grantRateDecay)
}
