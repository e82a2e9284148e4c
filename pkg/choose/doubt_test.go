package choose_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"gitlab.com/curranttiller/curranttiller/pkg/choose"
)

// arriveInDoubt lets a number of requests arrive whose callers are doubtful, from the given ID
// on. It returns how many were granted and refused.
func arriveInDoubt(p *choose.Pool, now time.Time, from uint64, count int, doubt choose.Doubt) (granted, refused int) {
	for id := from; id < from+uint64(count); id++ {
		request := read(id)
		request.Doubt = doubt
		actions := p.Arrive(now, request)
		granted += len(actions.Grants)
		refused += len(actions.Refusals)
	}
	return granted, refused
}

// TestDoubtfulCallersLeaveSlots replays a crowd whose requests hold their slots for long, with
// two targets of two slots each.
func TestDoubtfulCallersLeaveSlots(t *testing.T) {
	is := is.New(t)
	p := newPool(2)
	now := start
	p.Arrive(now, read(1))
	granted, refused := arriveInDoubt(p, now, 100, 50, choose.DoubtfulConnection)
	is.Equal(granted, 2) // half of the slots
	is.Equal(refused, 48)
	is.Equal(len(p.Arrive(now, read(2)).Grants), 1)
}

// TestDoubtfulCallersAreServedAlone checks that doubt costs nothing while there are no others.
func TestDoubtfulCallersAreServedAlone(t *testing.T) {
	is := is.New(t)
	p := newPool(2)
	granted, refused := arriveInDoubt(p, start, 100, 10, choose.DoubtfulAddress)
	is.Equal(granted, 4)
	is.Equal(refused, 0)
	is.Equal(p.Waiting(), 6)
}

// TestQueueOfDoubtfulCallersGivesWay replays an ordinary request that arrives when a crowd has
// all slots and the whole queue.
func TestQueueOfDoubtfulCallersGivesWay(t *testing.T) {
	tests := []struct {
		name  string
		crowd choose.Doubt
		// doubted is told to the pool when the ordinary request has arrived.
		doubted choose.Doubt
		refused int
	}{
		{name: "known before", crowd: choose.DoubtfulConnection, doubted: choose.DoubtfulConnection, refused: 96},
		{name: "known only later", doubted: choose.DoubtfulAddress, refused: 96},
		{name: "not doubtful", refused: 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			p := newPool(2)
			granted, _ := arriveInDoubt(p, start, 100, 100, tt.crowd)
			is.Equal(granted, 4)
			now := start.Add(time.Second)
			actions := p.Arrive(now, read(1))
			refusals := actions.Refusals
			is.Equal(len(actions.Grants), 0)
			for id := uint64(100); id < 200; id++ {
				refusals = append(refusals, p.Doubt(now, id, tt.doubted).Refusals...)
			}
			is.Equal(len(refusals), tt.refused)
			is.True(!slices.ContainsFunc(refusals, func(r choose.Refusal) bool {
				return r.Request == 1 || r.Reason != choose.ReasonQueueFull || r.RetryAfter == 0
			}))
		})
	}
}

// TestRefusedDoubtfulRequestsAreForgotten checks that a request counts as present only until
// it is refused or released.
func TestRefusedDoubtfulRequestsAreForgotten(t *testing.T) {
	is := is.New(t)
	p := newPool(1)
	p.Arrive(start, read(1))
	for id := uint64(100); id < 200; id++ {
		granted, _ := arriveInDoubt(p, start, id, 1, choose.DoubtfulConnection)
		is.Equal(granted, 1)
		p.Finish(start, id, 1, choose.Outcome{Kind: choose.Cancelled})
		p.Release(start, id)
	}
}
