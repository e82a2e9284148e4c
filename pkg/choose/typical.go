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
type typical struct {
	quantile      float64
	current, last *hdrhistogram.Histogram
	turned        time.Time
	refreshed     time.Time
	median, hedge time.Duration
	// tail is the 95th percentile, whatever the hedge quantile.
	tail time.Duration
	mean time.Duration
}

func newLatencyStats(quantile float64, now time.Time) *typical {
	return &typical{
		quantile: quantile,
		current:  hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencyDigits),
		last:     hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencyDigits),
		turned:   now,
	}
}

func (t *typical) add(now time.Time, latency time.Duration) {
	if now.Sub(t.turned) > latencyWindow {
		t.current, t.last = t.last, t.current
		t.current.Reset()
		t.turned = now
	}
	_ = t.current.RecordValue(min(max(latency.Microseconds(), minLatencyMicros), maxLatencyMicros))
	if now.Sub(t.refreshed) > latencyRefresh {
		t.refresh(now)
	}
}

func (t *typical) refresh(now time.Time) {
	t.refreshed = now
	source := t.last
	if source.TotalCount() < minLatencySamples {
		source = t.current
	}
	if source.TotalCount() < minLatencySamples {
		return
	}
	t.median = time.Duration(source.ValueAtQuantile(50)) * time.Microsecond
	t.mean = time.Duration(source.Mean()) * time.Microsecond
	t.tail = time.Duration(source.ValueAtQuantile(tailPercentile)) * time.Microsecond
	t.hedge = time.Duration(source.ValueAtQuantile(100*t.quantile)) * time.Microsecond
}

// slow is the latency from which an answer counts as slow. It follows the tail
// too, because in a heavy-tailed service many good answers take several medians.
func (t *typical) slow() time.Duration {
	return max(slowMedians*t.median, slowTails*t.tail)
}

// silent is the latency from which a connection is in doubt.
func (t *typical) silent() time.Duration {
	return max(suspectMedians*t.median, suspectTails*t.tail)
}
