package choose

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"gitlab.com/curranttiller/curranttiller/pkg/spec"
)

// TestCountsMatchTargets guards against drift of the counts of requests in flight and of
// slots. Targets come and go and attempts become suspect at random, and the counts must
// equal the sums over the targets.
func TestCountsMatchTargets(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 2))
	now := time.Unix(1000, 0)
	p := New(Settings{Policy: spec.PolicySpeed, Slots: 2, AttemptsAtMost: 3, ExtraAttemptShare: 1, HedgeQuantile: 0.95, BusyShare: 1}, 1, now)
	unreleased := make(map[uint64]bool)
	for id := range uint64(5000) {
		now = now.Add(time.Millisecond)
		if id%50 == 0 {
			var targets []Target
			for i := range 12 {
				if rng.IntN(3) > 0 {
					targets = append(targets, Target{Name: fmt.Sprint("t", i), Slots: i % 4, Spare: i%2 == 0})
				}
			}
			p.SetTargets(now, targets)
		}
		p.Arrive(now, Request{ID: id, Idempotent: true, Deadline: now.Add(time.Second), Class: "c"})
		unreleased[id] = true
		other := rng.Uint64N(id + 1)
		switch rng.IntN(4) {
		case 0:
			p.MarkSuspect(now, other)
		case 1:
			p.Hedge(now, other)
		default:
			endAll(p, now, other)
			delete(unreleased, other)
		}
		inFlight, slots := 0, 0
		for _, s := range p.targets {
			inFlight += s.inFlight
			slots += p.slots(s)
		}
		is.Equal(p.inFlight, inFlight)
		is.Equal(p.totalSlots, slots)
	}
	for id := range unreleased {
		endAll(p, now, id)
	}
	is.Equal(p.inFlight, 0)
	is.Equal(len(p.Observations(now.Add(maxObservationAge), time.Millisecond)), 0)
	is.Equal(len(p.observed), 0)
}

// endAll ends the attempts of a request and releases it.
func endAll(p *Pool, now time.Time, id uint64) {
	r, found := p.requests[id]
	if !found {
		return
	}
	for number := range r.attempts {
		p.Finish(now, id, number+1, Outcome{Kind: Answered, Latency: time.Millisecond})
	}
	p.Release(now, id)
}
