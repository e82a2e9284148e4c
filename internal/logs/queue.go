package logs

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queueCapacity is the largest number of lines that wait for the output. A line has
	// about 300 bytes.
	queueCapacity = 512
	// maxQueuedBytes is the largest total size of the lines that wait. Lines with bytes that
	// a caller or a target has sent may be long.
	maxQueuedBytes = 1 << 20
	// linesPerSecond is the highest rate of lines and also the size of the largest
	// burst. It leaves room for about one line per request, because a steered host, one
	// that callers are directed to, handles at most a few hundred requests a second.
	linesPerSecond = 500
)

// Queue is an io.Writer that writes log lines to an output without blocking the
// goroutines that log. It drops lines above 500 per second and lines for which its buffer
// has no room. Before the next line that the rate limit allows, it queues a line with the
// number of lines dropped, which is lost if the buffer is still full then. It is safe for
// concurrent use.
type Queue struct {
	out   io.Writer
	lines chan []byte
	now   func() time.Time

	mu sync.Mutex
	// tokens is the number of lines that the rate limit allowed at refilledAt.
	tokens     float64
	refilledAt time.Time
	// unreportedDrops counts the lines dropped since the last line that reports a count,
	// and totalDrops those since the start.
	unreportedDrops uint64
	totalDrops      uint64
	// queuedBytes is the total size of the lines that wait.
	queuedBytes atomic.Int64
	closed      bool
	writer      sync.WaitGroup
}

// NewQueue returns a queue that writes to out in a goroutine of its own, until Close.
// The rate limit reads the time from now.
func NewQueue(out io.Writer, now func() time.Time) *Queue {
	q := &Queue{out: out, lines: make(chan []byte, queueCapacity), now: now, tokens: linesPerSecond, refilledAt: now()}
	q.writer.Go(func() {
		for line := range q.lines {
			// An error can't be reported, because the log is the only output.
			_, _ = q.out.Write(line)
			q.queuedBytes.Add(-int64(len(line)))
		}
	})
	return q
}

// Write queues a copy of one line, or drops the line. It never fails.
func (q *Queue) Write(line []byte) (int, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed || !q.takeToken() {
		q.countDropped()
		return len(line), nil
	}
	if q.unreportedDrops > 0 {
		q.enqueue(fmt.Appendf(nil, "{\"msg\":\"log lines dropped\",\"Count\":%d}\n", q.unreportedDrops))
		q.unreportedDrops = 0
	}
	q.enqueue(bytes.Clone(line))
	return len(line), nil
}

// takeToken takes the token for one line from the token bucket of the rate limit, and
// reports whether there was one. The caller holds q.mu.
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

// countDropped counts one dropped line. The caller holds q.mu.
func (q *Queue) countDropped() {
	q.unreportedDrops++
	q.totalDrops++
}

// enqueue queues a line, or drops it if the queue is full. The caller holds q.mu.
func (q *Queue) enqueue(line []byte) {
	if q.queuedBytes.Load()+int64(len(line)) > maxQueuedBytes {
		q.countDropped()
		return
	}
	select {
	case q.lines <- line:
		q.queuedBytes.Add(int64(len(line)))
	default:
		q.countDropped()
	}
}

// Dropped returns the number of lines dropped since the queue was created. It includes
// dropped lines that would have reported such a number.
func (q *Queue) Dropped() uint64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.totalDrops
}

// Close returns when all queued lines are written. Later lines are dropped.
func (q *Queue) Close() {
	q.mu.Lock()
	if !q.closed {
		q.closed = true
		close(q.lines)
	}
	q.mu.Unlock()
	q.writer.Wait()
}
