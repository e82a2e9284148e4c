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
	load     float64
	jumpLoad float64
	// isHeavy draws heavy-tailed service times.
	isHeavy bool
	// initialBehaviour returns what a target does from the start.
	initialBehaviour func(work time.Duration) server.Behaviour
	// fault happens after a third of the run; the victim is the first target unless it is a domain.
	fault func(ctx context.Context, f *fleet.Fleet) error
	// idealOmitsFault says that the ideal queue does not know the fault.
	idealOmitsFault bool
}

// Bursts are given in mean service times, so that a run can be slowed down as a
// whole: at half the rate the machine that runs everything is less in the way.
const (
	burstSlowdown     = 4
	burstServiceTimes = 5
	gapServiceTimes   = 45
	noiseSeed         = 11
)

func defaultBehaviour(time.Duration) server.Behaviour {
	return server.Behaviour{}
}

func burstyBehaviour(work time.Duration) server.Behaviour {
	return server.Behaviour{Noise: noise.Shape{
		Seed: noiseSeed, Factor: burstSlowdown,
		BurstMillis: int(burstServiceTimes * work.Milliseconds()), GapMillis: int(gapServiceTimes * work.Milliseconds()),
	}}
}

func conditions() []condition {
	return []condition{
		{name: "Steady70", load: 0.7, initialBehaviour: defaultBehaviour},
		{name: "Steady85", load: 0.85, initialBehaviour: defaultBehaviour},
		{name: "Heavy70", load: 0.7, isHeavy: true, initialBehaviour: defaultBehaviour},
		{name: "Noisy75", load: 0.75, initialBehaviour: burstyBehaviour},
		{name: "NoisyHeavy70", load: 0.7, isHeavy: true, initialBehaviour: burstyBehaviour},
		{name: "Jump50To95", load: 0.5, jumpLoad: 0.95, initialBehaviour: defaultBehaviour},
		{name: "Straggler70", load: 0.7, initialBehaviour: defaultBehaviour, fault: slowTarget, idealOmitsFault: true},
		{name: "FailFast70", load: 0.7, initialBehaviour: defaultBehaviour, fault: failTarget, idealOmitsFault: true},
		{name: "Drain70", load: 0.7, initialBehaviour: defaultBehaviour, fault: drainTarget, idealOmitsFault: true},
		{name: "ColdStart70", load: 0.7, initialBehaviour: defaultBehaviour, fault: restartTargetCold, idealOmitsFault: true},
		{name: "DomainLoss55", load: 0.55, initialBehaviour: defaultBehaviour, fault: failDomain, idealOmitsFault: true},
		{name: "LateReports75", load: 0.75, initialBehaviour: func(work time.Duration) server.Behaviour {
			b := burstyBehaviour(work)
			b.ReportDelayMillis = 200
			return b
		}},
		{name: "LyingReports75", load: 0.75, initialBehaviour: func(work time.Duration) server.Behaviour {
			b := burstyBehaviour(work)
			b.LieZero = true
			return b
		}},
		{name: "Overload130", load: 1.3, initialBehaviour: defaultBehaviour},
		{name: "HolderKilled70", load: 0.7, initialBehaviour: defaultBehaviour, fault: killHolder, idealOmitsFault: true},
		{name: "HolderFrozen70", load: 0.7, initialBehaviour: defaultBehaviour, fault: freezeHolder, idealOmitsFault: true},
	}
}

func slowTarget(ctx context.Context, f *fleet.Fleet) error {
	const slowness = 10
	return f.SetBehaviour(ctx, f.Targets[0], &server.Behaviour{Noise: noise.Shape{Always: slowness}})
}

func failTarget(ctx context.Context, f *fleet.Fleet) error {
	return f.SetBehaviour(ctx, f.Targets[0], &server.Behaviour{FailFast: true})
}

func drainTarget(ctx context.Context, f *fleet.Fleet) error {
	return f.SetBehaviour(ctx, f.Targets[0], &server.Behaviour{Draining: true})
}

// restartTargetCold replaces a target by one that is slow at first.
func restartTargetCold(ctx context.Context, f *fleet.Fleet) error {
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

// failDomain makes every target of one failure domain cut its connections.
func failDomain(ctx context.Context, f *fleet.Fleet) error {
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
	h, err := findHolder(ctx, f)
	if err != nil {
		return err
	}
	h.Kill()
	return nil
}

func freezeHolder(ctx context.Context, f *fleet.Fleet) error {
	h, err := findHolder(ctx, f)
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
		Service: s.Name, Rate: c.load * capacity, JumpRate: c.jumpLoad * capacity, JumpAt: length / 3,
		Duration: length, ReadFraction: 0.7, MeanServiceTime: work, IsHeavyTailed: c.isHeavy, Timeout: 2 * time.Second, Seed: seed,
	}
}
