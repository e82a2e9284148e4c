package load

import (
	"container/heap"
	"time"

	"gitlab.com/curranttiller/curranttiller/internal/stand/noise"
)

// busySlot is a slot of a target that is occupied until freeAt.
type busySlot struct {
	freeAt time.Duration
	target int
}

// busySlotHeap is a heap whose first element is the slot that becomes free first.
type busySlotHeap []busySlot

func (h busySlotHeap) Len() int           { return len(h) }
func (h busySlotHeap) Less(i, j int) bool { return h[i].freeAt < h[j].freeAt }
func (h busySlotHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *busySlotHeap) Push(x any)        { *h = append(*h, x.(busySlot)) }
func (h *busySlotHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// IdealLatencies returns the latency that each arrival would have with one central
// queue for all targets. No slot is idle while a request waits, and a request is sent to
// the target with a free slot that would finish it first. Each target has one schedule,
// and slots is the number of slots of each target.
func IdealLatencies(arrivals []Arrival, schedules []*noise.Schedule, slots int) []time.Duration {
	free := make([]int, len(schedules))
	for i := range free {
		free[i] = slots
	}
	busy := &busySlotHeap{}
	latencies := make([]time.Duration, 0, len(arrivals))
	for _, a := range arrivals {
		start := a.At
		for busy.Len() > 0 && (*busy)[0].freeAt <= start {
			free[heap.Pop(busy).(busySlot).target]++
		}
		target := fastestFree(schedules, free, start, a.ServiceTime)
		if target < 0 {
			freed := heap.Pop(busy).(busySlot)
			start = freed.freeAt
			free[freed.target]++
			target = freed.target
		}
		free[target]--
		end := schedules[target].Finish(start, a.ServiceTime)
		heap.Push(busy, busySlot{freeAt: end, target: target})
		latencies = append(latencies, end-a.At)
	}
	return latencies
}

// fastestFree returns the index of the target with a free slot that would finish the
// work first, or -1 if no slot is free.
func fastestFree(schedules []*noise.Schedule, free []int, start, work time.Duration) int {
	best := -1
	var bestEnd time.Duration
	for i, s := range schedules {
		if free[i] == 0 {
			continue
		}
		if end := s.Finish(start, work); best < 0 || end < bestEnd {
			best = i
			bestEnd = end
		}
	}
	return best
}
