package choose

import "time"

const (
	// wasteShare is the largest share of slot time that cancelled attempts may take before hedging stops.
	maxWastedShare = 0.03
	// wasteMemory is how much slot time is remembered; older time counts half, again and again.
	wastedWorkWindow = 20 * time.Second
)

// wastedWork follows how much slot time went to attempts that were cancelled. Where
// long answers are long because of the request, hedges only repeat the work.
type wastedWork struct {
	busy, wasted time.Duration
}

func (w *wastedWork) add(outcome Outcome) {
	w.busy += outcome.Latency
	if outcome.Kind == Cancelled {
		w.wasted += outcome.Latency
	}
	if w.busy > wastedWorkWindow {
		w.busy /= 2
		w.wasted /= 2
	}
}

func (w *wastedWork) exceedsLimit() bool {
	return float64(w.wasted) > maxWastedShare*float64(w.busy)
}
