package allot_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gitlab.com/curranttiller/curranttiller/pkg/allot"
)

// TestOwnerBeginsAnew checks how many tokens an owner that had a full bucket has after its
// view or its process was disturbed.
func TestOwnerBeginsAnew(t *testing.T) {
	const tick = 50 * time.Millisecond
	tests := []struct {
		name string
		// absence is for how long the view named another owner, and pause how long the process
		// stood still. After that, the owner goes on for a while.
		absence, pause, after time.Duration
		answers               bool
		least, most           int
	}{
		{name: "undisturbed", after: tick, answers: true, least: 35, most: 45},
		{name: "wrong view for a moment", absence: 200 * time.Millisecond, after: tick, answers: true, least: 35, most: 45},
		{name: "another owner", absence: time.Second, after: tick},
		{name: "another owner, a while later", absence: time.Second, after: 300 * time.Millisecond, answers: true, least: 20, most: 31},
		{name: "pause", pause: 2 * time.Second, after: 300 * time.Millisecond},
		{name: "pause, a while later", pause: 2 * time.Second, after: time.Second, answers: true, least: 20, most: 35},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			owner := allot.NewOwner()
			now := time.Second
			run := func(isOwner bool, duration time.Duration) {
				for end := now + duration; now < end; now += tick {
					owner.Tick(now, isOwner, 1, false)
				}
			}
			ask := func(number uint64) (allot.Answer, bool) {
				return owner.Answer(now, "entry1", allot.Ask{Number: number, Demands: []allot.Demand{{Key: 1, Waiting: 1000}}},
					func(uint32) (allot.Terms, bool) { return allot.Terms{PerSecond: 100, Burst: 100}, true })
			}
			run(true, time.Second)
			_, answers := ask(1)
			is.True(answers)
			run(true, time.Second)
			run(false, test.absence)
			now += test.pause
			run(true, test.after)
			answer, answers := ask(2)
			is.Equal(answers, test.answers)
			if answers {
				given := answer.Given[0].Tokens
				is.True(given >= test.least)
				is.True(given <= test.most)
			}
		})
	}
}
