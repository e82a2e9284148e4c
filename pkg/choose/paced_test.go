package choose_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gitlab.com/curranttiller/curranttiller/pkg/choose"
	"gitlab.com/curranttiller/curranttiller/pkg/spec"
)

// TestSlowBodiesDoNotAgeTheirTargets replays bodies that stand still for seconds at the only
// target, which has slots left, and an ordinary request meanwhile and afterwards.
func TestSlowBodiesDoNotAgeTheirTargets(t *testing.T) {
	tests := []struct {
		name    string
		isPaced bool
		// end ends the bodies. It is nil if they arrive after all.
		end *choose.Outcome
	}{
		{name: "caller stops", isPaced: true, end: &choose.Outcome{Kind: choose.Cancelled, Latency: 5 * time.Second}},
		{name: "early answer", isPaced: true, end: &choose.Outcome{Kind: choose.Answered, Latency: 5 * time.Second}},
		{name: "body arrives", isPaced: true},
		{name: "slow target", end: &choose.Outcome{Kind: choose.Answered, Latency: 5 * time.Second}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			settings := settings()
			settings.Policy = spec.PolicySpeed
			p := choose.New(settings, 1, start)
			p.SetTargets(start, []choose.Target{{Name: "t1", FailureDomain: "d1", Slots: 8}})
			now := warmUp(p, start)
			ordinary := func(id uint64) bool {
				actions := p.Arrive(now, choose.Request{ID: id, Idempotent: true, Deadline: now.Add(200 * time.Millisecond)})
				isGranted := len(actions.Grants) > 0
				if isGranted {
					p.Finish(now, id, 1, choose.Outcome{Kind: choose.Answered, Latency: 10 * time.Millisecond})
				}
				p.Release(now, id)
				return isGranted
			}
			for id := uint64(1); id <= 3; id++ {
				is.Equal(len(p.Arrive(now, choose.Request{ID: id, Deadline: now.Add(time.Minute), AttemptsAtMost: 1, IsPaced: tt.isPaced}).Grants), 1)
			}
			now = now.Add(5 * time.Second)
			is.True(ordinary(100) || !tt.isPaced)
			for id := uint64(1); id <= 3; id++ {
				outcome := choose.Outcome{Kind: choose.Answered, Latency: 10 * time.Millisecond}
				if tt.end == nil {
					p.BodyArrived(now, id)
				} else {
					outcome = *tt.end
				}
				p.Finish(now.Add(10*time.Millisecond), id, 1, outcome)
				p.Release(now, id)
			}
			now = now.Add(10 * time.Millisecond)
			is.Equal(ordinary(101), tt.isPaced)
		})
	}
}

// TestBodyThatArrivedAges checks that a target counts as late again once it has the body.
func TestBodyThatArrivedAges(t *testing.T) {
	is := is.New(t)
	p := newPool(1)
	now := warmUp(p, start)
	p.Arrive(now, choose.Request{ID: 1, Deadline: now.Add(time.Minute), AttemptsAtMost: 1, IsPaced: true})
	p.BodyArrived(now, 1)
	p.MarkSuspect(now.Add(time.Second), 1)
	for id := uint64(2); id <= 3; id++ {
		is.Equal(len(p.Arrive(now, read(id)).Grants), 1) // the slot of the suspect one is free
	}
}

// TestEndedAttemptDoesNotBecomeSuspect guards against a slot that is freed twice. Attempts that
// are granted at the same moment to one target have the same time, by which an attempt that
// has ended could be taken for one in flight.
func TestEndedAttemptDoesNotBecomeSuspect(t *testing.T) {
	is := is.New(t)
	p := newPool(1) // one target with two slots
	for id := uint64(1); id <= 2; id++ {
		is.Equal(len(p.Arrive(start, read(id)).Grants), 1)
	}
	now := start.Add(time.Second)
	p.Finish(now, 1, 1, choose.Outcome{Kind: choose.Errored})
	p.MarkSuspect(now, 1)
	granted := 0
	for id := uint64(3); id <= 6; id++ {
		granted += len(p.Arrive(now, read(id)).Grants)
	}
	is.Equal(granted, 1) // the other slot is in use
}
