package budget_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"gitlab.com/curranttiller/curranttiller/pkg/budget"
)

// TestShareHoldsInEveryWindow guards against a host that exceeds its share after a
// restart or a pause.
func TestShareHoldsInEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const window = 10 * time.Second
		units := rapid.IntRange(0, 5).Draw(t, "units")
		now := time.Unix(0, 0)
		share := budget.NewShare(units, window, now)
		var spent []time.Time
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 15000).Draw(t, "ms")) * time.Millisecond)
			},
			"restart": func(*rapid.T) { share = budget.NewShare(units, window, now) },
			"spend": func(*rapid.T) {
				if share.Spend(now) {
					spent = append(spent, now)
				}
			},
			"": func(t *rapid.T) {
				inWindow := 0
				for _, at := range spent {
					if now.Sub(at) < window {
						inWindow++
					}
				}
				if inWindow > units {
					t.Fatalf("%d events in a window, allowed are %d", inWindow, units)
				}
			},
		})
	})
}

// TestShareAllowsMostOfItsUnits guards against a refill rate that is too low.
func TestShareAllowsMostOfItsUnits(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	share := budget.NewShare(3, 10*time.Second, now)
	count := 0
	for range 1000 {
		now = now.Add(100 * time.Millisecond)
		if share.Spend(now) {
			count++
		}
	}
	is.True(count >= 19) // of 20 tokens in 100 s, two per window of 10 s
}

func TestRetryBudgetLimitsExtraWork(t *testing.T) {
	is := is.New(t)
	r := budget.NewRetryBudget(0.1, 2)
	is.True(!r.Spend())
	for range 100 {
		r.Earn()
	}
	is.True(r.Spend())
	is.True(r.Spend())
	is.True(!r.Spend()) // the burst is two
}
