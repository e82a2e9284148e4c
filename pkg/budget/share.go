package budget

import "time"

// Share is one host's share of a limit on events per time window. It allows at most a
// fixed number of events, its units, in any window of the given length. This holds
// even if the process is restarted or paused, because the token bucket starts empty
// and holds only one token.
type Share struct {
	units      int
	window     time.Duration
	tokens     float64
	lastRefill time.Time
}

// NewShare returns a share without a token. It allows nothing if units is below one.
func NewShare(units int, window time.Duration, now time.Time) *Share {
	return &Share{units: units, window: window, lastRefill: now}
}

// WithLimit returns a share with another limit. Like a new share it has no token, so that
// a change of the limit allows no burst.
func (s *Share) WithLimit(units int, window time.Duration, now time.Time) *Share {
	return NewShare(units, window, now)
}

// Spend takes a token and reports whether there was one. An event is allowed only if there was.
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

// refill adds the tokens since the last refill. The rate is units-1 tokens per window,
// so that a window allows at most the token in the bucket and units-1 new ones. For a
// single unit the rate is 1 token per window. The bucket is then empty after an event,
// so the next event is a whole window later.
func (s *Share) refill(now time.Time) {
	elapsed := now.Sub(s.lastRefill)
	if elapsed <= 0 {
		return
	}
	s.lastRefill = now
	rate := float64(max(s.units-1, 1)) / s.window.Seconds()
	s.tokens = min(s.tokens+elapsed.Seconds()*rate, 1)
}

// RetryBudget limits extra work, such as retries and hedges, to a fraction of the regular work.
type RetryBudget struct {
	share  float64
	burst  float64
	tokens float64
}

// NewRetryBudget returns an empty budget. It allows share units of extra work per unit of
// regular work, and bursts of at most burst units.
func NewRetryBudget(share, burst float64) *RetryBudget {
	return &RetryBudget{share: share, burst: burst}
}

// SetBurst changes the largest burst.
func (r *RetryBudget) SetBurst(burst float64) {
	r.burst = burst
	r.tokens = min(r.tokens, burst)
}

// Earn adds the tokens for one unit of regular work.
func (r *RetryBudget) Earn() {
	r.tokens = min(r.tokens+r.share, r.burst)
}

// Has reports whether there is a token.
func (r *RetryBudget) Has() bool {
	return r.tokens >= 1
}

// Spend takes a token and reports whether there was one. A unit of extra work is allowed only if there was.
func (r *RetryBudget) Spend() bool {
	return r.SpendAbove(0)
}

// SpendAbove is like Spend, but takes no token unless at least reserve tokens remain
// for more urgent work.
func (r *RetryBudget) SpendAbove(reserve float64) bool {
	if r.tokens < 1+reserve {
		return false
	}
	r.tokens--
	return true
}
