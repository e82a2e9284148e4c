package choose_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"gitlab.com/curranttiller/curranttiller/pkg/choose"
)

// TestExplanationIsWhatHappens explains each of many requests right before it arrives, from an
// idle pool to an overloaded one.
func TestExplanationIsWhatHappens(t *testing.T) {
	tests := []struct {
		name         string
		organisation string
	}{
		{name: "without organisations"},
		{name: "with organisations", organisation: "a"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			rng := rand.New(rand.NewPCG(1, 2))
			slowdowns := make(map[string]float64)
			for i := range 12 {
				slowdowns[fmt.Sprint("t", i)] = 1 + 6*float64(i%2)
			}
			pool := speedPool(slowdowns)
			now, outcomes := testStart, make(map[string]int)
			for id := range uint64(120) {
				now = now.Add(time.Duration(rng.IntN(3000)) * time.Microsecond)
				request := choose.Request{
					ID: id, Idempotent: true, Deadline: now.Add(time.Second), Objective: 300 * time.Millisecond,
					Class: "status", Priority: int(id % 3), Organisation: tt.organisation,
				}
				explained, ok := pool.Explain(now, request)
				is.True(ok)
				again, _ := pool.Explain(now, request)
				is.Equal(again.Target, explained.Target)
				waiting := pool.Waiting()
				actions := pool.Arrive(now, request)
				switch {
				case explained.Refusal != "":
					outcomes["refused"]++
					is.Equal(actions.Refusals[0].Reason, explained.Refusal)
				case explained.WaitReason != "":
					outcomes["waits"]++
					is.Equal(len(actions.Refusals), 0)
					is.Equal(pool.Waiting()+len(actions.Grants), waiting+1)
				default:
					outcomes["granted"]++
					is.Equal(actions.Grants[len(actions.Grants)-1].Target, explained.Target)
				}
			}
			is.True(outcomes["granted"] > 0 && outcomes["waits"] > 0 && outcomes["refused"] > 0)
		})
	}
}

func TestExplanationNamesWhyTargetsArePassedOver(t *testing.T) {
	is := is.New(t)
	pool := speedPool(map[string]float64{"fast": 1, "slow": 3, "gone": 1})
	pool.Probed(testStart, "gone", &choose.Report{Slowdown: 1, Draining: true})
	want := map[string]string{"fast": "", "slow": "Costlier", "gone": "Leaving"}
	explained, _ := pool.Explain(testStart, choose.Request{ID: 1, Idempotent: true, Deadline: testStart.Add(time.Second), Class: "status"})
	is.Equal(explained.Target, "fast")
	is.Equal(len(explained.Targets), len(want))
	for _, target := range explained.Targets {
		is.Equal(target.PassedOver, want[target.Name])
	}
}
