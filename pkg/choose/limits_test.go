package choose_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gitlab.com/curranttiller/curranttiller/pkg/choose"
	"gitlab.com/curranttiller/curranttiller/pkg/limit"
)

// limitedWindow is the span in which a target counts its requests, and limitSettleTime is
// the time after it first named its limit from which it does.
const (
	limitedWindow   = 4 * time.Second
	limitSettleTime = 3 * time.Second
)

// worstLimitedWindow returns the largest number of requests and probes in a window at the
// limited targets while their limits are in force.
func (s *simulation) worstLimitedWindow() int {
	worst := 0
	for _, t := range s.targets[:s.workload.limited] {
		var window []time.Duration
		for _, at := range t.arrivals {
			if at < s.workload.limitFrom+limitSettleTime || at >= s.workload.limitTo {
				continue
			}
			window = append(window, at)
			for at-window[0] > limitedWindow {
				window = window[1:]
			}
			worst = max(worst, len(window))
		}
	}
	return worst
}

// usedLimit is the share of the limits that was used after limitSettleTime.
func (s *simulation) usedLimit() float64 {
	sent := 0
	for _, t := range s.targets[:s.workload.limited] {
		for _, at := range t.arrivals {
			if at >= s.workload.limitFrom+limitSettleTime && at < s.workload.limitTo {
				sent++
			}
		}
	}
	return float64(sent) / (float64(s.workload.limited) * s.workload.limit * (s.workload.limitTo - s.workload.limitFrom - limitSettleTime).Seconds())
}

// limitedTargets is a workload of targets of which some name a limit, from 2 s to 12 s.
func limitedTargets(hosts, limited int, perSecond, load float64) workload {
	w := fewTargets(20, load)
	w.hosts = hosts
	w.length = 14 * time.Second
	w.limit = perSecond
	w.limited = limited
	w.limitFrom = 2 * time.Second
	w.limitTo = 12 * time.Second
	return w
}

// freezeHosts freezes one host after the other for a second.
func freezeHosts(s *simulation) {
	if second := int(s.now / time.Second); s.now%time.Second == 0 {
		s.hosts[second%len(s.hosts)].frozenUntil = s.now + time.Second
	}
}

// cutHosts cuts all hosts off from each other from 5 s on. Each then regards itself as the
// only one alive.
func cutHosts(s *simulation) {
	if s.now != 5*time.Second {
		return
	}
	for i, h := range s.hosts {
		h.isCut = true
		h.setView(i, len(s.hosts), 1)
	}
}

// swapViews makes each host take over the targets of another one for a second, while that
// one goes on to hold them.
func swapViews(s *simulation) {
	if s.now%time.Second == 0 {
		other := int(s.now/time.Second) % 2
		s.hosts[0].setView(other, len(s.hosts), len(s.hosts))
	}
}

// slowTargets makes all limited targets slow.
func slowTargets(s *simulation) {
	for _, t := range s.targets[:s.workload.limited] {
		t.isSlow = true
	}
}

