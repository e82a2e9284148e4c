package choose

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	latencyWindow     = 2 * time.Second
	latencyRefresh    = 50 * time.Millisecond
	minLatencySamples = 20
	tailPercentile    = 95
	// slowMedians and slowTails are how many medians and tails an answer must take to count as slow.
	slowMedians = 5
	slowTails   = 2
	// suspectMedians and suspectTails are how many it must take until its connection is suspect.
	suspectMedians   = 20
	suspectTails     = 3
	minLatencyMicros = int64(10 * time.Microsecond / time.Microsecond)
	maxLatencyMicros = int64(time.Minute / time.Microsecond)
	latencyDigits    = 2
)

// typical follows the latency distribution of a service over the last seconds.
type latencyStats struct {
	hedgeQuantile      float64
	current, previous  *hdrhistogram.Histogram
	windowStart        time.Time
	refreshedAt        time.Time
	median, hedgeDelay time.Duration
	// tail is the 95th percentile, whatever the hedge quantile.
	tail time.Duration
	mean time.Duration
}

func newLatencyStats(quantile float64, now time.Time) *latencyStats {
	return &latencyStats{
		hedgeQuantile: quantile,
		current:       hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencyDigits),
		previous:      hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencyDigits),
		windowStart:   now,
	}
}

func (t *latencyStats) add(now time.Time, latency time.Duration) {
	if now.Sub(t.windowStart) > latencyWindow {
		t.current, t.previous = t.previous, t.current
		t.current.Reset()
		t.windowStart = now
	}
	_ = t.current.RecordValue(min(max(latency.Microseconds(), minLatencyMicros), maxLatencyMicros))
	if now.Sub(t.refreshedAt) > latencyRefresh {
		t.refresh(now)
	}
}

func (t *latencyStats) refresh(now time.Time) {
	t.refreshedAt = now
	source := t.previous
	if source.TotalCount() < minLatencySamples {
		source = t.current
	}
	if source.TotalCount() < minLatencySamples {
		return
	}
	t.median = time.Duration(source.ValueAtQuantile(50)) * time.Microsecond
	t.mean = time.Duration(source.Mean()) * time.Microsecond
	t.tail = time.Duration(source.ValueAtQuantile(tailPercentile)) * time.Microsecond
	t.hedgeDelay = time.Duration(source.ValueAtQuantile(100*t.hedgeQuantile)) * time.Microsecond
}

// slow is the latency from which an answer counts as slow. It follows the tail
// too, because in a heavy-tailed service many good answers take several medians.
func (t *latencyStats) slowThreshold() time.Duration {
	return max(slowMedians*t.median, slowTails*t.tail)
}

// silent is the latency from which a connection is in doubt.
func (t *latencyStats) suspectThreshold() time.Duration {
	return max(suspectMedians*t.median, suspectTails*t.tail)
}
