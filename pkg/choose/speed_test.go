package choose_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"gitlab.com/curranttiller/curranttiller/pkg/choose"
	"gitlab.com/curranttiller/curranttiller/pkg/spec"
)

var speedSettings = choose.Settings{
	Policy: spec.PolicySpeed, Slots: 2, AttemptsAtMost: 2, ExtraAttemptShare: 0.2, ExtraBurst: 4, HedgeQuantile: 0.95, BusyShare: 0.9, FailureDomain: "a",
}

var testStart = time.Unix(5000, 0)

// speedPool returns a pool with a target of each name, which has reported the given
// slowdown.
func speedPool(slowdowns map[string]float64) *choose.Pool {
	pool := choose.New(speedSettings, 1, testStart)
	targets := make([]choose.Target, 0, len(slowdowns))
	for name := range slowdowns {
		targets = append(targets, choose.Target{Name: name, FailureDomain: "a", Slots: 2})
	}
	pool.SetTargets(testStart, targets)
	for name, slowdown := range slowdowns {
		pool.Probed(testStart, name, &choose.Report{Slowdown: slowdown})
	}
	return pool
}

// arrive sends a request with a deadline of 1 s and an objective of 300 ms, as altered
// by change.
func arrive(pool *choose.Pool, now time.Time, id uint64, change func(r *choose.Request)) choose.Actions {
	request := choose.Request{ID: id, Idempotent: true, Deadline: now.Add(time.Second), Objective: 300 * time.Millisecond, Class: "status"}
	if change != nil {
		change(&request)
	}
	return pool.Arrive(now, request)
}

func TestSpeedChoosesFastestTargetWhoeverProbesIt(t *testing.T) {
	tests := []struct {
		name    string
		isSpare bool
		// slots is the number of requests that the fast target gets before another one is chosen.
		slots int
	}{
		{name: "probed by this host", slots: 3},
		{name: "probed by another host, for which a slot stays free", isSpare: true, slots: 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			pool := choose.New(speedSettings, 1, testStart)
			names := []string{"slow", "fast", "middling"}
			targets := make([]choose.Target, 0, len(names))
			for _, name := range names {
				targets = append(targets, choose.Target{Name: name, FailureDomain: "a", Slots: 3, Spare: test.isSpare})
			}
			pool.SetTargets(testStart, targets)
			pool.Probed(testStart, "slow", &choose.Report{Slowdown: 7})
			pool.Probed(testStart, "fast", &choose.Report{Slowdown: 1})
			pool.Probed(testStart, "middling", &choose.Report{Slowdown: 2})
			for id := range uint64(test.slots) {
				actions := arrive(pool, testStart, id, nil)
				is.Equal(actions.Grants[0].Target, "fast")
				is.Equal(actions.Grants[0].UsableTargets, 3)
			}
			is.Equal(arrive(pool, testStart, 9, nil).Grants[0].Target, "middling") // the fast target has no free slot
		})
	}
}

func TestSpeedCountsRequestsOfOtherHosts(t *testing.T) {
	is := is.New(t)
	pool := speedPool(map[string]float64{"slow": 2, "fast": 1})
	pool.ReceiveObservations(testStart, "other", []choose.Observation{{Target: "fast", InFlight: 2}})
	is.Equal(arrive(pool, testStart, 1, nil).Grants[0].Target, "slow")
	pool.ReceiveObservations(testStart.Add(time.Millisecond), "other", nil)
	is.Equal(arrive(pool, testStart.Add(time.Millisecond), 2, nil).Grants[0].Target, "fast")
}

func TestSpeedDiscountsOldReports(t *testing.T) {
	is := is.New(t)
	pool := speedPool(map[string]float64{"was-slow": 7, "unsteady": 2.8})
	later := testStart.Add(450 * time.Millisecond)
	pool.Probed(later, "unsteady", &choose.Report{Slowdown: 2.8})
	is.Equal(arrive(pool, later, 1, nil).Grants[0].Target, "was-slow") // its report has decayed to the mean slowdown
}

func TestSpeedAvoidsFailingTargetWithGoodReports(t *testing.T) {
	is := is.New(t)
	pool := speedPool(map[string]float64{"failing": 1, "good": 2})
	first := arrive(pool, testStart, 1, nil).Grants[0]
	is.Equal(first.Target, "failing")
	pool.Finish(testStart, 1, first.Attempt, choose.Outcome{Kind: choose.Errored})
	pool.Release(testStart, 1)
	is.Equal(arrive(pool, testStart, 2, nil).Grants[0].Target, "good")
}

