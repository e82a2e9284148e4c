package choose

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	typicalWindow  = 2 * time.Second
	typicalRefresh = 50 * time.Millisecond
	typicalSamples = 20
	lowestLatency  = int64(10 * time.Microsecond / time.Microsecond)
	highestLatency = int64(time.Minute / time.Microsecond)
	latencyDigits  = 2
)

// typical follows the latency distribution of a service over the last seconds.
type typical struct {
	quantile      float64
	current, last *hdrhistogram.Histogram
	turned        time.Time
	refreshed     time.Time
	median, hedge time.Duration
	mean          time.Duration
}

func newTypical(quantile float64, now time.Time) *typical {
	return &typical{
		quantile: quantile,
		current:  hdrhistogram.New(lowestLatency, highestLatency, latencyDigits),
		last:     hdrhistogram.New(lowestLatency, highestLatency, latencyDigits),
		turned:   now,
	}
}

func (t *typical) add(now time.Time, latency time.Duration) {
	if now.Sub(t.turned) > typicalWindow {
		t.current, t.last = t.last, t.current
		t.current.Reset()
		t.turned = now
	}
	_ = t.current.RecordValue(min(max(latency.Microseconds(), lowestLatency), highestLatency))
	if now.Sub(t.refreshed) > typicalRefresh {
		t.refresh(now)
	}
}

func (t *typical) refresh(now time.Time) {
	t.refreshed = now
	source := t.last
	if source.TotalCount() < typicalSamples {
		source = t.current
	}
	if source.TotalCount() < typicalSamples {
		return
	}
	t.median = time.Duration(source.ValueAtQuantile(50)) * time.Microsecond
	t.mean = time.Duration(source.Mean()) * time.Microsecond
	t.hedge = time.Duration(source.ValueAtQuantile(100*t.quantile)) * time.Microsecond
}
