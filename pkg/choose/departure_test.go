package choose_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"gitlab.com/curranttiller/curranttiller/pkg/choose"
)

var (
	firstStart  = testStart.Add(-time.Hour)
	secondStart = testStart.Add(time.Minute)
)

// leavingPool returns a pool with the targets t1 to tN that started at firstStart.
func leavingPool(policy string, targets int) *choose.Pool {
	settings := speedSettings
	settings.Policy = policy
	settings.QueueWaitAtMost = time.Minute
	pool := choose.New(settings, 1, testStart)
	pool.SetTargets(testStart, listed(targets, firstStart))
	return pool
}

func listed(targets int, startedAt time.Time) []choose.Target {
	list := make([]choose.Target, 0, targets)
	for i := range targets {
		list = append(list, choose.Target{Name: fmt.Sprintf("t%d", i+1), FailureDomain: "a", Slots: 2, StartedAt: startedAt})
	}
	return list
}

// grantedTargets sends requests until one is not granted and returns how many each target got.
func grantedTargets(pool *choose.Pool, now time.Time, firstID uint64) map[string]int {
	counts := make(map[string]int)
	for id := firstID; ; id++ {
		actions := pool.Arrive(now, stopRequest(now, id, time.Second))
		if len(actions.Grants) == 0 {
			pool.Release(now, id)
			break
		}
		counts[actions.Grants[0].Target]++
		defer func() {
			pool.Finish(now, id, 1, choose.Outcome{Kind: choose.Unused})
			pool.Release(now, id)
		}()
	}
	return counts
}

// TestLeavingTargetGetsNothing guards against a target that says in its answers that it
// leaves and goes on getting requests because its entry says that it is ready (issue 30,
// rule DRAIN).
func TestLeavingTargetGetsNothing(t *testing.T) {
	for _, policy := range []string{"Speed", "Held"} {
		tests := []struct {
			name   string
			change func(pool *choose.Pool, now time.Time)
			wants  bool
		}{
			{name: "nothing else", change: func(*choose.Pool, time.Time) {}},
			{name: "listed again", change: func(p *choose.Pool, now time.Time) { p.SetTargets(now, listed(2, firstStart)) }},
			{name: "listed again without a start time", change: func(p *choose.Pool, now time.Time) { p.SetTargets(now, listed(2, time.Time{})) }},
			{name: "gone and listed again", change: func(p *choose.Pool, now time.Time) {
				p.SetTargets(now, listed(2, firstStart)[1:])
				p.SetTargets(now, listed(2, firstStart))
			}},
			{name: "an older departure from another host", change: func(p *choose.Pool, now time.Time) {
				p.ReceiveDepartures(now, []choose.Departure{{Target: "t1", StartedUntil: firstStart.Add(-time.Minute)}})
			}},
			{name: "a report of a free target", change: func(p *choose.Pool, now time.Time) { p.Probed(now, "t1", &choose.Report{Slowdown: 1}) }},
			{name: "a later instance", change: func(p *choose.Pool, now time.Time) { p.SetTargets(now, listed(2, secondStart)) }, wants: true},
		}
		for _, tt := range tests {
			t.Run(policy+", "+tt.name, func(t *testing.T) {
				is := is.New(t)
				pool := leavingPool(policy, 2)
				now := testStart.Add(time.Second)
				is.True(grantedTargets(pool, now, 1)["t1"] > 0)
				pool.ObserveDeparture(now, "t1", firstStart, now)
				is.Equal(pool.TakeDepartureChanges(), []choose.Departure{{Target: "t1", StartedUntil: firstStart}})
				now = now.Add(time.Millisecond)
				tt.change(pool, now)
				got := grantedTargets(pool, now, 100)
				is.Equal(got["t1"] > 0, tt.wants)
				is.True(got["t2"] > 0)
			})
		}
	}
}

// TestDepartureOfAnotherInstance checks that an answer of an instance that has ended says
// nothing about the one that started after it.
func TestDepartureOfAnotherInstance(t *testing.T) {
	is := is.New(t)
	pool := leavingPool("Speed", 2)
	pool.SetTargets(testStart, listed(2, secondStart))
	pool.ObserveDeparture(testStart, "t1", firstStart, testStart)
	is.True(grantedTargets(pool, testStart, 1)["t1"] > 0)
	is.Equal(len(pool.Departures()), 0)
}

// TestUnknownStartCountsAsBeforeAnswer checks a target whose entry has no start time.
func TestUnknownStartCountsAsBeforeAnswer(t *testing.T) {
	is := is.New(t)
	pool := choose.New(speedSettings, 1, testStart)
	pool.SetTargets(testStart, listed(2, time.Time{}))
	pool.ObserveDeparture(testStart, "t1", time.Time{}, testStart)
	is.Equal(grantedTargets(pool, testStart, 1)["t1"], 0)
	pool.SetTargets(testStart, listed(2, firstStart)) // it started before the answer
	is.Equal(grantedTargets(pool, testStart, 100)["t1"], 0)
	pool.SetTargets(testStart, listed(2, secondStart))
	is.True(grantedTargets(pool, testStart, 200)["t1"] > 0)
}

