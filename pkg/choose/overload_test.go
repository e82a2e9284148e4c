package choose_test

import (
	"fmt"
	"testing"
	"time"

	"gitlab.com/curranttiller/curranttiller/pkg/choose"
)

// overloadedPool returns a pool with a queue and busy targets. Of each hundred targets,
// the first 42 are slow.
func overloadedPool(targets, waiting int) (*choose.Pool, []choose.Grant, time.Time) {
	slowdowns := make(map[string]float64, targets)
	for i := range targets {
		slowdown := 1.0
		if i%100 < 42 {
			slowdown = 7
		}
		slowdowns[fmt.Sprintf("t%03d", i)] = slowdown
	}
	pool := speedPool(slowdowns)
	var grants []choose.Grant
	id := uint64(0)
	for pool.Waiting() < waiting {
		actions := arrive(pool, testStart, id, func(r *choose.Request) {
			r.Deadline = testStart.Add(time.Hour)
			r.Objective = 30 * time.Minute
			r.Priority = int(id%3) + 1
			r.Class = fmt.Sprintf("class%d", id%4)
		})
		grants = append(grants, actions.Grants...)
		id++
	}
	return pool, grants, testStart
}

// BenchmarkOverloadedFinish measures Finish with its dispatch while requests wait.
func BenchmarkOverloadedFinish(b *testing.B) {
	for _, waiting := range []int{1, 50, 200} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			pool, grants, now := overloadedPool(155, waiting)
			next := uint64(1 << 32)
			b.ResetTimer()
			for i := range b.N {
				now = now.Add(time.Millisecond)
				grant := grants[i%len(grants)]
				actions := pool.Finish(now, grant.Request, grant.Attempt, choose.Outcome{Kind: choose.Answered, Latency: 100 * time.Millisecond})
				pool.Release(now, grant.Request)
				if len(actions.Grants) > 0 {
					grants[i%len(grants)] = actions.Grants[0]
				}
				next++
				arrive(pool, now, next, func(r *choose.Request) {
					r.Deadline = now.Add(time.Hour)
					r.Objective = 30 * time.Minute
					r.Priority = int(next%3) + 1
				})
			}
		})
	}
}
