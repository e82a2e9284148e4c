package noise

import (
	"hash/fnv"
	"math/rand/v2"
	"sync"
	"time"
)

// Shape describes the slowness of a target over time.
type Shape struct {
	// Seed makes the bursts repeatable; each target has its own.
	Seed uint64
	// Factor is how many times slower work is during a burst.
	Factor float64
	// BurstMillis and GapMillis are the length of a burst and the mean time between two, in ms.
	BurstMillis int
	GapMillis   int
	// Always is how many times slower the target is all the time; zero means one.
	Always float64
}

// interval is a time with one speed.
type interval struct {
	end      time.Duration
	slowdown float64
}

// Schedule tells how long work takes that starts at a time; it is safe for concurrent use.
type Schedule struct {
	shape Shape

	mu        sync.Mutex
	rng       *rand.Rand
	intervals []interval
}

// NewSchedule returns the schedule of one target.
func NewSchedule(shape Shape, target string) *Schedule {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(target))
	if shape.Always == 0 {
		shape.Always = 1
	}
	return &Schedule{shape: shape, rng: rand.New(rand.NewPCG(shape.Seed, sum.Sum64()))}
}

// Finish returns when work that begins at start and takes work at full speed ends.
func (s *Schedule) Finish(start, work time.Duration) time.Duration {
	left := float64(work) * s.shape.Always
	if s.shape.Factor <= 1 || s.shape.GapMillis <= 0 {
		return start + time.Duration(left)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := start
	for i := s.findInterval(start); ; i++ {
		s.extendTo(i)
		room := float64(s.intervals[i].end-now) / s.intervals[i].slowdown
		if left <= room {
			return now + time.Duration(left*s.intervals[i].slowdown)
		}
		left -= room
		now = s.intervals[i].end
	}
}

// findInterval returns the span that holds a time.
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

// extendTo draws spans until there is one with an index.
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
