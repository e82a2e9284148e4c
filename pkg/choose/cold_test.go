package choose_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"gitlab.com/curranttiller/curranttiller/pkg/choose"
)

const (
	coldPerSecond = 7.7
	coldTime      = 3 * time.Second
	// coldAllowed is the largest number of requests that a cold target gets in a second.
	coldAllowed = 1.5*coldPerSecond + 8
)

// coldPool returns a pool with the targets t1 to tN that are warm.
func coldPool(policy string, seed uint64, targets int) *choose.Pool {
	settings := speedSettings
	settings.Policy = policy
	settings.ColdPerSecond = coldPerSecond
	settings.ColdTime = coldTime
	settings.QuietAfter = 100 * time.Millisecond
	pool := choose.New(settings, seed, testStart)
	pool.SetTargets(testStart, owned(listed(targets, firstStart)))
	return pool
}

// owned makes the host the owner of the limits of all targets.
func owned(targets []choose.Target) []choose.Target {
	for i := range targets {
		targets[i].OwnsLimit = true
	}
	return targets
}

// TestUnknownTargetIsCold checks which targets get only what cold ones may.
func TestUnknownTargetIsCold(t *testing.T) {
	now := testStart.Add(10 * time.Second)
	later := owned(listed(3, firstStart))
	later[0].StartedAt = now.Add(-time.Second)
	later[0].ColdUntil = now.Add(2 * time.Second)
	restarted := owned(listed(3, firstStart))
	restarted[0].StartedAt = now.Add(-time.Second)
	tests := []struct {
		name   string
		change func(pool *choose.Pool)
		after  time.Duration
		want   int
	}{
		{name: "warm targets at the start", change: func(*choose.Pool) {}},
		{name: "the entry says so", change: func(p *choose.Pool) { p.SetTargets(now, later) }, want: 1},
		{name: "a later instance whose entry doesn't", change: func(p *choose.Pool) { p.SetTargets(now, restarted) }, want: 1},
		{name: "started while the pool was in use", change: func(p *choose.Pool) {
			p.SetTargets(now, restarted[1:])
			p.SetTargets(now, restarted)
		}, want: 1},
		{name: "gone for a moment", change: func(p *choose.Pool) {
			p.SetTargets(now, listed(3, firstStart)[1:])
			p.SetTargets(now, listed(3, firstStart))
		}},
		{name: "back after an outage", change: func(p *choose.Pool) {
			for range 3 {
				p.Probed(now, "t1", nil)
			}
		}, after: 2 * time.Second, want: 1},
		{name: "back for a time", change: func(p *choose.Pool) {
			for range 3 {
				p.Probed(now, "t1", nil)
			}
		}, after: 5 * time.Second},
		{name: "says so in a probe", change: func(p *choose.Pool) { p.ProbedCold(now, "t1", now, time.Second) }, want: 1},
		{name: "says otherwise later", change: func(p *choose.Pool) {
			p.SetTargets(now, restarted)
			p.ProbedCold(now.Add(time.Second), "t1", now.Add(time.Millisecond), 0)
		}, after: time.Second},
		{name: "said otherwise before", change: func(p *choose.Pool) {
			p.SetTargets(now, restarted)
			p.ProbedCold(now.Add(time.Second), "t1", now.Add(-time.Millisecond), 0)
		}, want: 1},
		{name: "another host was told", change: func(p *choose.Pool) {
			p.ReceiveCold(now, []choose.ColdState{{Target: "t1", Until: now.Add(time.Second), At: now.Add(-time.Second)}})
		}, want: 1},
		{name: "another host was told that it is warm", change: func(p *choose.Pool) {
			p.SetTargets(now, restarted)
			p.ReceiveCold(now.Add(time.Second), []choose.ColdState{{Target: "t1", Until: now.Add(time.Second), At: now.Add(time.Second)}})
		}, after: time.Second},
		{name: "warm in time", change: func(p *choose.Pool) { p.SetTargets(now, later) }, after: coldTime},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			pool := coldPool("Speed", 1, 3)
			tt.change(pool)
			is.Equal(pool.ColdTargets(now.Add(tt.after)), tt.want)
		})
	}
}

// TestColdIsOffWithoutRate checks that nothing changes for services without a rate of cold
// targets.
func TestColdIsOffWithoutRate(t *testing.T) {
	is := is.New(t)
	pool := leavingPool("Speed", 2)
	targets := listed(2, secondStart)
	targets[0].ColdUntil = testStart.Add(time.Hour)
	pool.SetTargets(testStart, targets)
	pool.ProbedCold(testStart, "t1", testStart, time.Minute)
	is.Equal(pool.ColdTargets(testStart), 0)
	is.Equal(len(pool.ColdStates(testStart)), 0)
	is.True(grantedTargets(pool, testStart, 1)["t1"] > 0)
}

