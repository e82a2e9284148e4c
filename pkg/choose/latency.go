package choose

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// latencyWindow is the length of one histogram. The statistics come from the last
	// complete one, or from the current one while the last complete one has too few samples.
	latencyWindow = 2 * time.Second
	// latencyRefresh is the minimum time between two computations of the quantiles.
	latencyRefresh    = 50 * time.Millisecond
	minLatencySamples = 20
	tailPercentile    = 95
	// slowMedians and slowTails are the multiples of the median and of the tail latency
	// that an answer must both exceed to count as slow.
	slowMedians = 5
	slowTails   = 2
	// suspectMedians and suspectTails are the multiples that an answer must both exceed
	// for its connection to be suspect.
	suspectMedians = 20
	suspectTails   = 3
	// minLatencyMicros and maxLatencyMicros limit the latencies in the histograms, in microseconds.
	minLatencyMicros = int64(10 * time.Microsecond / time.Microsecond)
	maxLatencyMicros = int64(time.Minute / time.Microsecond)
	// latencyDigits is the number of significant decimal digits in the histograms.
	latencyDigits = 2
)

// latencyStats holds statistics of the latency of a service over the last seconds.
// The durations are zero until there are enough samples.
type latencyStats struct {
	// hedgeQuantile is Settings.HedgeQuantile, and hedgeDelay is the latency at that quantile.
	hedgeQuantile      float64
	current, previous  *hdrhistogram.Histogram
	windowStart        time.Time
	refreshedAt        time.Time
	median, hedgeDelay time.Duration
	// tail is the 95th percentile.
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

// slowThreshold is the latency above which an answer counts as slow. It depends on
// the tail latency too, because in a heavy-tailed service many good answers take several medians.
func (t *latencyStats) slowThreshold() time.Duration {
	return max(slowMedians*t.median, slowTails*t.tail)
}

// suspectThreshold is the time without an answer after which a connection is suspect.
func (t *latencyStats) suspectThreshold() time.Duration {
	return max(suspectMedians*t.median, suspectTails*t.tail)
}
