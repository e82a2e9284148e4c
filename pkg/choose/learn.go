package choose

import "time"

// learnPace compares the end of an attempt with what was expected of its target.
func (p *Pool) learnFromOutcome(now time.Time, r *pending, number int, outcome Outcome) {
	a := &r.attempts[number-1]
	s := a.target
	if outcome.Report != nil {
		p.updateUsualSlowdown(outcome.Report.Slowdown)
	}
	switch outcome.Kind {
	case Answered:
		s.pace.addSuccess(now)
		p.spreadOf(a.wasSlow).add(outcome.Latency, a.expected)
		p.learnFromAnswer(now, r, a, outcome)
	case Errored, Declined:
		s.pace.addError(now)
	case Cancelled:
		p.learnFromCancellation(now, r, a)
	case Unused:
	}
}

// learnWork separates the work of the class from the speed of the target.
func (p *Pool) learnFromAnswer(now time.Time, r *pending, a *attempt, outcome Outcome) {
	if a.slowdown == 0 {
		return
	}
	work := time.Duration(float64(outcome.Latency) / a.slowdown)
	known, found := p.classes[r.Class]
	if !found {
		known = &class{}
		p.classes[r.Class] = known
	}
	saturation := saturationOf(a.wasFull, outcome.Report == nil || outcome.Report.Running >= p.slots(a.target))
	expected := known.work()
	if expected > 0 {
		crowding := 1.0
		if saturation != unsaturated {
			crowding = max(p.full, 1)
		}
		a.target.pace.addLatencyRatio(now, float64(work)/(float64(expected)*crowding))
		work = min(work, maxWorkRatio*expected)
	}
	known.add(work, saturation)
	p.full = p.estimatedSaturationSlowdown()
}

// crowd says whether all slots of a target were busy while a request ran.
type saturation int

const (
	// crowdMixed is for requests that ran partly at a full target, which say little.
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

// ratioMost bounds how much one answer moves what is known of its class.
const maxWorkRatio = 4

// learnFromCancelled takes it that work which would long have been done at the
// reported speed is held up by something that the target does not report.
func (p *Pool) learnFromCancellation(now time.Time, r *pending, a *attempt) {
	if a.slowdown == 0 {
		return
	}
	ratio := float64(now.Sub(a.sent)) / (a.slowdown * float64(max(p.work(r), 1)))
	if ratio > overdueFactor {
		a.target.pace.addLatencyRatio(now, ratio)
	}
}

// work is the mean time that a class of requests takes at the usual speed.
func (p *Pool) work(r *pending) time.Duration {
	if known, found := p.classes[r.Class]; found {
		return known.work()
	}
	return time.Duration(initialWorkShare * float64(r.objective()))
}

// guessShare is the part of the objective that work is taken to need while nothing is known of its class.
const initialWorkShare = 0.35
