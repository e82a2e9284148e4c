package choose_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gitlab.com/curranttiller/curranttiller/pkg/choose"
)

// twoDomains lists two targets in failure domain a and two in b.
func twoDomains() []choose.Target {
	list := owned(listed(4, firstStart))
	list[2].FailureDomain, list[3].FailureDomain = "b", "b"
	return list
}

// TestEvacuatedDomainGetsNothing guards against requests and probes to the targets of a
// failure domain that the operator has evacuated (rule EVAC).
func TestEvacuatedDomainGetsNothing(t *testing.T) {
	for _, policy := range []string{"Speed", "Held"} {
		tests := []struct {
			name   string
			change func(pool *choose.Pool, now time.Time)
			wants  bool
		}{
			{name: "at once", change: func(*choose.Pool, time.Time) {}},
			{name: "listed again", change: func(p *choose.Pool, now time.Time) { p.SetTargets(now, twoDomains()) }},
			{name: "gone and listed again", change: func(p *choose.Pool, now time.Time) {
				p.SetTargets(now, twoDomains()[:2])
				p.SetTargets(now, twoDomains())
			}},
			{name: "free according to a report", change: func(p *choose.Pool, now time.Time) { p.Probed(now, "t3", &choose.Report{Slowdown: 1}) }},
			{name: "the others leave", change: func(p *choose.Pool, now time.Time) {
				p.ObserveDeparture(now, "t1", firstStart, now)
				p.ObserveDeparture(now, "t2", firstStart, now)
			}},
			{name: "ended", change: func(p *choose.Pool, now time.Time) { p.SetEvacuated(now, nil) }, wants: true},
			{name: "another domain instead", change: func(p *choose.Pool, now time.Time) { p.SetEvacuated(now, []string{"c"}) }, wants: true},
		}
		for _, tt := range tests {
			t.Run(policy+", "+tt.name, func(t *testing.T) {
				is := is.New(t)
				pool := coldPool(policy, 1, 4)
				pool.SetTargets(testStart, twoDomains())
				now := testStart.Add(time.Second)
				pool.SetEvacuated(now, []string{"b"})
				tt.change(pool, now.Add(time.Millisecond))
				now = now.Add(time.Second + coldTime)
				got := grantedTargets(pool, now, 100)
				is.Equal(got["t3"]+got["t4"] > 0, tt.wants)
				if !tt.wants {
					for _, name := range pool.Probes(now.Add(time.Second)) {
						is.True(name != "t3" && name != "t4")
					}
				}
			})
		}
	}
}

// TestWaitingRequestsAreRefusedWhenAllDomainsAreEvacuated checks that nothing waits for a
// target that it can't get.
func TestWaitingRequestsAreRefusedWhenAllDomainsAreEvacuated(t *testing.T) {
	is := is.New(t)
	pool := coldPool("Speed", 1, 1)
	for id := uint64(1); id <= 5; id++ {
		pool.Arrive(testStart, stopRequest(testStart, id, time.Second))
	}
	waiting := pool.Waiting()
	is.True(waiting > 0)
	actions := pool.SetEvacuated(testStart, []string{"a"})
	is.Equal(len(actions.Grants), 0)
	is.Equal(len(actions.Refusals), waiting)
	_, mayRetry := pool.Retry(testStart, 1, false)
	is.True(!mayRetry)
	is.Equal(len(pool.Hedge(testStart, 1).Grants), 0)
	is.Equal(len(pool.Arrive(testStart, stopRequest(testStart, 9, time.Second)).Refusals), 1)
}

// TestEvacuationEndsGently checks that the targets count as cold at the end, and as warm
// once they say so.
func TestEvacuationEndsGently(t *testing.T) {
	is := is.New(t)
	pool := coldPool("Speed", 1, 4)
	pool.SetTargets(testStart, twoDomains())
	pool.SetEvacuated(testStart, []string{"b"})
	now := testStart.Add(10 * time.Second)
	pool.SetEvacuated(now, nil)
	is.Equal(pool.ColdTargets(now), 2)
	pool.ProbedCold(now.Add(time.Second), "t3", now.Add(time.Millisecond), 0)
	is.Equal(pool.ColdTargets(now.Add(time.Second)), 1)
	is.Equal(pool.ColdTargets(now.Add(coldTime)), 0)
}
