package choose

import (
	"math"
	"time"
)

const (
	// flowFade is the time constant of the flow, the time of a few requests.
	grantRateDecay = 300 * time.Millisecond
	// flowRanks is the number of ranks that are told apart; the last stands for all after it.
	trackedPriorities = 4
	// flowLeast is the part of the flow that is taken to be left to a rank whatever goes before it.
	minPriorityShare = 0.1
)

// grantRate is how much work the waiting requests of each rank were granted lately.
type grantRate struct {
	work [trackedPriorities]float64
	at   time.Time
}

func priorityIndex(priority int) int {
	return min(max(priority, 0), trackedPriorities-1)
}

func (f *grantRate) decay(now time.Time) {
	weight := math.Exp(-float64(now.Sub(f.at)) / float64(grantRateDecay))
	for rank := range f.work {
		f.work[rank] *= weight
	}
	f.at = now
}

// add records granted work.
func (f *grantRate) add(now time.Time, priority int, work time.Duration) {
	f.decay(now)
	f.work[priorityIndex(priority)] += float64(work)
}

// availableTo returns the work per time that is granted to a rank and those after it:
// more urgent requests that arrive meanwhile go first.
func (f *grantRate) availableTo(now time.Time, priority int) float64 {
	f.decay(now)
	all, before := 0.0, 0.0
	for rank, work := range f.work {
		all += work
		if rank < priorityIndex(priority) {
			before += work
		}
	}
	return max(all-before, minPriorityShare*all) / float64(grantRateDecay)
}