func TestSpeedRefusesRequestsThatQueueingMakesLate(t *testing.T) {
	is := is.New(t)
	pool := speedPool(map[string]float64{"only": 1})
	refused := 0
	for id := range uint64(40) {
		actions := arrive(pool, testStart, id, nil)
		for _, refusal := range actions.Refusals {
			refused++
			is.Equal(refusal.Reason, choose.ReasonQueueFull)
			is.True(refusal.RetryAfter > 0)
		}
	}
	is.True(refused > 20)        // two slots serve few requests in time
	is.True(pool.Waiting() < 15) // only requests that can be in time wait
	is.True(refused+pool.Waiting() == 38)
}

func TestSpeedServesUrgentRequestsFirst(t *testing.T) {
	is := is.New(t)
	pool := speedPool(map[string]float64{"only": 1})
	arrive(pool, testStart, 1, nil)
	arrive(pool, testStart, 2, nil)
	arrive(pool, testStart, 3, func(r *choose.Request) { r.Priority = 2 })
	arrive(pool, testStart, 4, func(r *choose.Request) { r.Priority = 1 })
	now := testStart.Add(50 * time.Millisecond)
	actions := pool.Finish(now, 1, 1, choose.Outcome{Kind: choose.Answered, Latency: 50 * time.Millisecond})
	is.Equal(actions.Grants[0].Request, uint64(4))
}

func TestSpeedHedgesOnlyWithinTheBudget(t *testing.T) {
	is := is.New(t)
	pool := speedPool(map[string]float64{"a": 1, "b": 1, "c": 1, "d": 1, "e": 1})
	hedged := 0
	for id := range uint64(40) {
		now := testStart.Add(time.Duration(id) * 10 * time.Millisecond)
		grants := arrive(pool, now, id, nil).Grants
		is.True(grants[0].HedgeAfter > 0)
		hedged += len(pool.Hedge(now, id).Grants)
		pool.Finish(now, id, 1, choose.Outcome{Kind: choose.Answered, Latency: time.Millisecond})
		pool.Release(now, id)
	}
	is.True(hedged > 0)
	is.True(hedged <= 40/5) // ExtraAttemptShare of the requests
}

func TestSpeedProbesOnlyHeldTargets(t *testing.T) {
	is := is.New(t)
	settings := speedSettings
	settings.QuietAfter = 100 * time.Millisecond
	pool := choose.New(settings, 1, testStart)
	pool.SetTargets(testStart, []choose.Target{{Name: "held"}, {Name: "elsewhere", Spare: true}})
	is.Equal(pool.Probes(testStart), []string{"held"})
	is.Equal(len(pool.Probes(testStart)), 0) // the probe is in flight
	pool.Probed(testStart, "held", &choose.Report{Slowdown: 1})
	is.Equal(len(pool.Probes(testStart.Add(50*time.Millisecond))), 0)
	is.Equal(pool.Probes(testStart.Add(150*time.Millisecond)), []string{"held"})
}

// TestSpeedProbesInProportionToDemand guards against probing every held target of a
// large idle fleet. A host probes a few targets at a time in rotation, and all of them
// when requests arrive.
func TestSpeedProbesInProportionToDemand(t *testing.T) {
	is := is.New(t)
	settings := speedSettings
	settings.QuietAfter = 100 * time.Millisecond
	pool := choose.New(settings, 1, testStart)
	const held, idleProbes, seconds = 100, 8, 100
	targets := make([]choose.Target, held)
	for i := range targets {
		targets[i] = choose.Target{Name: fmt.Sprint("t", i), Slots: 4}
	}
	pool.SetTargets(testStart, targets)
	probed := make(map[string]bool)
	now := testStart
	for range seconds * 10 {
		names := pool.Probes(now)
		is.True(len(names) <= idleProbes)
		for _, name := range names {
			probed[name] = true
			pool.Probed(now, name, &choose.Report{Slowdown: 1})
		}
		now = now.Add(100 * time.Millisecond)
	}
	is.Equal(len(probed), held)

	pool.SetSharingHosts(idleProbes) // as many hosts as probes, so that each sends one
	is.True(len(pool.Probes(now.Add(time.Minute))) <= 1)
	pool.SetSharingHosts(1)

	for id := range uint64(held / 2) {
		arrive(pool, now, id, nil)
	}
	is.True(len(pool.Probes(now)) >= held-idleProbes-held/2) // far more than while idle
}

