package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"gitlab.com/curranttiller/curranttiller/internal/plat"
	"gitlab.com/curranttiller/curranttiller/internal/stand/fleet"
	"gitlab.com/curranttiller/curranttiller/internal/stand/load"
	"gitlab.com/curranttiller/curranttiller/internal/stand/platf"
	"gitlab.com/curranttiller/curranttiller/internal/stand/server"
	"gitlab.com/curranttiller/curranttiller/internal/stand/tamper"
	"gitlab.com/curranttiller/curranttiller/pkg/caller"
)

const (
	serviceName     = "reservas"
	hosts           = 4
	targets         = 6
	slots           = 4
	meanServiceTime = 10 * time.Millisecond
	timeout         = 3 * time.Second
	// recoveryTime is the part at the end of a soak in which no fault is injected. The faults that are still in
	// force at its beginning are then ended.
	recoveryTime        = 4 * time.Second
	maxExtraPauseMillis = 400
)

// Options set the faults and the load of a soak.
type Options struct {
	// Program and Standin are the paths of the curranttiller and standin binaries.
	Program, Standin string
	// Seed determines the faults and the requests.
	Seed uint64
	// Duration is how long requests are sent, recoveryTime included.
	Duration time.Duration
	// Rate is the number of requests per second.
	Rate float64
}

// soak is the state of a run.
type soak struct {
	fleet *fleet.Fleet
	rng   *rand.Rand
	// faultCounts is the number of injected faults by name.
	faultCounts map[string]int
	// pendingUndo holds a function for each fault in force that ends it, oldest first.
	pendingUndo []func()
}

// fault is one kind of fault. Its inject function returns a function that ends the fault, or nil if
// nothing has to be done to end it.
type fault struct {
	name   string
	inject func(ctx context.Context, s *soak) func()
}

func faults() []fault {
	return []fault{
		{"KillHost", killHost},
		{"FreezeHost", freezeHost},
		{"StopHost", stopHost},
		{"CutPeer", cutRoute("-peers")},
		{"CutPlatform", cutRoute("-platform")},
		{"SilenceCallers", silenceRoute("-callers")},
		{"SilencePeers", silenceRoute("-peers")},
		{"SilenceTarget", silenceTarget},
		{"CutTarget", cutTarget},
		{"DropTargetReplies", dropTargetReplies},
		{"DrainTarget", drainTarget},
		{"TargetBehaviour", changeTargetBehaviour},
		{"PlatformOutage", platformFault(platf.Faults{Outage: true})},
		{"PlatformSlow", platformFault(platf.Faults{DelayMillis: 2000})},
		{"PlatformLosesReplies", platformFault(platf.Faults{LoseReplies: true})},
	}
}

func (s *soak) randomHost() *fleet.Host {
	return s.fleet.Hosts[s.rng.IntN(len(s.fleet.Hosts))]
}

func (s *soak) randomTarget() *fleet.Target {
	return s.fleet.Targets[s.rng.IntN(len(s.fleet.Targets))]
}

func killHost(_ context.Context, s *soak) func() {
	h := s.randomHost()
	h.Kill()
	return func() { _ = h.Start() }
}

func freezeHost(_ context.Context, s *soak) func() {
	h := s.randomHost()
	h.Signal(syscall.SIGSTOP)
	return func() { h.Signal(syscall.SIGCONT) }
}

func stopHost(_ context.Context, s *soak) func() {
	h := s.randomHost()
	h.Signal(syscall.SIGTERM)
	return func() {
		// The host may still be running after the first SIGTERM.
		h.Stop()
		_ = h.Start()
	}
}

// cutRoute cuts a proxy route of a random host. The suffix selects the route among those of the host, whose
// names begin with the name of the host.
func cutRoute(suffix string) func(context.Context, *soak) func() {
	return func(ctx context.Context, s *soak) func() {
		return s.applyFault(ctx, tamper.Fault{Route: s.randomHost().Name + suffix, Cut: true})
	}
}

func silenceRoute(suffix string) func(context.Context, *soak) func() {
	return func(ctx context.Context, s *soak) func() {
		return s.applyFault(ctx, tamper.Fault{Route: s.randomHost().Name + suffix, Silence: true})
	}
}

func silenceTarget(ctx context.Context, s *soak) func() {
	return s.applyFault(ctx, tamper.Fault{Route: s.randomTarget().Name, Silence: true})
}

func cutTarget(ctx context.Context, s *soak) func() {
	return s.applyFault(ctx, tamper.Fault{Route: s.randomTarget().Name, Cut: true})
}

func dropTargetReplies(ctx context.Context, s *soak) func() {
	return s.applyFault(ctx, tamper.Fault{Route: s.randomTarget().Name, DropReplies: true})
}

func (s *soak) applyFault(ctx context.Context, f tamper.Fault) func() {
	_ = s.fleet.ApplyFault(ctx, f)
	return func() { _ = s.fleet.ApplyFault(ctx, tamper.Fault{Route: f.Route}) }
}

// drainTarget marks a random target as leaving in the host list. The target itself doesn't report that it drains.
func drainTarget(ctx context.Context, s *soak) func() {
	t := s.randomTarget()
	row := plat.Host{Name: t.Name, Role: plat.RoleTarget, Service: t.Service, Address: t.Address, FailureDomain: t.Domain, State: plat.StateLeaving}
	_ = s.fleet.ChangeHosts(ctx, []plat.Host{row})
	return func() {
		row.State = plat.StateLive
		_ = s.fleet.ChangeHosts(ctx, []plat.Host{row})
	}
}

