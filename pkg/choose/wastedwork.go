package choose

import "time"

const (
	// maxWastedShare is the share of slot time that cancelled attempts may take before hedging
	// stops. The policy Speed does not use it.
	maxWastedShare = 0.03
	// wastedWorkWindow is the slot time after which both sums are halved, so that old attempts
	// lose weight.
	wastedWorkWindow = 20 * time.Second
)

// wastedWork sums the slot time of all attempts and of the cancelled ones. If answers
// are late because of the requests themselves, hedges only repeat the work.
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
