package choose_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"gitlab.com/curranttiller/curranttiller/pkg/choose"
)

func TestParseHoldOff(t *testing.T) {
	tests := []struct {
		text       string
		want       time.Duration
		hasProblem bool
	}{
		{text: ""},
		{text: "3", want: 3 * time.Second},
		{text: " 0.25 ", want: 250 * time.Millisecond},
		{text: "0.0000000001", want: time.Nanosecond},
		{text: "300", want: 5 * time.Minute},
		{text: "301", want: 5 * time.Minute, hasProblem: true},
		{text: strings.Repeat("9", 400), want: 5 * time.Minute, hasProblem: true},
		{text: "0", hasProblem: true},
		{text: "-0", hasProblem: true},
		{text: "-3", hasProblem: true},
		{text: "NaN", hasProblem: true},
		{text: "Inf", hasProblem: true},
		{text: "1e3", hasProblem: true},
		{text: "3, 4", hasProblem: true},
		{text: "Sun, 06 Dec 2026 22:00:00 GMT", hasProblem: true},
		{text: strings.Repeat("x", 4000), hasProblem: true},
	}
	for _, tt := range tests {
		t.Run(tt.text[:min(len(tt.text), 20)], func(t *testing.T) {
			is := is.New(t)
			got := choose.ParseHoldOff(tt.text)
			is.Equal(got.For, tt.want)
			is.Equal(got.Problem != "", tt.hasProblem)
			is.True(len(got.Text) <= 64)
		})
	}
}

func FuzzParseHoldOff(f *testing.F) {
	f.Add("3.4")
	f.Add("-1e400")
	f.Fuzz(func(t *testing.T, text string) {
		if got := choose.ParseHoldOff(text); got.For < 0 || got.For > 5*time.Minute {
			t.Errorf("%q counts as %v", text, got.For)
		}
	})
}

// TestTargetThatHoldsOffGetsNothing guards against a target that turns requests away and
// goes on getting them within the time that it has named (issue 30, rule BUDGET).
func TestTargetThatHoldsOffGetsNothing(t *testing.T) {
	const length = 3 * time.Second
	for _, policy := range []string{"Speed", "Held"} {
		tests := []struct {
			name   string
			change func(pool *choose.Pool, now time.Time)
			after  time.Duration
			wants  bool
		}{
			{name: "at once"},
			{name: "at the end", after: length - time.Millisecond},
			{name: "when all hosts have returned", after: length + time.Second, wants: true},
			{name: "listed again", after: time.Second, change: func(p *choose.Pool, now time.Time) { p.SetTargets(now, listed(2, firstStart)) }},
			{name: "a report of a free target", after: time.Second, change: func(p *choose.Pool, now time.Time) { p.Probed(now, "t1", &choose.Report{Slowdown: 1}) }},
			{name: "a shorter time later", after: 2 * time.Second, change: func(p *choose.Pool, now time.Time) { p.ObserveHoldOff(now, "t1", firstStart, time.Millisecond) }},
			{name: "a longer time later", after: length + time.Second, change: func(p *choose.Pool, now time.Time) { p.ObserveHoldOff(now, "t1", firstStart, 10*time.Second) }},
			{name: "a later instance", after: time.Second, change: func(p *choose.Pool, now time.Time) { p.SetTargets(now, listed(2, secondStart)) }, wants: true},
		}
		for _, tt := range tests {
			t.Run(policy+", "+tt.name, func(t *testing.T) {
				is := is.New(t)
				pool := leavingPool(policy, 2)
				now := testStart.Add(time.Second)
				is.True(pool.ObserveHoldOff(now, "t1", firstStart, length))
				if tt.change != nil {
					tt.change(pool, now.Add(time.Millisecond))
				}
				now = now.Add(tt.after)
				got := grantedTargets(pool, now, 100)
				is.Equal(got["t1"] > 0, tt.wants)
				is.True(got["t2"] > 0)
			})
		}
	}
}

// TestTargetThatHoldsOffIsNotProbed covers the probes of both kinds of policies.
func TestTargetThatHoldsOffIsNotProbed(t *testing.T) {
	for _, policy := range []string{"Speed", "Held"} {
		t.Run(policy, func(t *testing.T) {
			is := is.New(t)
			settings := speedSettings
			settings.Policy = policy
			settings.QuietAfter = 100 * time.Millisecond
			pool := choose.New(settings, 1, testStart)
			pool.SetTargets(testStart, listed(2, firstStart))
			now := testStart.Add(time.Second)
			pool.ObserveHoldOff(now, "t1", firstStart, 3*time.Second)
			is.Equal(pool.Probes(now.Add(time.Second)), []string{"t2"})
			pool.Probed(now.Add(time.Second), "t2", nil)
			is.Equal(pool.Probes(now.Add(5*time.Second)), []string{"t1", "t2"})
		})
	}
}