// TestSpeedDoesNotQueueWhileAllTargetsDecline guards against queueing requests when
// every target declines half of them although slots are free.
func TestSpeedDoesNotQueueWhileAllTargetsDecline(t *testing.T) {
	is := is.New(t)
	pool := speedPool(map[string]float64{"a": 1, "b": 1, "c": 1})
	now := testStart
	for id := range uint64(60) {
		now = now.Add(5 * time.Millisecond)
		grants := arrive(pool, now, id, nil).Grants
		is.Equal(len(grants), 1) // granted on arrival
		outcome := choose.Outcome{Kind: choose.Declined, Report: &choose.Report{Slowdown: 1}}
		if id%2 == 0 {
			outcome = choose.Outcome{Kind: choose.Answered, Latency: 4 * time.Millisecond, Report: &choose.Report{Slowdown: 1}}
		}
		pool.Finish(now.Add(4*time.Millisecond), id, 1, outcome)
		pool.Release(now.Add(4*time.Millisecond), id)
	}
}

// TestSpeedLeavesSlotFreeWhereSaturationSlowsTargets runs targets of three slots that
// take 1.7 times as long with all slots busy. A pool that fills them has a lower
// throughput.
func TestSpeedLeavesSlotFreeWhereSaturationSlowsTargets(t *testing.T) {
	tests := []struct {
		name             string
		saturatedLatency time.Duration
		wantOpen         int
	}{
		{name: "no saturation slowdown", saturatedLatency: 100 * time.Millisecond, wantOpen: 3},
		{name: "saturated targets slow down", saturatedLatency: 170 * time.Millisecond, wantOpen: 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			pool := choose.New(speedSettings, 1, testStart)
			pool.SetTargets(testStart, []choose.Target{{Name: "only", FailureDomain: "a", Slots: 3}})
			now := testStart
			for round := range uint64(60) {
				now = playRound(pool, now, 10*round, 1, 100*time.Millisecond)
				now = playRound(pool, now, 10*round+5, 3, test.saturatedLatency)
			}
			granted := 0
			for id := range uint64(3) {
				granted += len(arrive(pool, now, 1000+id, nil).Grants)
			}
			is.Equal(granted, test.wantOpen)
		})
	}
}

// playRound sends requests to the only target at the same time, which answers all of
// them after the given latency. It returns the start of the next round.
func playRound(pool *choose.Pool, now time.Time, first, requests uint64, latency time.Duration) time.Time {
	pool.Probed(now, "only", &choose.Report{Slowdown: 1})
	for id := first; id < first+requests; id++ {
		arrive(pool, now, id, nil)
	}
	for id := first; id < first+requests; id++ {
		report := &choose.Report{Slowdown: 1, Running: int(requests)}
		pool.Finish(now.Add(latency), id, 1, choose.Outcome{Kind: choose.Answered, Latency: latency, Report: report})
		pool.Release(now.Add(latency), id)
	}
	return now.Add(500 * time.Millisecond)
}

// TestSpeedAvoidsTargetsWithoutRecentReports guards against using the last good slowdown
// of a target whose machine has failed. Its probes hang, so no newer report arrives.
func TestSpeedAvoidsTargetsWithoutRecentReports(t *testing.T) {
	is := is.New(t)
	pool := speedPool(map[string]float64{"unreachable": 1, "good": 1.5})
	now := testStart.Add(700 * time.Millisecond)
	pool.Probed(now, "good", &choose.Report{Slowdown: 1.5})
	is.Equal(arrive(pool, now, 1, nil).Grants[0].Target, "good")
	pool.Probed(now, "unreachable", &choose.Report{Slowdown: 1})
	is.Equal(arrive(pool, now, 2, nil).Grants[0].Target, "unreachable") // reachable again
}

