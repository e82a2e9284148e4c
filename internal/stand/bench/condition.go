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

// condition is a combination of load, target behaviour and fault under which every policy is measured.
type condition struct {
	name string
	// load is the offered load as a fraction of the capacity of all targets.
	load float64
	// jumpLoad replaces load after a third of the run, unless it is zero.
	jumpLoad float64
	// isHeavy makes the service times heavy-tailed.
	isHeavy bool
	// initialBehaviour returns the behaviour of every target during the warm-up and from the start of the run.
	initialBehaviour func(meanServiceTime time.Duration) server.Behaviour
	// fault is injected after a third of the run. It affects the first target, all targets of the first
	// target's failure domain or the first entry host that the directory lists for the service.
	fault func(ctx context.Context, f *fleet.Fleet) error
	// idealOmitsFault marks the conditions whose ideal queue is computed without the fault. It is not read,
	// because computeIdeal leaves out every fault.
	idealOmitsFault bool
}

// The length of a burst and the mean gap between bursts are multiples of the mean service time, so that
// they keep their proportion to it when it is changed. A longer mean service time lowers the request rate.
// At half the rate, for example, contention for the processors of the test machine distorts the results less.
const (
	// burstSlowdown is how many times as long work takes during a burst.
	burstSlowdown     = 4
	burstServiceTimes = 5
	gapServiceTimes   = 45
	noiseSeed         = 11
)

func defaultBehaviour(time.Duration) server.Behaviour {
	return server.Behaviour{}
}

func burstyBehaviour(meanServiceTime time.Duration) server.Behaviour {
	return server.Behaviour{Noise: noise.Shape{
		Seed: noiseSeed, Factor: burstSlowdown,
		BurstMillis: int(burstServiceTimes * meanServiceTime.Milliseconds()), GapMillis: int(gapServiceTimes * meanServiceTime.Milliseconds()),
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
		{name: "ColdStart70", load: 0.7, initialBehaviour: defaultBehaviour, fault: simulateColdStart, idealOmitsFault: true},
		{name: "DomainLoss55", load: 0.55, initialBehaviour: defaultBehaviour, fault: failDomain, idealOmitsFault: true},
		{name: "LateReports75", load: 0.75, initialBehaviour: func(meanServiceTime time.Duration) server.Behaviour {
			b := burstyBehaviour(meanServiceTime)
			b.ReportDelayMillis = 200
			return b
		}},
		{name: "LyingReports75", load: 0.75, initialBehaviour: func(meanServiceTime time.Duration) server.Behaviour {
			b := burstyBehaviour(meanServiceTime)
			b.LieZero = true
			return b
		}},
		{name: "Overload130", load: 1.3, initialBehaviour: defaultBehaviour},
		{name: "HolderKilled70", load: 0.7, initialBehaviour: defaultBehaviour, fault: killHolder, idealOmitsFault: true},
		{name: "HolderFrozen70", load: 0.7, initialBehaviour: defaultBehaviour, fault: freezeHolder, idealOmitsFault: true},
	}
}

func slowTarget(ctx context.Context, f *fleet.Fleet) error {
	const slowdown = 10
	return f.SetBehaviour(ctx, f.Targets[0], &server.Behaviour{Noise: noise.Shape{Always: slowdown}})
}

func failTarget(ctx context.Context, f *fleet.Fleet) error {
	return f.SetBehaviour(ctx, f.Targets[0], &server.Behaviour{FailFast: true})
}

func drainTarget(ctx context.Context, f *fleet.Fleet) error {
	return f.SetBehaviour(ctx, f.Targets[0], &server.Behaviour{Draining: true})
}

// simulateColdStart removes the first target from the host list and adds it again after one phase. The target
// then works slowly for another phase. Its process keeps running.
func simulateColdStart(ctx context.Context, f *fleet.Fleet) error {
	const slowdown = 3
	const phase = 500 * time.Millisecond
	t := f.Targets[0]
	row := plat.Host{Name: t.Name, Role: plat.RoleTarget, Service: t.Service, Address: t.Address, FailureDomain: t.Domain}
	if err := f.ChangeHosts(ctx, []plat.Host{row}); err != nil {
		return err
	}
	if err := f.SetBehaviour(ctx, t, &server.Behaviour{Noise: noise.Shape{Always: slowdown}}); err != nil {
		return err
	}
	row.State = plat.StateLive
	time.AfterFunc(phase, func() {
		_ = f.ChangeHosts(ctx, []plat.Host{row})
		time.AfterFunc(phase, func() { _ = f.SetBehaviour(ctx, t, &server.Behaviour{}) })
	})
	return nil
}

// failDomain makes every target of the first target's failure domain answer with status 500 at once.
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
	const freezeDuration = 1500 * time.Millisecond
	h.Signal(sigStop)
	time.AfterFunc(freezeDuration, func() { h.Signal(sigCont) })
	return nil
}

// plan returns the requests to send to a service during a run of a condition. The capacity of the service is
// its number of slots divided by the mean service time.
func (c *condition) plan(s *fleet.Service, duration, meanServiceTime time.Duration, seed uint64) *load.Plan {
	capacity := float64(s.Targets*s.Slots) / meanServiceTime.Seconds()
	return &load.Plan{
		Service: s.Name, Rate: c.load * capacity, JumpRate: c.jumpLoad * capacity, JumpAt: duration / 3,
		Duration: duration, ReadFraction: 0.7, MeanServiceTime: meanServiceTime, IsHeavyTailed: c.isHeavy, Timeout: 2 * time.Second, Seed: seed,
	}
}
