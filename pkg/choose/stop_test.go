package choose_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gitlab.com/curranttiller/curranttiller/pkg/choose"
)

// stopPool returns a pool with one target of two slots. Both policies expect requests of
// it to take 100 ms.
func stopPool(policy string, now time.Time) (*choose.Pool, time.Time) {
	settings := speedSettings
	settings.Policy = policy
	settings.QueueWaitAtMost = time.Minute
	pool := choose.New(settings, 1, now)
	pool.SetTargets(now, []choose.Target{{Name: "a", FailureDomain: "a", Slots: 2}})
	for id := uint64(1000); id < 1100; id++ {
		pool.Probed(now, "a", &choose.Report{Slowdown: 1})
		granted := pool.Arrive(now, stopRequest(now, id, time.Second))
		now = now.Add(100 * time.Millisecond)
		pool.Finish(now, id, granted.Grants[0].Attempt, choose.Outcome{Kind: choose.Answered, Latency: 100 * time.Millisecond, Report: &choose.Report{Slowdown: 1}})
		pool.Release(now, id)
	}
	return pool, now
}

func stopRequest(now time.Time, id uint64, deadline time.Duration) choose.Request {
	return choose.Request{ID: id, Idempotent: true, Deadline: now.Add(deadline), Objective: deadline, Class: "status"}
}

// TestStopRefusesWhatOutlastsIt guards against requests that wait at a stopping host
// until it closes their connections (issue 29).
func TestStopRefusesWhatOutlastsIt(t *testing.T) {
	for _, policy := range []string{"Speed", "Held"} {
		t.Run(policy, func(t *testing.T) {
			is := is.New(t)
			pool, now := stopPool(policy, testStart)
			for id := uint64(1); id <= 2; id++ {
				is.Equal(len(pool.Arrive(now, stopRequest(now, id, 10*time.Second)).Grants), 1)
			}
			waiting := uint64(3)
			is.Equal(pool.Arrive(now, stopRequest(now, waiting, 10*time.Second)), choose.Actions{})
			end := now.Add(time.Second)
			is.Equal(pool.StopAt(now, end), choose.Actions{}) // it may still be granted in time

			almost := end.Add(-200 * time.Millisecond)
			is.Equal(pool.Tick(almost), choose.Actions{})
			late := end.Add(-50 * time.Millisecond) // half of the expected latency remains
			is.Equal(pool.Tick(late).Refusals, []choose.Refusal{{Request: waiting, Reason: choose.ReasonStopping}})
			is.Equal(pool.Arrive(late, stopRequest(late, 4, 10*time.Second)).Refusals, []choose.Refusal{{Request: 4, Reason: choose.ReasonStopping}})

			// Attempts that fail now are not repeated, and no hedge or rescue is granted.
			is.Equal(pool.Hedge(late, 1), choose.Actions{})
			_, isRescued := pool.Retry(late, 1, true)
			is.True(!isRescued)
			is.Equal(pool.Finish(late, 2, 1, choose.Outcome{Kind: choose.Declined}), choose.Actions{})
			_, isRetried := pool.Retry(late, 2, false)
			is.True(!isRetried)
		})
	}
}

// TestStopRefusesRetryThatWaits guards against a request that waits for another attempt
// when the host closes its connection (issue 29).
func TestStopRefusesRetryThatWaits(t *testing.T) {
	is := is.New(t)
	pool, now := stopPool("Speed", testStart)
	for id := uint64(1); id <= 2; id++ {
		is.Equal(len(pool.Arrive(now, stopRequest(now, id, 10*time.Second)).Grants), 1)
	}
	is.Equal(pool.Arrive(now, stopRequest(now, 3, 10*time.Second)), choose.Actions{})
	is.Equal(pool.Finish(now, 1, 1, choose.Outcome{Kind: choose.Declined, Report: &choose.Report{Slowdown: 1}}).Grants[0].Request, uint64(3))
	actions, isRetried := pool.Retry(now, 1, false)
	is.True(isRetried)
	is.Equal(actions, choose.Actions{}) // the retry waits, because both slots are taken
	is.Equal(pool.StopAt(now, now.Add(50*time.Millisecond)).Refusals, []choose.Refusal{{Request: 1, Reason: choose.ReasonStopping}})
}

// TestStopTakesWhatEndsInTime checks that a stopping host goes on to serve requests that
// end before the stop does, either as expected or because of their deadline.
func TestStopTakesWhatEndsInTime(t *testing.T) {
	tests := []struct {
		name string
		// left is the time until the end of the stop.
		left, deadline time.Duration
		wantReason     string
	}{
		{name: "expected in time", left: time.Second, deadline: 10 * time.Second},
		{name: "deadline in time", left: time.Second, deadline: 900 * time.Millisecond},
		{name: "expected too late", left: 120 * time.Millisecond, deadline: 10 * time.Second, wantReason: choose.ReasonStopping},
		{name: "deadline in time but too short", left: time.Second, deadline: 20 * time.Millisecond, wantReason: choose.ReasonDeadline},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			pool, now := stopPool("Speed", testStart)
			pool.StopAt(now, now.Add(tt.left))
			actions := pool.Arrive(now, stopRequest(now, 1, tt.deadline))
			if tt.wantReason == "" {
				is.Equal(len(actions.Grants), 1)
				return
			}
			is.Equal(actions.Refusals, []choose.Refusal{{Request: 1, Reason: tt.wantReason}})
		})
	}
}
