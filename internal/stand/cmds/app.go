package cmds

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/integrii/flaggy"
	"github.com/rotisserie/eris"

	"gitlab.com/curranttiller/curranttiller/internal/stand/bench"
	"gitlab.com/curranttiller/curranttiller/internal/stand/demo"
	"gitlab.com/curranttiller/curranttiller/internal/stand/fleet"
	"gitlab.com/curranttiller/curranttiller/internal/stand/platf"
	"gitlab.com/curranttiller/curranttiller/internal/stand/scale"
	"gitlab.com/curranttiller/curranttiller/internal/stand/server"
	"gitlab.com/curranttiller/curranttiller/internal/stand/soak"
	"gitlab.com/curranttiller/curranttiller/internal/stand/tamper"
)

// options are the flags of all commands.
type options struct {
	listen, control, routes, targets, program      string
	retentionMillis, listLagMillis, appends        int
	slots, waiting, probeMillis, connections       int
	hosts, seconds, repeats, services, perEntry    int
	seed, workMillis, targetCount, rate, sizeHosts int
	only, policies, out                            string
}

func defaults() *options {
	return &options{
		retentionMillis: 3_600_000, appends: 500, slots: 4, waiting: 1000, probeMillis: 6, connections: 0,
		hosts: 13, seconds: 8, workMillis: 20, targetCount: 15, rate: 200, out: "out", repeats: 1, services: 4, perEntry: 0, seed: 1, program: "bin/curranttiller",
	}
}