// TestHostsReturnGently checks that hosts return to a target at different times, and that
// each begins with one request at a time.
func TestHostsReturnGently(t *testing.T) {
	const hosts, length = 100, 2 * time.Second
	is := is.New(t)
	end := testStart.Add(length)
	returned := 0
	for seed := range uint64(hosts) {
		pool := choose.New(speedSettings, seed, testStart)
		pool.SetTargets(testStart, listed(1, firstStart))
		pool.ObserveHoldOff(testStart, "t1", firstStart, length)
		is.Equal(len(pool.HeldOff(end.Add(-time.Millisecond))), 1)
		if len(pool.HeldOff(end.Add(250*time.Millisecond))) == 0 {
			returned++
		}
		is.Equal(grantedTargets(pool, end.Add(time.Second), 1)["t1"], 1)
	}
	is.True(returned > 0)
	is.True(returned <= hosts/2) // a quarter is expected
}

// TestRequestsWhileAllTargetsHoldOff checks that a request waits if its deadline allows it,
// and is refused at once if not, with the time until a target may get it.
func TestRequestsWhileAllTargetsHoldOff(t *testing.T) {
	for _, policy := range []string{"Speed", "Held"} {
		tests := []struct {
			name        string
			patience    time.Duration
			wantRefusal bool
		}{
			{name: "deadline before the end", patience: time.Second, wantRefusal: true},
			{name: "deadline long after the end", patience: 20 * time.Second},
		}
		for _, tt := range tests {
			t.Run(policy+", "+tt.name, func(t *testing.T) {
				is := is.New(t)
				pool := leavingPool(policy, 2)
				pool.ObserveHoldOff(testStart, "t1", firstStart, 4*time.Second)
				pool.ObserveHoldOff(testStart, "t2", firstStart, 3*time.Second)
				actions := pool.Arrive(testStart, choose.Request{ID: 1, Deadline: testStart.Add(tt.patience)})
				is.Equal(len(actions.Grants), 0)
				is.Equal(len(actions.Refusals) > 0, tt.wantRefusal)
				if tt.wantRefusal {
					is.Equal(actions.Refusals[0].Reason, choose.ReasonHeldOff)
					is.True(actions.Refusals[0].RetryAfter >= 3*time.Second)
					is.True(actions.Refusals[0].RetryAfter <= 4*time.Second)
					return
				}
				is.Equal(len(pool.Tick(testStart.Add(2900*time.Millisecond)).Grants), 0)
				is.Equal(len(pool.Tick(testStart.Add(5*time.Second)).Grants), 1)
			})
		}
	}
}

// TestWaitingRequestsAreRefusedWhenAllTargetsHoldOff covers requests that wait while the
// last target begins to hold off this host.
func TestWaitingRequestsAreRefusedWhenAllTargetsHoldOff(t *testing.T) {
	is := is.New(t)
	pool := leavingPool("Speed", 1)
	for id := uint64(1); id <= 5; id++ {
		pool.Arrive(testStart, stopRequest(testStart, id, time.Second))
	}
	waiting := pool.Waiting()
	is.True(waiting > 0)
	pool.ObserveHoldOff(testStart, "t1", firstStart, 4*time.Second)
	actions := pool.Tick(testStart.Add(20 * time.Millisecond))
	is.Equal(len(actions.Grants), 0)
	is.Equal(len(actions.Refusals), waiting)
}

// TestAdviceOfOtherHostsIsNoBan checks that a target that holds off another host is used
// only after others, but is used.
func TestAdviceOfOtherHostsIsNoBan(t *testing.T) {
	is := is.New(t)
	pool := speedPool(map[string]float64{"t1": 1, "t2": 1.5})
	pool.AdviseHoldOff("t1", testStart.Add(time.Second))
	is.Equal(arrive(pool, testStart, 1, nil).Grants[0].Target, "t2")
	pool.SetTargets(testStart, []choose.Target{{Name: "t1", FailureDomain: "a", Slots: 2}})
	is.Equal(arrive(pool, testStart, 2, nil).Grants[0].Target, "t1")
}

// TestReplayedOverloadOfHalfOfTheTargets replays a burst that overloads half of the targets
// for six seconds: one host has fewer requests turned away, and no fewer are answered in
// time, than if it ignores what these targets ask. With more hosts, each learns less and
// the numbers differ little.
func TestReplayedOverloadOfHalfOfTheTargets(t *testing.T) {
	is := is.New(t)
	w := fewTargets(60, 2)
	w.hosts = 1
	w.length = 10 * time.Second
	w.turningAway, w.holdOff = w.targets/2, 3*time.Second
	w.holdOffFrom, w.holdOffTo = 2*time.Second, 8*time.Second
	var declined, inTime [2]int
	for seed := range uint64(3) {
		for i, ignores := range []bool{false, true} {
			w.ignoresHoldOff = ignores
			s := replay(w, seed)
			total := s.total()
			declined[i] += s.declined
			inTime[i] += total.inTime
			t.Logf("seed %d, ignores %v: %d declined, %d of %d in time", seed, ignores, s.declined, total.inTime, total.arrived)
		}
	}
	is.True(declined[0]*2 < declined[1])
	is.True(inTime[0]*100 >= inTime[1]*99)
}