// coldFleet runs the pools of hosts that share targets. Each host always has requests that
// take no time at a target.
type coldFleet struct {
	pools []*choose.Pool
	next  uint64
	// sent holds for each target when it got requests and probes.
	sent map[string][]time.Time
}

// newColdFleet returns hosts of which the first ones take themselves for the owner.
func newColdFleet(hosts, owners, targets int) *coldFleet {
	f := &coldFleet{sent: make(map[string][]time.Time)}
	for i := range hosts {
		pool := coldPool("Speed", uint64(i), targets)
		pool.SetFleetSize(hosts, hosts)
		list := listed(targets, firstStart)
		if i < owners {
			list = owned(list)
		}
		pool.SetTargets(testStart, list)
		f.pools = append(f.pools, pool)
	}
	return f
}

// step makes each host send what it may and end it at once.
func (f *coldFleet) step(now time.Time) {
	for _, pool := range f.pools {
		for _, name := range pool.Probes(now) {
			f.sent[name] = append(f.sent[name], now)
			pool.Probed(now, name, &choose.Report{Slowdown: 1})
		}
		for range 2 {
			f.next++
			for _, grant := range pool.Arrive(now, stopRequest(now, f.next, time.Second)).Grants {
				f.sent[grant.Target] = append(f.sent[grant.Target], now)
				pool.Finish(now, grant.Request, grant.Attempt, choose.Outcome{Kind: choose.Answered, Latency: 20 * time.Millisecond})
			}
			pool.Release(now, f.next)
		}
	}
}

// worst returns the largest number of requests and probes at a target in a second.
func (f *coldFleet) worst(target string) int {
	worst, first := 0, 0
	for i, at := range f.sent[target] {
		for at.Sub(f.sent[target][first]) > time.Second {
			first++
		}
		worst = max(worst, i-first+1)
	}
	return worst
}

// TestColdTargetsGetFewRequestsOfAllHosts replays a failure domain that returns cold as a
// whole: the sum over all hosts stays below the bound, the load moves to the warm targets,
// and the cold ones get their part once they are warm.
func TestColdTargetsGetFewRequestsOfAllHosts(t *testing.T) {
	for _, hosts := range []int{1, 13, 110} {
		for _, owners := range []int{1, 2} {
			t.Run(fmt.Sprintf("%d hosts, %d owners", hosts, owners), func(t *testing.T) {
				is := is.New(t)
				f := newColdFleet(hosts, min(owners, hosts), 6)
				coldUntil := testStart.Add(coldTime)
				for _, pool := range f.pools {
					pool.ReceiveCold(testStart, []choose.ColdState{{Target: "t1", Until: coldUntil, At: testStart}, {Target: "t2", Until: coldUntil, At: testStart}})
				}
				now := testStart
				for ; now.Before(coldUntil); now = now.Add(20 * time.Millisecond) {
					f.step(now)
				}
				for _, name := range []string{"t1", "t2"} {
					is.True(float64(f.worst(name)) <= coldAllowed)
					is.True(len(f.sent[name]) > 0) // it isn't idle
					is.True(len(f.sent["t3"]) > len(f.sent[name]))
				}
				cold := len(f.sent["t1"])
				for end := now.Add(coldTime); now.Before(end); now = now.Add(20 * time.Millisecond) {
					f.step(now)
				}
				is.True(len(f.sent["t1"])-cold > 2*cold) // it is used like the others
			})
		}
	}
}

// TestRequestsWhileAllTargetsAreCold checks that requests beyond the rate of cold targets are
// refused with the time until they may come.
func TestRequestsWhileAllTargetsAreCold(t *testing.T) {
	is := is.New(t)
	pool := coldPool("Speed", 1, 2)
	for _, name := range []string{"t1", "t2"} {
		pool.ProbedCold(testStart, name, testStart, coldTime)
	}
	actions := pool.Arrive(testStart, choose.Request{ID: 1, Deadline: testStart.Add(100 * time.Millisecond), Objective: 50 * time.Millisecond})
	is.Equal(len(actions.Refusals), 1)
	is.Equal(actions.Refusals[0].Reason, choose.ReasonLimitReached)
	is.True(actions.Refusals[0].RetryAfter > 0)
	is.True(actions.Refusals[0].RetryAfter <= coldTime)
}
