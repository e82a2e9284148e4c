package choose

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestProbabilityIsCalibrated compares the predicted probability of an answer in time
// with the measured frequency, for probabilities from 0 to 0.1, from 0.1 to 0.2 and so on.
func TestProbabilityIsCalibrated(t *testing.T) {
	tests := []struct {
		name string
		// mean and deviation are those of the logarithm of the ratio of measured to expected latency.
		mean, deviation float64
	}{
		{name: "as expected", mean: 0, deviation: 0.3},
		{name: "faster than expected", mean: -0.2, deviation: 0.35},
		{name: "slower and wider", mean: 0.3, deviation: 0.6},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			rng := rand.New(rand.NewPCG(1, 2))
			const expected = 100 * time.Millisecond
			draw := func() time.Duration {
				return time.Duration(float64(expected) * math.Exp(tt.mean+tt.deviation*rng.NormFloat64()))
			}
			var s latencySpread
			for range 1000 {
				s.add(draw(), expected)
			}
			var predicted, observed, count [10]float64
			for range 20000 {
				left := time.Duration(float64(expected) * math.Exp(1.5*rng.NormFloat64()))
				probability := s.probabilityWithin(left, expected)
				tenth := min(int(10*probability), 9)
				count[tenth]++
				predicted[tenth] += probability
				if draw() <= left {
					observed[tenth]++
				}
			}
			for tenth := range count {
				const tolerance = 0.05
				is.True(math.Abs(predicted[tenth]-observed[tenth])/count[tenth] <= tolerance)
			}
		})
	}
}

func TestProbabilityWithoutTimeLeft(t *testing.T) {
	is := is.New(t)
	var s latencySpread
	is.Equal(s.probabilityWithin(0, time.Second), 0.0)
	is.Equal(s.probabilityWithin(-time.Second, time.Second), 0.0)
	is.True(s.probabilityWithin(time.Minute, time.Second) > 0.99)
}

// TestOpenTargetsEndScarcity guards against withholding slots while targets decline work
// although they have free slots. Requests become late because of that, which marks slots
// as contended, but enough fast targets are open.
func TestOpenTargetsEndScarcity(t *testing.T) {
	tests := []struct {
		name string
		// open and taken count the fast targets with and without a free slot, and slow the slow
		// targets with one.
		open, taken, slow int
		want              bool
	}{
		{name: "all open", open: 10, want: false},
		{name: "all taken", taken: 10, want: true},
		{name: "one open", open: 1, taken: 9, want: true},
		{name: "only slow ones open", taken: 10, slow: 5, want: true},
		{name: "a third open", open: 3, taken: 6, want: false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(100, 0)
			p := New(Settings{Slots: 2}, 1, now)
			p.contendedAt = now
			var c comparison
			for range tt.open {
				c.candidates = append(c.candidates, candidate{forecast: forecast{baseSlowdown: 1}, open: true})
			}
			for range tt.taken {
				c.candidates = append(c.candidates, candidate{forecast: forecast{baseSlowdown: 1}})
			}
			for range tt.slow {
				c.candidates = append(c.candidates, candidate{forecast: forecast{baseSlowdown: 4}, open: true})
			}
			is.Equal(c.isScarce(p, now), tt.want)
			is.True(!c.isScarce(p, now.Add(contentionPeriod)))
		})
	}
}