func TestReplayedLimitsHoldForAllHosts(t *testing.T) {
	tests := []struct {
		name     string
		workload workload
		disturb  func(s *simulation)
	}{
		{name: "one host", workload: limitedTargets(1, 2, 3.4, 1)},
		{name: "three hosts", workload: limitedTargets(3, 2, 3.4, 1)},
		{name: "three hosts, limit below one a second", workload: limitedTargets(3, 2, 0.3, 1)},
		{name: "more hosts than the limit has requests", workload: limitedTargets(13, 2, 1, 1)},
		{name: "burst", workload: limitedTargets(13, 5, 1, 2.5)},
		{name: "all targets limited", workload: limitedTargets(3, 20, 1.5, 1)},
		{name: "all targets limited, many hosts", workload: limitedTargets(13, 20, 1.5, 1)},
		{name: "slow targets", workload: limitedTargets(3, 5, 3.4, 1), disturb: slowTargets},
		{name: "hosts freeze", workload: limitedTargets(13, 5, 1, 1), disturb: freezeHosts},
		{name: "hosts cut off from each other", workload: limitedTargets(13, 5, 1, 1), disturb: cutHosts},
		{name: "two owners", workload: limitedTargets(3, 5, 3.4, 1), disturb: swapViews},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			w := test.workload
			w.disturb = test.disturb
			s := replay(w, 1)
			allowed := 1.5*w.limit*limitedWindow.Seconds() + 5
			worst := s.worstLimitedWindow()
			all := s.total()
			w.ignoresLimits = true
			ignoring := replay(w, 1)
			allIgnoring := ignoring.total()
			t.Logf("%.2f of the limits used, %+v", s.usedLimit(), all)
			t.Logf("%d requests in %v, allowed %.0f; earned %.3f. Without limits %d, earned %.3f", worst, limitedWindow, allowed, all.share(), ignoring.worstLimitedWindow(), allIgnoring.share())
			is.True(float64(worst) <= allowed)
			is.True(float64(ignoring.worstLimitedWindow()) > allowed) // the check can fail
		})
	}
}

// TestReplayedLimitEnds checks that targets are used as before soon after their limits end.
func TestReplayedLimitEnds(t *testing.T) {
	is := is.New(t)
	w := limitedTargets(13, 5, 0.3, 1)
	w.length = 20 * time.Second
	s := replay(w, 1)
	for _, target := range s.targets[:w.limited] {
		after := 0
		for _, at := range target.arrivals {
			if at >= w.limitTo+5*time.Second {
				after++
			}
		}
		is.True(after >= 5) // about 3 requests a second
	}
}

// limitedPool returns a pool whose only target owns a limit that was just named.
func limitedPool(perSecond float64) *choose.Pool {
	pool := choose.New(speedSettings, 1, testStart)
	pool.SetTargets(testStart, []choose.Target{{Name: "only", FailureDomain: "a", Slots: 2, OwnsLimit: true}})
	pool.ReceiveLimits(testStart, []choose.TargetLimit{{Target: "only", State: limit.State{PerSecond: perSecond, At: testStart}}})
	return pool
}

func TestRequestsBeyondLimitAreRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	pool := limitedPool(2)
	refused := arrive(pool, testStart, 1, nil)
	is.Equal(len(refused.Refusals), 1)
	is.Equal(refused.Refusals[0].Reason, choose.ReasonLimitReached)
	is.Equal(refused.Refusals[0].RetryAfter, 500*time.Millisecond) // all hosts together may send two a second
	is.Equal(pool.Waiting(), 0)
	granted := arrive(pool, testStart.Add(time.Second), 2, nil)
	is.Equal(len(granted.Grants), 1)
}

func TestWaitingRequestsAreRefusedWhenAllTargetsAreLimited(t *testing.T) {
	is := is.New(t)
	pool := speedPool(map[string]float64{"only": 1})
	granted := 0
	for id := range uint64(3) {
		granted += len(arrive(pool, testStart, id, nil).Grants)
	}
	is.Equal(granted, 2)
	is.Equal(pool.Waiting(), 1)
	pool.ReceiveLimits(testStart, []choose.TargetLimit{{Target: "only", State: limit.State{PerSecond: 0.1, At: testStart}}})
	actions := pool.Tick(testStart.Add(time.Millisecond))
	is.Equal(len(actions.Refusals), 1)
	is.Equal(actions.Refusals[0].Reason, choose.ReasonLimitReached)
}

