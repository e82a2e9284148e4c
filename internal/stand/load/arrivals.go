package load

import (
	"math/rand/v2"
	"time"
)

// Plan describes the requests of one service.
type Plan struct {
	Service string
	// Rate is the mean number of requests a second; JumpRate replaces it from JumpAt on, unless zero.
	Rate     float64
	JumpRate float64
	JumpAt   time.Duration
	// Duration is the time of the plan.
	Duration time.Duration
	// ReadFraction is the share of reads; the others are non-idempotent.
	ReadFraction float64
	// MeanServiceTime is the mean service time at full speed.
	MeanServiceTime time.Duration
	// IsHeavyTailed gives a heavy-tailed service time in place of a short-tailed one.
	IsHeavyTailed bool
	// Timeout is the deadline of each request.
	Timeout time.Duration
	// Unkeyed sends non-idempotent requests without a key.
	Unkeyed bool
	Seed    uint64
	// Tag tells the operations of plans with the same seed apart.
	Tag string
}

// Arrival is one request of a plan.
type Arrival struct {
	At          time.Duration
	ServiceTime time.Duration
	IsRead      bool
}

// Arrivals draws the requests of a plan; equal plans give equal requests.
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
	// uniformHalfWidth spreads short-tailed service times evenly around the mean.
	uniformHalfWidth = 0.5
	// slowFraction of heavy-tailed requests take longFactor times the others' time.
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
