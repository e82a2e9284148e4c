package budget

import "time"

// Share is a host's part of a budget of whole units per window. Over any
// window of the budget's length it allows at most units spends, also when the
// process was restarted or paused in between: it starts empty, the bucket holds
// one unit, and the rest of the units accrue evenly.
type Share struct {
	units      int
	window     time.Duration
	tokens     float64
	lastRefill time.Time
}

// NewShare returns an empty share; units below one allow nothing.
func NewShare(units int, window time.Duration, now time.Time) *Share {
	return &Share{units: units, window: window, lastRefill: now}
}

// WithLimit returns a copy with another limit, and nothing saved up.
func (s *Share) WithLimit(units int, window time.Duration, now time.Time) *Share {
	return NewShare(units, window, now)
}

// Spend takes one unit and reports whether there was one.
//
// The refill rate is (units-1)/window, or 1/window for a single unit with an
// empty bucket afterwards: a window then holds at most one saved unit and
// units-1 accrued ones.
func (s *Share) Spend(now time.Time) bool {
	if s.units < 1 {
		return false
	}
	s.refill(now)
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}

func (s *Share) refill(now time.Time) {
	elapsed := now.Sub(s.lastRefill)
	if elapsed <= 0 {
		return
	}
	s.lastRefill = now
	rate := float64(max(s.units-1, 1)) / s.window.Seconds()
	s.tokens = min(s.tokens+elapsed.Seconds()*rate, 1)
}

// RetryBudget bounds extra work to a share of the regular work.
type RetryBudget struct {
	share  float64
	burst  float64
	tokens float64
}

// NewRetryBudget returns a ratio that allows share extra spends per earned unit and saves up to burst.
func NewRetryBudget(share, burst float64) *RetryBudget {
	return &RetryBudget{share: share, burst: burst}
}

// SetBurst changes how much may be saved up.
func (r *RetryBudget) SetBurst(burst float64) {
	r.burst = burst
	r.tokens = min(r.tokens, burst)
}

// Earn records one unit of regular work.
func (r *RetryBudget) Earn() {
	r.tokens = min(r.tokens+r.share, r.burst)
}

// Spend takes one unit of extra work and reports whether it is allowed.
func (r *RetryBudget) Spend() bool {
	return r.SpendAbove(0)
}

// SpendAbove is Spend for work that must leave a reserve to more urgent work.
func (r *RetryBudget) SpendAbove(reserve float64) bool {
	if r.tokens < 1+reserve {
		return false
	}
	r.tokens--
	return true
}