// TestSpeedSpendsRetryBudgetByPriority runs a service whose targets all decline. Once
// the budget is nearly spent, the rest goes to the most urgent requests.
func TestSpeedSpendsRetryBudgetByPriority(t *testing.T) {
	is := is.New(t)
	pool := speedPool(map[string]float64{"a": 1, "b": 1, "c": 1})
	retried := make(map[int]int)
	for id := range uint64(200) {
		now := testStart.Add(time.Duration(id) * 10 * time.Millisecond)
		priority := 2
		if id%4 == 0 {
			priority = 1
		}
		grant := arrive(pool, now, id, func(r *choose.Request) { r.Priority = priority }).Grants[0]
		actions := pool.Finish(now, id, grant.Attempt, choose.Outcome{Kind: choose.Declined})
		is.Equal(len(actions.Grants), 0)
		if again, allowed := pool.Retry(now, id, false); allowed {
			retried[priority]++
			pool.Finish(now, id, again.Grants[0].Attempt, choose.Outcome{Kind: choose.Declined})
		}
		pool.Release(now, id)
	}
	is.True(retried[1] >= 35) // of 50; the budget allows 40 retries of all priorities
	is.True(retried[2] <= 10)
}

// TestSpeedPrefersHeldTargets guards against several hosts choosing the same target of a
// busy service. With equally fast targets, each host uses the ones it holds first and
// others while these are busy.
func TestSpeedPrefersHeldTargets(t *testing.T) {
	is := is.New(t)
	pool := choose.New(speedSettings, 1, testStart)
	pool.SetTargets(testStart, []choose.Target{
		{Name: "x", FailureDomain: "a", Slots: 1, Spare: true}, {Name: "y", FailureDomain: "a", Slots: 1}, {Name: "z", FailureDomain: "a", Slots: 1, Spare: true},
	})
	for _, name := range []string{"x", "y", "z"} {
		pool.Probed(testStart, name, &choose.Report{Slowdown: 1})
	}
	is.Equal(arrive(pool, testStart, 1, nil).Grants[0].Target, "y")
	is.True(arrive(pool, testStart, 2, nil).Grants[0].Target != "y")
}

// TestSpeedCountsObjectiveFromFirstTry has callers retry with less time left. A lower
// limit set by an operator must not be taken for such a retry.
func TestSpeedCountsObjectiveFromFirstTry(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name     string
		patience time.Duration
		limit    time.Duration
		// isLate is set if the request is recognized as a retry. It can no longer meet its
		// objective then.
		isLate bool
	}{
		{name: "first try", patience: 1000 * ms, limit: 1000 * ms},
		{name: "second try", patience: 750 * ms, limit: 750 * ms, isLate: true},
		{name: "first try with a lower limit of the route", patience: 1000 * ms, limit: 750 * ms},
		{name: "caller without a time limit", limit: 750 * ms},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			pool := speedPool(map[string]float64{"only": 1})
			earlier := func(r *choose.Request) { r.Patience = 1000 * ms }
			for id := range uint64(3) {
				arrive(pool, testStart, id, earlier) // two run and one waits
			}
			actions := arrive(pool, testStart, 9, func(r *choose.Request) {
				r.Patience = test.patience
				r.Deadline = testStart.Add(test.limit)
			})
			is.Equal(len(actions.Refusals), 0)
			tick := pool.Tick(testStart)
			is.Equal(len(tick.Refusals) == 1, test.isLate) // a late request is refused while another can be in time
		})
	}
}

// TestSpeedSharesRetryBurstAmongHosts rescues all requests, as in an outage of all targets,
// with different numbers of hosts. Rescues spend tokens for extra attempts here. The rescues
// of all hosts together must stay within the allowance.
func TestSpeedSharesRetryBurstAmongHosts(t *testing.T) {
	const (
		allowance  = 430.0
		burstHosts = 5
	)
	for _, hosts := range []int{1, 5, 15, 45} {
		is := is.New(t)
		now := time.Unix(100, 0)
		settings := choose.Settings{Policy: spec.PolicySpeed, Slots: 4, AttemptsAtMost: 3, ExtraAttemptShare: 0.18, ExtraBurst: allowance / burstHosts, BurstHosts: burstHosts, BusyShare: 1, ChargeRescues: true}
		pool := choose.New(settings, 1, now)
		pool.SetSharingHosts(hosts)
		pool.SetTargets(now, []choose.Target{{Name: "t1", Slots: 100000}})
		const requests = 5000 // enough to save up the whole burst
		for id := range uint64(requests) {
			pool.Arrive(now, choose.Request{ID: id, Idempotent: true, Deadline: now.Add(time.Hour)})
		}
		rescues := 0
		for id := range uint64(requests) {
			if _, allowed := pool.Retry(now, id, true); allowed {
				rescues++
			}
		}
		is.True(rescues > 0)
		is.True(float64(rescues*hosts) <= allowance)
	}
}

