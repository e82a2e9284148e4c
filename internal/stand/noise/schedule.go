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

// span is a time with one speed.
type span struct {
	until  time.Duration
	factor float64
}

// Schedule tells how long work takes that starts at a time; it is safe for concurrent use.
type Schedule struct {
	shape Shape

	mu    sync.Mutex
	rng   *rand.Rand
	spans []span
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
	for i := s.find(start); ; i++ {
		s.extend(i)
		room := float64(s.spans[i].until-now) / s.spans[i].factor
		if left <= room {
			return now + time.Duration(left*s.spans[i].factor)
		}
		left -= room
		now = s.spans[i].until
	}
}

// find returns the span that holds a time.
func (s *Schedule) find(at time.Duration) int {
	s.extend(0)
	for s.spans[len(s.spans)-1].until <= at {
		s.extend(len(s.spans))
	}
	low, high := 0, len(s.spans)-1
	for low < high {
		middle := (low + high) / 2
		if s.spans[middle].until > at {
			high = middle
		} else {
			low = middle + 1
		}
	}
	return low
}

// extend draws spans until there is one with an index.
func (s *Schedule) extend(index int) {
	for len(s.spans) <= index {
		end := time.Duration(0)
		if len(s.spans) > 0 {
			end = s.spans[len(s.spans)-1].until
		}
		gap := time.Duration(s.rng.ExpFloat64() * float64(s.shape.GapMillis) * float64(time.Millisecond))
		burst := time.Duration(s.shape.BurstMillis) * time.Millisecond
		s.spans = append(s.spans,
			span{until: end + gap, factor: 1},
			span{until: end + gap + burst, factor: s.shape.Factor})
	}
}
