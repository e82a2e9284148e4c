package noise

import (
	"hash/fnv"
	"math/rand/v2"
	"sync"
	"time"
)

// Shape sets how the speed of a target varies. A slowdown of 2 means that work takes twice as long.
type Shape struct {
	// Seed and the name of the target determine when its bursts occur.
	Seed uint64
	// Factor is the slowdown during a burst. There are no bursts if it is 1 or less or if
	// GapMillis is 0 or less.
	Factor float64
	// BurstMillis is the length of a burst and GapMillis the mean time between two, both in ms.
	BurstMillis int
	GapMillis   int
	// Always is a slowdown that applies at all times. During a burst it is multiplied by Factor. Zero means 1,
	// which is full speed.
	Always float64
}

// interval is a time of constant speed. It begins at the end of the previous interval.
type interval struct {
	end time.Duration
	// slowdown does not include Shape.Always.
	slowdown float64
}

// Schedule is the speed of one target over time. It is safe for concurrent use.
type Schedule struct {
	shape Shape

	mu        sync.Mutex
	rng       *rand.Rand
	intervals []interval
}

// NewSchedule returns the schedule of a target. Equal shapes and target names give equal schedules.
func NewSchedule(shape Shape, target string) *Schedule {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(target))
	if shape.Always == 0 {
		shape.Always = 1
	}
	return &Schedule{shape: shape, rng: rand.New(rand.NewPCG(shape.Seed, sum.Sum64()))}
}

// Finish returns the end of a piece of work that begins at start and would take serviceTime at full speed. The
// start and the end are counted from the start of the schedule.
func (s *Schedule) Finish(start, serviceTime time.Duration) time.Duration {
	remaining := float64(serviceTime) * s.shape.Always
	if s.shape.Factor <= 1 || s.shape.GapMillis <= 0 {
		return start + time.Duration(remaining)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := start
	for i := s.findInterval(start); ; i++ {
		s.extendTo(i)
		capacity := float64(s.intervals[i].end-now) / s.intervals[i].slowdown
		if remaining <= capacity {
			return now + time.Duration(remaining*s.intervals[i].slowdown)
		}
		remaining -= capacity
		now = s.intervals[i].end
	}
}

// findInterval returns the index of the interval that contains a time. It generates the intervals up to that time
// if needed. s.mu must be held.
func (s *Schedule) findInterval(at time.Duration) int {
	s.extendTo(0)
	for s.intervals[len(s.intervals)-1].end <= at {
		s.extendTo(len(s.intervals))
	}
	low, high := 0, len(s.intervals)-1
	for low < high {
		middle := (low + high) / 2
		if s.intervals[middle].end > at {
			high = middle
		} else {
			low = middle + 1
		}
	}
	return low
}

// extendTo appends pairs of a random gap and a burst until there is an interval with the given index. s.mu must
// be held.
func (s *Schedule) extendTo(index int) {
	for len(s.intervals) <= index {
		end := time.Duration(0)
		if len(s.intervals) > 0 {
			end = s.intervals[len(s.intervals)-1].end
		}
		gap := time.Duration(s.rng.ExpFloat64() * float64(s.shape.GapMillis) * float64(time.Millisecond))
		burst := time.Duration(s.shape.BurstMillis) * time.Millisecond
		s.intervals = append(s.intervals,
			interval{end: end + gap, slowdown: 1},
			interval{end: end + gap + burst, slowdown: s.shape.Factor})
	}
}
