package logs

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// queueCapacity is how many lines may wait for the output; a line takes some 300 bytes.
	queueCapacity = 512
	// linesPerSecond bounds the volume; a steered host decides on a few hundred requests a second at most.
	linesPerSecond = 500
)

// Queue passes lines on to an output without ever blocking the writer. Lines
// beyond the rate or the queue are dropped and counted, and the count is written
// as a line of its own when there is room again.
type Queue struct {
	out   io.Writer
	lines chan []byte
	now   func() time.Time

	mu         sync.Mutex
	tokens     float64
	refilledAt time.Time
	dropped    uint64
	total      uint64
	closed     bool
	writer     sync.WaitGroup
}

// NewQueue returns a queue to an output; now is the clock of the rate.
func NewQueue(out io.Writer, now func() time.Time) *Queue {
	q := &Queue{out: out, lines: make(chan []byte, queueCapacity), now: now, tokens: linesPerSecond, refilledAt: now()}
	q.writer.Go(func() {
		for line := range q.lines {
			// Without a reader of the logs there is nobody to tell.
			_, _ = q.out.Write(line)
		}
	})
	return q
}

// Write implements io.Writer for one line; it never fails.
func (q *Queue) Write(line []byte) (int, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed || !q.takeToken() {
		q.countDropped()
		return len(line), nil
	}
	if q.dropped > 0 {
		q.enqueue(fmt.Appendf(nil, "{\"msg\":\"log lines dropped\",\"Count\":%d}\n", q.dropped))
		q.dropped = 0
	}
	q.enqueue(bytes.Clone(line))
	return len(line), nil
}

// takeToken takes a line's worth of the rate; q.mu is held.
func (q *Queue) takeToken() bool {
	now := q.now()
	q.tokens = min(q.tokens+now.Sub(q.refilledAt).Seconds()*linesPerSecond, linesPerSecond)
	q.refilledAt = now
	if q.tokens < 1 {
		return false
	}
	q.tokens--
	return true
}

func (q *Queue) countDropped() {
	q.dropped++
	q.total++
}

// enqueue queues a line, or drops it if the queue is full; q.mu is held.
func (q *Queue) enqueue(line []byte) {
	select {
	case q.lines <- line:
	default:
		q.countDropped()
	}
}

// Dropped returns how many lines were dropped since the start.
func (q *Queue) Dropped() uint64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.total
}

// Close writes the queued lines and waits for them.
func (q *Queue) Close() {
	q.mu.Lock()
	if !q.closed {
		q.closed = true
		close(q.lines)
	}
	q.mu.Unlock()
	q.writer.Wait()
}
