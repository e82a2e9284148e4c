package choose

import (
	"time"

	"gitlab.com/curranttiller/curranttiller/pkg/spec"
)

// StopAt sets the time at which the host ends the requests that have no answer. From now
// on, requests that are not expected to be answered by then are refused, both new ones
// and those that wait, and no further attempt of them is granted. Attempts in flight go on.
func (p *Pool) StopAt(now, end time.Time) Actions {
	p.stopsAt = end
	for _, r := range p.requests {
		p.limitToStop(r)
	}
	actions := p.expireByStop(now)
	granted := p.dispatch(now)
	actions.Grants = granted.Grants
	actions.Refusals = append(actions.Refusals, granted.Refusals...)
	return actions
}

// limitToStop moves the deadline of a request forward to the end of the stop. The
// objective stays the same.
func (p *Pool) limitToStop(r *pending) {
	if p.stopsAt.IsZero() || !r.Deadline.After(p.stopsAt) {
		return
	}
	r.Objective = r.objective()
	r.Deadline = p.stopsAt
	r.endsWithStop = true
}

// outlastsStop reports whether a request that starts now would probably not end before
// the stop does.
func (p *Pool) outlastsStop(now time.Time, r *pending) bool {
	return r.endsWithStop && now.Add(upperLatency(p.expectedWork(r))).After(r.Deadline)
}

// expectedWork is the expected latency of a request without a wait.
func (p *Pool) expectedWork(r *pending) time.Duration {
	if p.settings.Policy == spec.PolicySpeed {
		return p.work(r)
	}
	return p.latencies.mean
}

// expireByStop refuses the waiting requests that would outlast the stop.
func (p *Pool) expireByStop(now time.Time) Actions {
	var actions Actions
	if p.stopsAt.IsZero() {
		return actions
	}
	for r := range p.waiting.all {
		if p.outlastsStop(now, r) {
			p.waiting.remove(r.ID)
			actions.Refusals = append(actions.Refusals, Refusal{Request: r.ID, Reason: ReasonStopping})
		}
	}
	return actions
}

// deadlineReason is the reason for the refusal of a request that can't be answered before
// its deadline.
func (r *pending) deadlineReason() string {
	if r.endsWithStop {
		return ReasonStopping
	}
	return ReasonDeadline
}
