package choose

import "time"

// learnFromOutcome updates the estimate of the target and the work of the class from the
// end of an attempt.
func (p *Pool) learnFromOutcome(now time.Time, r *pending, number int, outcome Outcome) {
	a := &r.attempts[number-1]
	s := a.target
	if outcome.Report != nil {
		p.updateMeanSlowdown(outcome.Report.Slowdown)
	}
	switch outcome.Kind {
	case Answered:
		s.estimate.addSuccess(now)
		if r.IsPaced {
			return // the latency is that of the caller
		}
		p.spreadOf(a.wasSlow).add(outcome.Latency, a.expectedLatency)
		p.learnFromAnswer(now, r, a, outcome)
	case Errored, Declined:
		s.estimate.addError(now)
	case Cancelled:
		p.learnFromCancellation(now, r, a)
	case Unused:
	}
}

// learnFromAnswer divides the latency by the slowdown at the start of the attempt, which
// gives the work of the request. Its ratio to the mean work of the class shows how much
// slower the target is than it reports.
func (p *Pool) learnFromAnswer(now time.Time, r *pending, a *attempt, outcome Outcome) {
	if a.slowdown == 0 {
		return
	}
	work := time.Duration(float64(outcome.Latency) / a.slowdown)
	stats, found := p.classes[r.Class]
	if !found {
		stats = &classWork{}
		p.classes[r.Class] = stats
	}
	saturation := saturationOf(a.wasFull, outcome.Report == nil || outcome.Report.Running >= p.slots(a.target))
	expected := stats.work()
	if expected > 0 {
		saturationSlowdown := 1.0
		if saturation != unsaturated {
			saturationSlowdown = max(p.saturationSlowdown, 1)
		}
		a.target.estimate.addLatencyRatio(now, float64(work)/(float64(expected)*saturationSlowdown))
		work = min(work, maxWorkRatio*expected)
	}
	stats.add(work, saturation)
	p.saturationSlowdown = p.estimatedSaturationSlowdown()
}

// saturation says whether all slots of a target were busy while a request ran.
type saturation int

const (
	// partlySaturated means that all slots were busy only at the start or only at the end. The
	// work of such a request counts for neither state.
	partlySaturated saturation = iota
	unsaturated
	saturated
)

func saturationOf(atStart, atEnd bool) saturation {
	switch {
	case atStart && atEnd:
		return saturated
	case !atStart && !atEnd:
		return unsaturated
	default:
		return partlySaturated
	}
}

// maxWorkRatio limits the work of one answer to a multiple of the mean of its class.
const maxWorkRatio = 4

// learnFromCancellation adds the age of a cancelled attempt to the unreported slowdown
// if an answer was long overdue at the reported slowdown.
func (p *Pool) learnFromCancellation(now time.Time, r *pending, a *attempt) {
	if a.slowdown == 0 || r.IsPaced {
		return
	}
	ratio := float64(now.Sub(a.sent)) / (a.slowdown * float64(max(p.work(r), 1)))
	if ratio > overdueFactor {
		a.target.estimate.addLatencyRatio(now, ratio)
	}
}

// work is the mean work of the request's class, or initialWorkShare of its objective
// before the first answer.
func (p *Pool) work(r *pending) time.Duration {
	if stats, found := p.classes[r.Class]; found {
		return stats.work()
	}
	return time.Duration(initialWorkShare * float64(r.objective()))
}

// initialWorkShare is the share of the objective that is expected as work before the
// first answer of a class.
const initialWorkShare = 0.35