func changeTargetBehaviour(ctx context.Context, s *soak) func() {
	behaviours := []server.Behaviour{
		{FailFast: true},
		{Draining: true},
		{RefuseNew: true},
		{LieZero: true},
		{CutAfterRun: true},
		{CutBody: true},
		{EndByClose: true},
		{Limit: "2"},
		{Limit: "0"},
		{Limit: "soon"},
	}
	t := s.randomTarget()
	_ = s.fleet.SetBehaviour(ctx, t, &behaviours[s.rng.IntN(len(behaviours))])
	return func() { _ = s.fleet.SetBehaviour(ctx, t, &server.Behaviour{}) }
}

func platformFault(faults platf.Faults) func(context.Context, *soak) func() {
	return func(ctx context.Context, s *soak) func() {
		_ = fleet.PostJSON(ctx, s.fleet.PlatformAddress, "/control", faults)
		return func() { _ = fleet.PostJSON(ctx, s.fleet.PlatformAddress, "/control", platf.Faults{}) }
	}
}

// Run soaks a fleet, prints how often each fault was injected and the outcomes of the requests, and returns an
// error if a guarantee was violated. After any error it keeps the logs of the fleet. The error names their folder
// if the fleet had started and its documents were published.
func Run(ctx context.Context, o *Options, out io.Writer) error {
	dir, err := os.MkdirTemp("", "curranttiller-soak-")
	if err != nil {
		return eris.Wrap(err, "creating the folder of the soak")
	}
	f, err := fleet.Start(ctx, &fleet.Options{
		Program: o.Program, Standin: o.Standin, Dir: dir, Hosts: hosts, Domains: 3, Retention: time.Hour, ListLag: 100 * time.Millisecond,
		SettingsLines: "\n[Membership]\nHeartbeatMillis = 100\nFailAfterMillis = 1500\n",
		Services:      []fleet.Service{{Name: serviceName, Targets: targets, Slots: slots, DocumentLines: "[Steering]\nDirectoryHoldMillis = 500\n"}},
	})
	if err != nil {
		return err
	}
	defer f.Close()
	if err := f.PublishDocuments(ctx); err != nil {
		return err
	}
	s := &soak{fleet: f, rng: rand.New(rand.NewPCG(o.Seed, 7)), faultCounts: make(map[string]int)}
	result := s.run(ctx, o)
	if err := s.check(ctx, result, out); err != nil {
		return eris.Wrapf(err, "seed %d, logs in %s", o.Seed, dir)
	}
	return eris.Wrap(os.RemoveAll(dir), "removing the folder of the soak")
}

func (s *soak) run(ctx context.Context, o *Options) *load.Result {
	client := caller.New(caller.Settings{Entries: s.fleet.CallerAddresses(), Timeout: timeout, Seed: o.Seed})
	defer client.Close()
	plan := &load.Plan{
		Service: serviceName, Rate: o.Rate, Duration: o.Duration, ReadFraction: 0.4, MeanServiceTime: meanServiceTime, Timeout: timeout, Seed: o.Seed,
	}
	// One target names a limit all the time unless it gets another behaviour.
	_ = s.fleet.SetBehaviour(ctx, s.fleet.Targets[0], &server.Behaviour{Limit: "3"})
	session := load.Start(ctx, client, plan, time.Now())
	faultsEnd := time.Now().Add(o.Duration - recoveryTime)
	kinds := faults()
	for time.Now().Before(faultsEnd) {
		kind := kinds[s.rng.IntN(len(kinds))]
		s.faultCounts[kind.name]++
		if undo := kind.inject(ctx, s); undo != nil {
			s.pendingUndo = append(s.pendingUndo, undo)
		}
		s.pause()
		// At most three faults remain in force when the next is injected. The oldest end first.
		for len(s.pendingUndo) > s.rng.IntN(4) {
			s.undoOldest()
		}
	}
	for len(s.pendingUndo) > 0 {
		s.undoOldest()
	}
	return session.Wait()
}

func (s *soak) undoOldest() {
	s.pendingUndo[0]()
	s.pendingUndo = s.pendingUndo[1:]
}

// pause waits for 50 ms and a random extra time of less than maxExtraPauseMillis.
func (s *soak) pause() {
	time.Sleep(time.Duration(50+s.rng.IntN(maxExtraPauseMillis)) * time.Millisecond)
}

func (s *soak) check(ctx context.Context, result *load.Result, out io.Writer) error {
	runs, err := load.FetchRunCounts(ctx, s.fleet.TargetAddresses(""))
	if err != nil {
		return err
	}
	result.ComputeTotals(runs)
	if result.Totals.OverLimit, err = load.FetchOverLimit(ctx, s.fleet.TargetAddresses("")); err != nil {
		return err
	}
	for _, kind := range faults() {
		fmt.Fprintf(out, "%-22s %d\n", kind.name, s.faultCounts[kind.name])
	}
	t := &result.Totals
	fmt.Fprintf(out, "%d requests: %d answered, %d not run, %d may have run, %d failed; resubmitted %d\n",
		t.Requests, t.Answered, t.NotRun, t.MayHave, t.Failed, t.Resubmits)
	fmt.Fprintf(out, "wrong or truncated answers accepted %d, run twice %d, reported as not run but ran %d, reported as ran but did not %d, without an outcome %d, over the limit of a target %d\n",
		t.Wrong, t.RanTwice, t.FalseNot, t.FalseRan, t.Requests-t.Answered-t.NotRun-t.MayHave-t.Failed, t.OverLimit)
	for reason, count := range result.ReasonCounts() {
		fmt.Fprintf(out, "  %-40s %d\n", reason, count)
	}
	if t.HasViolations() {
		return eris.New("a guarantee about a request was violated")
	}
	return nil
}