func TestLimitEndsWithAnswerToLaterRequest(t *testing.T) {
	none := &limit.Named{}
	named := &limit.Named{PerSecond: 2}
	tests := []struct {
		name string
		// first and second are what the answers to two requests state, in the order in which the
		// requests were sent. The answer to the first one arrives last if isReordered is set.
		first, second *limit.Named
		isReordered   bool
		kind          choose.OutcomeKind
		inForce       bool
	}{
		{name: "named, then not", first: named, second: none},
		{name: "late answer from before the limit", first: none, second: named, isReordered: true, inForce: true},
		{name: "unusable statement", first: named, second: &limit.Named{Problem: "negative", Text: "-1"}, inForce: true},
		{name: "error without a limit", first: named, second: none, kind: choose.Errored, inForce: true},
		{name: "no answer", first: named, second: nil, kind: choose.Errored, inForce: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			pool := speedPool(map[string]float64{"only": 1})
			now := testStart
			arrive(pool, now, 1, nil)
			finish := func(id uint64, kind choose.OutcomeKind, stated *limit.Named) {
				now = now.Add(10 * time.Millisecond)
				pool.Finish(now, id, 1, choose.Outcome{Kind: kind, Latency: 10 * time.Millisecond, Limit: stated})
				pool.Release(now, id)
			}
			if !test.isReordered {
				finish(1, choose.Answered, test.first)
				now = now.Add(30 * time.Second) // until the limit allows another request
			}
			second := arrive(pool, now, 2, func(r *choose.Request) { r.Objective, r.Deadline = time.Minute, now.Add(time.Minute) })
			for len(second.Grants) == 0 && now.Sub(testStart) < 5*time.Minute {
				now = now.Add(100 * time.Millisecond)
				second = pool.Tick(now)
			}
			finish(2, test.kind, test.second)
			if test.isReordered {
				finish(1, choose.Answered, test.first)
			}
			limits := pool.Limits(now)
			is.Equal(len(limits) == 1 && limits[0].State.IsInForce(), test.inForce)
		})
	}
}

// TestProbesSpendLimit checks that probes count, and that the owner probes only while no
// request uses its part of the limit.
func TestProbesSpendLimit(t *testing.T) {
	is := is.New(t)
	settings := speedSettings
	settings.QuietAfter = 100 * time.Millisecond
	pool := choose.New(settings, 1, testStart)
	pool.SetTargets(testStart, []choose.Target{{Name: "only", FailureDomain: "a", Slots: 2, OwnsLimit: true}})
	pool.ReceiveLimits(testStart, []choose.TargetLimit{{Target: "only", State: limit.State{PerSecond: 1, At: testStart}}})
	probes := 0
	for now := testStart; now.Sub(testStart) < 20*time.Second; now = now.Add(20 * time.Millisecond) {
		for _, name := range pool.Probes(now) {
			probes++
			pool.ProbedLimit(now, name, now, limit.Named{PerSecond: 1})
			pool.Probed(now, name, &choose.Report{Slowdown: 1})
		}
	}
	is.True(probes >= 5)
	is.True(probes <= 20)
}

// TestEndOfLimitIsNoticedWhileEjected checks that the owner of the lowest limit probes an
// ejected target as often as the limit allows, so that other hosts can use it again soon
// after its limit has ended.
func TestEndOfLimitIsNoticedWhileEjected(t *testing.T) {
	is := is.New(t)
	settings := speedSettings
	settings.QuietAfter = 100 * time.Millisecond
	pool := choose.New(settings, 1, testStart)
	pool.SetTargets(testStart, []choose.Target{
		{Name: "limited", FailureDomain: "a", Slots: 2, OwnsLimit: true}, {Name: "other", FailureDomain: "a", Slots: 2},
	})
	pool.Probed(testStart, "limited", &choose.Report{Slowdown: 1})
	for i := range 12 {
		pool.Probed(testStart.Add(time.Duration(i)*time.Second), "limited", nil) // ejected up to 30 s
	}
	start := testStart.Add(12 * time.Second)
	pool.ReceiveLimits(start, []choose.TargetLimit{{Target: "limited", State: limit.State{PerSecond: limit.MinPerSecond, At: start}}})
	for now := start; now.Sub(start) < 6*time.Second; now = now.Add(20 * time.Millisecond) {
		for _, name := range pool.Probes(now) {
			if name == "limited" {
				return
			}
		}
	}
	is.Fail() // no probe within the 5.7 s that the limit allows
}