// TestSpeedKeepsSlotsForRequestsInTime sends a burst that takes every slot. A
// slot that becomes free goes to a request that can meet its objective and not to one
// that will be late.
func TestSpeedKeepsSlotsForRequestsInTime(t *testing.T) {
	tests := []struct {
		name string
		// waited is the queueing delay of the last request when a slot becomes free.
		waited  time.Duration
		granted bool
	}{
		{name: "in time", waited: 100 * time.Millisecond, granted: true},
		{name: "late", waited: 280 * time.Millisecond, granted: false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			pool := speedPool(map[string]float64{"t1": 1, "t2": 1, "t3": 1, "t4": 1, "t5": 1, "t6": 1})
			const slots = 12
			grants := make([]choose.Grant, 0, slots)
			for id := range uint64(slots) {
				grants = append(grants, arrive(pool, testStart, id, nil).Grants...)
			}
			is.Equal(len(grants), slots)
			is.Equal(len(arrive(pool, testStart, slots, nil).Grants), 0)
			now := testStart.Add(tt.waited)
			actions := pool.Finish(now, 0, 1, choose.Outcome{Kind: choose.Answered, Latency: 100 * time.Millisecond})
			is.Equal(len(actions.Grants) == 1, tt.granted)
		})
	}
}

// TestSpeedRanksOutcomesAboveHealthReports runs a target that reports itself unhealthy
// although it answers well, and one that reports itself healthy although its requests
// hang.
func TestSpeedRanksOutcomesAboveHealthReports(t *testing.T) {
	t.Run("reports itself unhealthy and answers well", func(t *testing.T) {
		is := is.New(t)
		pool := speedPool(map[string]float64{"misreporting": 1, "slow": 1.5})
		now := testStart
		for id := range uint64(20) {
			now = now.Add(50 * time.Millisecond)
			pool.Probed(now, "misreporting", &choose.Report{Slowdown: 1, Unhealthy: true})
			pool.Probed(now, "slow", &choose.Report{Slowdown: 1.5})
			grants := arrive(pool, now, id, func(r *choose.Request) { r.Deadline = now.Add(time.Second) }).Grants
			is.Equal(len(grants), 1)
			is.Equal(grants[0].Target, "misreporting") // the faster one
			pool.Finish(now, id, 1, choose.Outcome{Kind: choose.Answered, Latency: 100 * time.Millisecond})
			pool.Release(now, id)
		}
	})
	t.Run("reports itself healthy and its requests hang", func(t *testing.T) {
		is := is.New(t)
		pool := speedPool(map[string]float64{"misreporting": 1, "slow": 1.5})
		other := speedPool(map[string]float64{"misreporting": 1, "slow": 1.5})
		now := testStart
		hung := 0
		for id := range uint64(20) {
			now = now.Add(50 * time.Millisecond)
			for _, p := range []*choose.Pool{pool, other} {
				p.Probed(now, "misreporting", &choose.Report{Slowdown: 1})
				p.Probed(now, "slow", &choose.Report{Slowdown: 1.5})
			}
			grants := arrive(pool, now, id, func(r *choose.Request) { r.Deadline = now.Add(time.Second) }).Grants
			is.Equal(len(grants), 1)
			if grants[0].Target == "slow" {
				pool.Finish(now, id, 1, choose.Outcome{Kind: choose.Answered, Latency: 150 * time.Millisecond})
				pool.Release(now, id)
				continue
			}
			hung++
			now = now.Add(500 * time.Millisecond)
			pool.MarkSuspect(now, id)
			pool.Finish(now, id, 1, choose.Outcome{Kind: choose.Cancelled, Latency: 500 * time.Millisecond})
			pool.Release(now, id)
		}
		is.True(hung <= 3)
		other.ReceiveObservations(now, "pool", pool.Observations(now, time.Second))
		grants := arrive(other, now, 100, func(r *choose.Request) { r.Deadline = now.Add(time.Second) }).Grants
		is.Equal(len(grants), 1)
		is.Equal(grants[0].Target, "slow") // without a failed request of its own
	})
}