// TestWaitingRequestsAvoidLeavingTarget checks requests that wait, retries and hedges.
func TestWaitingRequestsAvoidLeavingTarget(t *testing.T) {
	is := is.New(t)
	pool := leavingPool("Speed", 2)
	now := testStart
	targets := make(map[uint64]string)
	for id := uint64(1); id <= 4; id++ {
		targets[id] = pool.Arrive(now, stopRequest(now, id, time.Second)).Grants[0].Target
	}
	is.Equal(pool.Arrive(now, stopRequest(now, 5, time.Second)), choose.Actions{}) // waits
	pool.ObserveDeparture(now, "t1", firstStart, now)
	for id := uint64(1); id <= 4; id++ {
		if targets[id] == "t1" {
			// The slots that get free belong to the leaving target.
			is.Equal(pool.Finish(now, id, 1, choose.Outcome{Kind: choose.Answered, Latency: time.Millisecond}), choose.Actions{})
		}
	}
	for id := uint64(1); id <= 4; id++ {
		if targets[id] == "t2" {
			granted := pool.Finish(now, id, 1, choose.Outcome{Kind: choose.Answered, Latency: time.Millisecond}).Grants
			is.Equal(granted[0].Request, uint64(5))
			is.Equal(granted[0].Target, "t2")
			break
		}
	}
	for _, grant := range pool.Hedge(now.Add(time.Second/2), 5).Grants {
		is.Equal(grant.Target, "t2")
	}
}

// TestServiceOfLeavingTargets checks a service all of whose targets leave: they are used for
// a short time, and then requests are refused at once, also those that wait.
func TestServiceOfLeavingTargets(t *testing.T) {
	is := is.New(t)
	pool := leavingPool("Speed", 2)
	now := testStart
	pool.ObserveDeparture(now, "t1", firstStart, now)
	pool.ObserveDeparture(now, "t2", firstStart, now)
	for id := uint64(1); id <= 4; id++ {
		is.Equal(len(pool.Arrive(now, stopRequest(now, id, 10*time.Second)).Grants), 1)
	}
	is.Equal(pool.Arrive(now, stopRequest(now, 5, 10*time.Second)), choose.Actions{}) // waits
	now = now.Add(1100 * time.Millisecond)
	is.Equal(pool.Tick(now).Refusals, []choose.Refusal{{Request: 5, Reason: choose.ReasonNoTarget}})
	is.Equal(pool.Arrive(now, stopRequest(now, 6, 10*time.Second)).Refusals, []choose.Refusal{{Request: 6, Reason: choose.ReasonNoTarget}})
	_, isRetried := pool.Retry(now, 1, true)
	is.True(!isRetried)
	for id := uint64(1); id <= 4; id++ {
		pool.Finish(now, id, 1, choose.Outcome{Kind: choose.Cancelled})
	}
	pool.SetTargets(now, listed(2, secondStart)) // new instances
	is.Equal(len(pool.Arrive(now, stopRequest(now, 7, 10*time.Second)).Grants), 1)
}

// TestDeparturesAreShared checks that a host learns of a departure from another one, and
// tells it to others only once.
func TestDeparturesAreShared(t *testing.T) {
	is := is.New(t)
	first, second := leavingPool("Speed", 3), leavingPool("Speed", 3)
	first.ObserveDeparture(testStart, "t2", firstStart, testStart)
	shared := first.Departures()
	is.Equal(shared, []choose.Departure{{Target: "t2", StartedUntil: firstStart}})
	_, isNew := second.ReceiveDepartures(testStart, shared)
	is.True(isNew)
	_, isNew = second.ReceiveDepartures(testStart, shared)
	is.True(!isNew)
	is.Equal(grantedTargets(second, testStart, 1)["t2"], 0)
	is.Equal(second.Departures(), shared)
	second.SetTargets(testStart, listed(1, firstStart))
	is.Equal(len(second.Departures()), 0) // it is no longer listed
}

// leavingTargets is a workload of 20 targets of which some leave after 3 s.
func leavingTargets(hosts, leaving int, load float64) workload {
	w := fewTargets(20, load)
	w.hosts = hosts
	w.length = 8 * time.Second
	w.leaving = leaving
	w.leavingFrom = 3 * time.Second
	return w
}

// TestReplayedDeparturesHold checks the rule DRAIN under load, beside hosts that freeze and
// are cut off from each other.
func TestReplayedDeparturesHold(t *testing.T) {
	const drainTime = 2 * time.Second
	tests := []struct {
		name     string
		workload workload
		disturb  func(s *simulation)
	}{
		{name: "one host", workload: leavingTargets(1, 2, 1)},
		{name: "13 hosts", workload: leavingTargets(13, 2, 1)},
		{name: "burst", workload: leavingTargets(13, 5, 2)},
		{name: "all targets leave", workload: leavingTargets(3, 20, 1)},
		{name: "hosts freeze", workload: leavingTargets(13, 2, 1), disturb: freezeHosts},
		{name: "hosts cut off from each other", workload: leavingTargets(13, 2, 1), disturb: cutHosts},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			w := tt.workload
			w.disturb = tt.disturb
			s := replay(w, 1)
			w.ignoresLeaving = true
			ignoring := replay(w, 1)
			t.Logf("latest request %v after the first answer, %v if ignored", s.latestToLeaving(), ignoring.latestToLeaving())
			is.True(s.latestToLeaving() <= drainTime)
			is.True(ignoring.latestToLeaving() > drainTime) // the check can fail
		})
	}
}

// latestToLeaving is the longest time after which a request arrived that its host sent to a
// target whose first answer that it leaves the host already had.
func (s *simulation) latestToLeaving() time.Duration {
	latest := time.Duration(0)
	for _, h := range s.hosts {
		for _, after := range h.sentToLeaving {
			latest = max(latest, after)
		}
	}
	return latest
}
