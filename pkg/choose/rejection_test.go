package choose_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"gitlab.com/curranttiller/curranttiller/pkg/choose"
)

// TestTargetsThatRejectWhatOthersServe guards against a target that answers with a client
// error at once and therefore looks like the best one (issue 34).
func TestTargetsThatRejectWhatOthersServe(t *testing.T) {
	const requests = 200
	tests := []struct {
		name string
		// rejects is the share of requests that each target rejects, in percent.
		rejects []int
		// faulty is the number of targets, from the first, whose rejections count as errors.
		faulty int
	}{
		{name: "none", rejects: []int{0, 0, 0}},
		{name: "one of three", rejects: []int{100, 0, 0}, faulty: 1},
		{name: "half", rejects: []int{100, 100, 0, 0}, faulty: 2},
		{name: "one of two", rejects: []int{100, 0}, faulty: 1},
		{name: "all, by right", rejects: []int{100, 100, 100}},
		{name: "some requests, by right", rejects: []int{30, 30, 30}},
		{name: "the only one", rejects: []int{100}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			got, failed := playRejections(t, requests, tt.rejects)
			faultyGot := 0
			for i := range tt.rejects {
				is.Equal(failed[i], i < tt.faulty)
				if i < tt.faulty {
					faultyGot += got[i]
				}
			}
			is.True(faultyGot*len(tt.rejects) <= requests*tt.faulty) // no more than the share of the others
		})
	}
}

// playRejections sends requests one after the other to targets that reject the given shares
// of them. It returns how many each target got, and whether it had errors.
func playRejections(t *testing.T, requests int, rejects []int) (got []int, failed []bool) {
	t.Helper()
	is := is.New(t)
	slowdowns := make(map[string]float64)
	index := make(map[string]int)
	for i := range rejects {
		name := fmt.Sprintf("t%d", i)
		slowdowns[name], index[name] = 1, i
	}
	pool := speedPool(slowdowns)
	now := testStart
	got, failed = make([]int, len(rejects)), make([]bool, len(rejects))
	for id := range uint64(requests) {
		actions := arrive(pool, now, id, nil)
		is.Equal(len(actions.Grants), 1)
		target := index[actions.Grants[0].Target]
		got[target]++
		outcome := choose.Outcome{Kind: choose.Answered, Latency: 100 * time.Millisecond, Report: &choose.Report{Slowdown: 1}}
		if outcome.Rejected = int(id*37%100) < rejects[target]; outcome.Rejected {
			outcome.Latency = time.Millisecond
		}
		now = now.Add(outcome.Latency)
		pool.Finish(now, id, 1, outcome)
		pool.Release(now, id)
		for _, o := range pool.Observations(now, time.Second) {
			failed[index[o.Target]] = failed[index[o.Target]] || o.FailedShare > 0
		}
	}
	return got, failed
}
