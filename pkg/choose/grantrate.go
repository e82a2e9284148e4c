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

// grantRate is the work of the requests granted lately by priority, with exponential
// decay.
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

// add records the work of a granted request.
func (f *grantRate) add(now time.Time, priority int, work time.Duration) {
	f.decay(now)
	f.work[priorityIndex(priority)] += float64(work)
}

// availableTo returns the rate, in work per time, that a priority and all less urgent
// ones got lately. More urgent requests that arrive later go first, so their rate is not
// included.
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
