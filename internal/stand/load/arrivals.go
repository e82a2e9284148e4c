package load

import (
	"math/rand/v2"
	"time"
)

// Plan describes the random requests that are sent to one service.
type Plan struct {
	Service string
	// Rate is the mean number of requests per second. A nonzero JumpRate replaces it from JumpAt on.
	Rate     float64
	JumpRate float64
	JumpAt   time.Duration
	// Duration is how long requests are sent.
	Duration time.Duration
	// ReadFraction is the fraction of requests that are reads. The others are not idempotent.
	ReadFraction float64
	// MeanServiceTime is the mean service time of a request on a target at full speed.
	MeanServiceTime time.Duration
	// IsHeavyTailed selects a heavy-tailed distribution of service times in place of a uniform one.
	IsHeavyTailed bool
	// Timeout is the time from the scheduled time of a request to its deadline.
	Timeout time.Duration
	// Unkeyed has no effect. It is meant to send non-idempotent requests without an idempotency key.
	Unkeyed bool
	Seed    uint64
	// Tag is part of the operation names, so that they differ between plans with the same seed.
	Tag string
}

// Arrival is one request of a plan.
type Arrival struct {
	// At is the scheduled time, counted from the start of the plan.
	At          time.Duration
	ServiceTime time.Duration
	IsRead      bool
}

// Arrivals returns the requests of a plan in the order of their times, with Poisson
// arrivals. Equal plans result in equal requests.
func (p *Plan) Arrivals() []Arrival {
	rng := rand.New(rand.NewPCG(p.Seed, 0))
	var all []Arrival
	for at := time.Duration(0); ; {
		rate := p.Rate
		if p.JumpRate > 0 && at >= p.JumpAt {
			rate = p.JumpRate
		}
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if at >= p.Duration {
			return all
		}
		all = append(all, Arrival{At: at, ServiceTime: p.serviceTime(rng), IsRead: rng.Float64() < p.ReadFraction})
	}
}

const (
	// uniformHalfWidth is the largest deviation of a uniform service time from the mean, as a fraction of the mean.
	uniformHalfWidth = 0.5
	// If service times are heavy-tailed, the fraction slowFraction of the requests takes
	// slowFactor times as long as the others on average.
	slowFraction = 0.05
	slowFactor   = 8
)

func (p *Plan) serviceTime(rng *rand.Rand) time.Duration {
	mean := float64(p.MeanServiceTime)
	if !p.IsHeavyTailed {
		return time.Duration(mean * (1 + uniformHalfWidth*(2*rng.Float64()-1)))
	}
	base := mean / (1 + slowFraction*(slowFactor-1))
	if rng.Float64() < slowFraction {
		base *= slowFactor
	}
	return time.Duration(base * rng.ExpFloat64())
}
