package choose

import "time"

// Load pattern: callers that send long bodies slowly, or stop halfway. The target of such a
// request waits for the caller. While it does, the age of the attempt says nothing about the
// target, and neither does an end without an answer that the caller has caused.

// BodyArrived records that the body of a request with IsPaced has arrived. Its attempt counts
// as sent now.
func (p *Pool) BodyArrived(now time.Time, id uint64) {
	r, found := p.requests[id]
	if !found || !r.IsPaced {
		return
	}
	r.IsPaced = false
	for i := range r.attempts {
		a := &r.attempts[i]
		if a.ended {
			continue
		}
		a.sent = now
		a.target.attemptTimes = append(a.target.attemptTimes, now)
		if len(a.target.attemptTimes) == 1 {
			a.target.estimate.oldestExpectedLatency = a.expectedLatency
		}
	}
}
