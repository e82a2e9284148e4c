package entry

import (
	"net/http"
	"time"

	"gitlab.com/curranttiller/curranttiller/internal/route"
	"gitlab.com/curranttiller/curranttiller/pkg/choose"
	"gitlab.com/curranttiller/curranttiller/pkg/event"
	"gitlab.com/curranttiller/curranttiller/pkg/fault"
)

// targetStopMargin is how long before the end of a stop the targets have to answer, so
// that their answers still reach the callers.
const targetStopMargin = 100 * time.Millisecond

// stopPlan says how a host stops. It takes every request that is expected to end by
// endsAt until takesUntil, and then only those whose deadline is not after endsAt.
type stopPlan struct {
	takesUntil, endsAt time.Time
}

// PlanStop sets the times of the stop of the host. Until takesUntil it takes requests that
// are expected to end by endsAt, and then only those whose deadline is not later than
// endsAt. It refuses the others, and those that already wait, as soon as that is known.
func (d *Daemon) PlanStop(takesUntil, endsAt time.Time) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopPlan.Store(&stopPlan{takesUntil: takesUntil, endsAt: endsAt})
	for _, s := range d.services {
		s.planStop(now, endsAt)
	}
}

func (s *service) planStop(now, endsAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deliverActions(s.pool.StopAt(now, endsAt))
}

// EndRequests makes all requests without an answer end at once. Those that have certainly
// not run are refused, and the others fail.
func (d *Daemon) EndRequests() {
	d.endRequestsOnce.Do(func() {
		open := d.OpenRequests()
		d.log.Warn("requests still in flight at the end of the stop are cut", "Waiting", open.Waiting, "Unconnected", open.Unconnected, "Sent", open.Sent)
		d.events.Add(event.Event{Kind: "RequestsCut", Cause: "the time for the stop is over"})
		close(d.requestsEnded)
	})
}

// refuseDuringStop returns the error for a request that this host may not take any more
// because it stops, or nil.
func (d *Daemon) refuseDuringStop(now time.Time, request *route.Request) *fault.Error {
	plan := d.stopPlan.Load()
	if plan == nil || now.Before(plan.takesUntil) || !request.Deadline.After(plan.endsAt) {
		return nil
	}
	return stoppingFault()
}

func stoppingFault() *fault.Error {
	return fault.New(fault.NotRun, http.StatusServiceUnavailable, choose.ReasonStopping)
}

// areRequestsEnded reports whether EndRequests was called.
func (d *Daemon) areRequestsEnded() bool {
	select {
	case <-d.requestsEnded:
		return true
	default:
		return false
	}
}

// attemptDeadline returns the time by which a target must answer an attempt of a request.
func (d *Daemon) attemptDeadline(request *route.Request) time.Time {
	plan := d.stopPlan.Load()
	if plan == nil || !request.Deadline.After(plan.endsAt) {
		return request.Deadline
	}
	return plan.endsAt.Add(-targetStopMargin)
}

// OpenRequests counts the requests at a host that have no answer yet, by where they are.
type OpenRequests struct {
	// Waiting is the number of requests that wait for the grant of a target. Some of them
	// may have an attempt too.
	Waiting int
	// Unconnected is the number of attempts that wait for a connection, and Sent that of
	// the attempts that have one.
	Unconnected, Sent int
}

// OpenRequests counts the requests that this host has at the moment.
func (d *Daemon) OpenRequests() OpenRequests {
	d.mu.Lock()
	defer d.mu.Unlock()
	var open OpenRequests
	for _, s := range d.services {
		s.mu.Lock()
		unconnected := s.client.UnconnectedAttempts()
		open.Waiting += s.pool.Waiting()
		open.Unconnected += unconnected
		open.Sent += max(int(s.attemptsRunning.Load())-unconnected, 0)
		s.mu.Unlock()
	}
	return open
}
