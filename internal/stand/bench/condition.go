package bench

import (
	"context"
	"time"

	"gitlab.com/curranttiller/curranttiller/internal/plat"
	"gitlab.com/curranttiller/curranttiller/internal/stand/fleet"
	"gitlab.com/curranttiller/curranttiller/internal/stand/load"
	"gitlab.com/curranttiller/curranttiller/internal/stand/noise"
	"gitlab.com/curranttiller/curranttiller/internal/stand/server"
)

// condition is one situation under which every policy is measured.
type condition struct {
	name string
	// load is the share of the capacity that arrives, and jump replaces it after a third of the run.
	load float64
	jump float64
	// isHeavy draws heavy-tailed service times.
	isHeavy bool
	// behave returns what a target does from the start.
	behave func(work time.Duration) server.Behaviour
	// fault happens after a third of the run; the victim is the first target unless it is a domain.
	fault func(ctx context.Context, f *fleet.Fleet) error
	// isPartial says that the ideal queue does not know the fault.
	isPartial bool
}

// Bursts are given in mean service times, so that a run can be slowed down as a
// whole: at half the rate the machine that runs everything is less in the way.
const (
	burstFactor = 4
	burstWorks  = 5
	gapWorks    = 45
	noiseSeed   = 11
)

func quiet(time.Duration) server.Behaviour {
	return server.Behaviour{}
}

func noisy(work time.Duration) server.Behaviour {
	return server.Behaviour{Noise: noise.Shape{
		Seed: noiseSeed, Factor: burstFactor,
		BurstMillis: int(burstWorks * work.Milliseconds()), GapMillis: int(gapWorks * work.Milliseconds()),
	}}
}

func conditions() []condition {
	return []condition{
		{name: "Steady70", load: 0.7, behave: quiet},
		{name: "Steady85", load: 0.85, behave: quiet},
		{name: "Heavy70", load: 0.7, isHeavy: true, behave: quiet},
		{name: "Noisy75", load: 0.75, behave: noisy},
		{name: "NoisyHeavy70", load: 0.7, isHeavy: true, behave: noisy},
		{name: "Jump50To95", load: 0.5, jump: 0.95, behave: quiet},
		{name: "Straggler70", load: 0.7, behave: quiet, fault: straggle, isPartial: true},
		{name: "FailFast70", load: 0.7, behave: quiet, fault: failFast, isPartial: true},
		{name: "Drain70", load: 0.7, behave: quiet, fault: drain, isPartial: true},
		{name: "ColdStart70", load: 0.7, behave: quiet, fault: coldStart, isPartial: true},
		{name: "DomainLoss55", load: 0.55, behave: quiet, fault: loseDomain, isPartial: true},
		{name: "LateReports75", load: 0.75, behave: func(work time.Duration) server.Behaviour {
			b := noisy(work)
			b.ReportDelayMillis = 200
			return b
		}},
		{name: "LyingReports75", load: 0.75, behave: func(work time.Duration) server.Behaviour {
			b := noisy(work)
			b.LieZero = true
			return b
		}},
		{name: "Overload130", load: 1.3, behave: quiet},
		{name: "HolderKilled70", load: 0.7, behave: quiet, fault: killHolder, isPartial: true},
		{name: "HolderFrozen70", load: 0.7, behave: quiet, fault: freezeHolder, isPartial: true},
	}
}

func straggle(ctx context.Context, f *fleet.Fleet) error {
	const slowness = 10
	return f.SetBehaviour(ctx, f.Targets[0], &server.Behaviour{Noise: noise.Shape{Always: slowness}})
}

func failFast(ctx context.Context, f *fleet.Fleet) error {
	return f.SetBehaviour(ctx, f.Targets[0], &server.Behaviour{FailFast: true})
}

func drain(ctx context.Context, f *fleet.Fleet) error {
	return f.SetBehaviour(ctx, f.Targets[0], &server.Behaviour{Draining: true})
}

// coldStart replaces a target by one that is slow at first.
func coldStart(ctx context.Context, f *fleet.Fleet) error {
	const slowness = 3
	const coldFor = 500 * time.Millisecond
	t := f.Targets[0]
	row := plat.Host{Name: t.Name, Role: plat.RoleTarget, Service: t.Service, Address: t.Address, FailureDomain: t.Domain}
	if err := f.ChangeHosts(ctx, []plat.Host{row}); err != nil {
		return err
	}
	if err := f.SetBehaviour(ctx, t, &server.Behaviour{Noise: noise.Shape{Always: slowness}}); err != nil {
		return err
	}
	row.State = plat.StateLive
	time.AfterFunc(coldFor, func() {
		_ = f.ChangeHosts(ctx, []plat.Host{row})
		time.AfterFunc(coldFor, func() { _ = f.SetBehaviour(ctx, t, &server.Behaviour{}) })
	})
	return nil
}

// loseDomain makes every target of one failure domain cut its connections.
func loseDomain(ctx context.Context, f *fleet.Fleet) error {
	for _, t := range f.Targets {
		if t.Domain != f.Targets[0].Domain {
			continue
		}
		if err := f.SetBehaviour(ctx, t, &server.Behaviour{FailFast: true}); err != nil {
			return err
		}
	}
	return nil
}

func killHolder(ctx context.Context, f *fleet.Fleet) error {
	h, err := holderOf(ctx, f)
	if err != nil {
		return err
	}
	h.Kill()
	return nil
}

func freezeHolder(ctx context.Context, f *fleet.Fleet) error {
	h, err := holderOf(ctx, f)
	if err != nil {
		return err
	}
	const frozenFor = 1500 * time.Millisecond
	h.Signal(sigStop)
	time.AfterFunc(frozenFor, func() { h.Signal(sigCont) })
	return nil
}

// plan returns the requests of a condition.
func (c *condition) plan(s *fleet.Service, length, work time.Duration, seed uint64) *load.Plan {
	capacity := float64(s.Targets*s.Slots) / work.Seconds()
	return &load.Plan{
		Service: s.Name, Rate: c.load * capacity, JumpRate: c.jump * capacity, JumpAt: length / 3,
		Duration: length, ReadFraction: 0.7, MeanServiceTime: work, IsHeavyTailed: c.isHeavy, Timeout: 2 * time.Second, Seed: seed,
	}
}