// Run parses the arguments, runs a command and returns its exit code.
func Run(args []string) int {
	o := defaults()
	parser := flaggy.NewParser("standin")
	parser.Description = "Stand-ins for what curranttiller meets, and the tools that measure it."
	commands := []struct {
		sub *flaggy.Subcommand
		run func(ctx context.Context) error
	}{
		{platformCommand(o), o.runPlatform},
		{targetCommand(o), o.runTargets},
		{proxyCommand(o), o.runProxy},
		{demoCommand(o), o.runDemo},
		{benchCommand(o), o.runBench},
		{soakCommand(o), o.runSoak},
		{scaleCommand(o), o.runScale},
		{overheadCommand(o), o.runOverhead},
		{reportCommand(o), o.runReport},
	}
	for _, c := range commands {
		parser.AttachSubcommand(c.sub, 1)
	}
	if err := parser.ParseArgs(args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	for _, c := range commands {
		if !c.sub.Used {
			continue
		}
		if err := c.run(ctx); err != nil {
			fmt.Fprintln(os.Stderr, "error:", err)
			return 1
		}
		return 0
	}
	parser.ShowHelp()
	return 2
}

func newCommand(name, about string) *flaggy.Subcommand {
	sub := flaggy.NewSubcommand(name)
	sub.Description = about
	return sub
}

func platformCommand(o *options) *flaggy.Subcommand {
	sub := newCommand("platform", "Runs a platform: a log and a list of hosts.")
	sub.String(&o.listen, "", "listen", "address")
	sub.Int(&o.retentionMillis, "", "retention-millis", "how long records are kept, in ms")
	sub.Int(&o.listLagMillis, "", "list-lag-millis", "how late the host list is, in ms")
	sub.Int(&o.appends, "", "appends-per-second", "appends allowed a second")
	return sub
}

func (o *options) runPlatform(ctx context.Context) error {
	listener, err := listen(o.listen)
	if err != nil {
		return err
	}
	p := platf.Start(listener, platf.Options{
		Retention:        time.Duration(o.retentionMillis) * time.Millisecond,
		AppendsPerSecond: o.appends,
		ListLag:          time.Duration(o.listLagMillis) * time.Millisecond,
	})
	<-ctx.Done()
	p.Close()
	return nil
}

func listen(address string) (net.Listener, error) {
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", address)
	return listener, eris.Wrapf(err, "listening on %s", address)
}

func targetCommand(o *options) *flaggy.Subcommand {
	sub := newCommand("target", "Runs the targets of a service.")
	sub.String(&o.targets, "", "targets", "NAME=ADDRESS values separated by commas")
	sub.Int(&o.slots, "", "slots", "requests that a target works on at once")
	sub.Int(&o.waiting, "", "waiting", "requests that may wait at a target")
	sub.Int(&o.probeMillis, "", "probe-millis", "slot time of a probe, in ms")
	sub.Int(&o.connections, "", "connections", "connections allowed to a target; 0 means any number")
	return sub
}

func (o *options) runTargets(ctx context.Context) error {
	var targets []*server.Target
	for item := range strings.SplitSeq(o.targets, ",") {
		name, address, _ := strings.Cut(item, "=")
		listener, err := listen(address)
		if err != nil {
			return err
		}
		targets = append(targets, server.Start(listener, server.Options{
			Name: name, Slots: o.slots, WaitingAtMost: o.waiting,
			ProbeWork: time.Duration(o.probeMillis) * time.Millisecond, Connections: o.connections,
		}))
	}
	<-ctx.Done()
	for _, t := range targets {
		t.Close()
	}
	return nil
}

func proxyCommand(o *options) *flaggy.Subcommand {
	sub := newCommand("proxy", "Runs a fault-injecting TCP proxy.")
	sub.String(&o.control, "", "control", "address that takes faults as JSON")
	sub.String(&o.routes, "", "routes", "file with NAME=LISTEN>DESTINATION lines")
	return sub
}

func (o *options) runProxy(ctx context.Context) error {
	text, err := os.ReadFile(o.routes)
	if err != nil {
		return eris.Wrap(err, "reading the routes")
	}
	p := tamper.New()
	for line := range strings.Lines(string(text)) {
		name, way, _ := strings.Cut(strings.TrimSpace(line), "=")
		from, to, _ := strings.Cut(way, ">")
		listener, err := listen(from)
		if err != nil {
			return err
		}
		p.Add(name, listener, to)
	}
	control, err := listen(o.control)
	if err != nil {
		return err
	}
	go func() { _ = p.Control(control) }()
	<-ctx.Done()
	_ = control.Close()
	p.Close()
	return nil
}

func demoCommand(o *options) *flaggy.Subcommand {
	sub := newCommand("demo", "Runs the whole path as separate processes and prints what came of it.")
	sub.String(&o.program, "", "program", "path of the curranttiller binary")
	return sub
}

func (o *options) runDemo(ctx context.Context) error {
	self, err := os.Executable()
	if err != nil {
		return eris.Wrap(err, "finding the own binary")
	}
	return demo.Run(ctx, o.program, self, os.Stdout)
}

func benchCommand(o *options) *flaggy.Subcommand {
	sub := newCommand("bench", "Measures the policies side by side under each condition.")
	sub.String(&o.program, "", "program", "path of the curranttiller binary")
	sub.Int(&o.hosts, "", "hosts", "entry hosts")
	sub.Int(&o.seconds, "", "seconds", "length of each run, in s")
	sub.Int(&o.seed, "", "seed", "seed of arrivals and choices")
	sub.Int(&o.workMillis, "", "work-millis", "mean service time, in ms")
	sub.Int(&o.targetCount, "", "targets", "targets of the service")
	sub.Int(&o.slots, "", "slots", "slots of each target")
	sub.String(&o.only, "", "only", "only conditions whose name begins so")
	sub.String(&o.policies, "", "policies", "only these policies, separated by commas")
	sub.String(&o.out, "", "out", "folder for the results")
	return sub
}

func (o *options) runBench(ctx context.Context) error {
	self, err := os.Executable()
	if err != nil {
		return eris.Wrap(err, "finding the own binary")
	}
	return bench.Run(ctx, &bench.Options{
		Program: o.program, Standin: self, Hosts: o.hosts, Out: o.out, Only: o.only, OnlyPolicy: o.policies,
		Service: fleet.Service{Name: "reservas", Targets: o.targetCount, Slots: o.slots},
		Length:  time.Duration(o.seconds) * time.Second, Work: time.Duration(o.workMillis) * time.Millisecond, Seed: uint64(o.seed),
	}, os.Stdout)
}

func soakCommand(o *options) *flaggy.Subcommand {
	sub := newCommand("soak", "Runs a fleet under seeded faults of every kind and checks every promise about a request.")
	sub.String(&o.program, "", "program", "path of the curranttiller binary")
	sub.Int(&o.seconds, "", "seconds", "length of the run, in s")
	sub.Int(&o.seed, "", "seed", "seed of arrivals and faults")
	sub.Int(&o.rate, "", "rate", "requests a second")
	return sub
}

func (o *options) runSoak(ctx context.Context) error {
	self, err := os.Executable()
	if err != nil {
		return eris.Wrap(err, "finding the own binary")
	}
	return soak.Run(ctx, &soak.Options{
		Program: o.program, Standin: self, Seed: uint64(o.seed), Length: time.Duration(o.seconds) * time.Second, Rate: float64(o.rate),
	}, os.Stdout)
}

func scaleCommand(o *options) *flaggy.Subcommand {
	sub := newCommand("scale", "Measures what control costs a daemon at several sizes.")
	sub.Int(&o.sizeHosts, "", "hosts", "only sizes with this number of hosts")
	sub.String(&o.program, "", "program", "path of the curranttiller binary")
	return sub
}

func (o *options) runScale(ctx context.Context) error {
	self, err := os.Executable()
	if err != nil {
		return eris.Wrap(err, "finding the own binary")
	}
	return scale.Run(ctx, o.program, self, o.sizeHosts, os.Stdout)
}

func reportCommand(o *options) *flaggy.Subcommand {
	sub := newCommand("report", "Draws the results of bench as one page.")
	sub.String(&o.out, "", "out", "folder of the results and the page")
	return sub
}

func (o *options) runReport(context.Context) error {
	return bench.Report(o.out)
}

func overheadCommand(o *options) *flaggy.Subcommand {
	sub := newCommand("overhead", "Measures what one entry host adds to a call, and calls a second per core.")
	sub.String(&o.program, "", "program", "path of the curranttiller binary")
	sub.String(&o.out, "", "out", "folder for the profile")
	return sub
}

func (o *options) runOverhead(ctx context.Context) error {
	self, err := os.Executable()
	if err != nil {
		return eris.Wrap(err, "finding the own binary")
	}
	return scale.Overhead(ctx, o.program, self, o.out, os.Stdout)
}
