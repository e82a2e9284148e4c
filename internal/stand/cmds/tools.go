package cmds

import (
	"context"
	"os"
	"time"

	"gitlab.com/curranttiller/curranttiller/internal/stand/bench"
	"gitlab.com/curranttiller/curranttiller/internal/stand/demo"
	"gitlab.com/curranttiller/curranttiller/internal/stand/fleet"
	"gitlab.com/curranttiller/curranttiller/internal/stand/regr"
	"gitlab.com/curranttiller/curranttiller/internal/stand/scale"
	"gitlab.com/curranttiller/curranttiller/internal/stand/soak"
)

// tools are the commands that run a whole fleet and measure or check it.
func (o *options) tools() []command {
	program := textFlag{"program", "path of the curranttiller binary", &o.program}
	out := textFlag{"out", "folder for the results", &o.resultsFolder}
	seconds := intFlag{"seconds", "length of a run, in s", &o.seconds}
	seed := intFlag{"seed", "seed of everything random", &o.seed}
	return []command{
		{
			name: "demo", description: "Runs the whole path as separate processes and prints what came of it.",
			textFlags: []textFlag{program}, run: o.runDemo,
		},
		{
			name: "bench", description: "Measures the policies side by side under each condition.", run: o.runBench,
			textFlags: []textFlag{
				program, out,
				{"only", "only conditions whose name begins so", &o.conditionPrefix},
				{"policies", "only these policies, separated by commas", &o.policies},
			},
			intFlags: []intFlag{
				seconds, seed,
				{"hosts", "entry hosts", &o.hosts},
				{"work-millis", "mean service time, in ms", &o.workMillis},
				{"targets", "targets of the service", &o.targetCount},
				{"slots", "slots of each target", &o.slots},
			},
		},
		{
			name: "report", description: "Draws the results of bench as one page.",
			textFlags: []textFlag{out}, run: func(context.Context) error { return bench.Report(o.resultsFolder) },
		},
		{
			name: "soak", description: "Runs a fleet under seeded faults of every kind and checks every promise about a request.", run: o.runSoak,
			textFlags: []textFlag{program}, intFlags: []intFlag{seconds, seed, {"rate", "requests a second", &o.rate}},
		},
		{
			name: "scale", description: "Measures what control costs a daemon at several sizes.", run: o.runScale,
			textFlags: []textFlag{program}, intFlags: []intFlag{{"hosts", "only sizes with this number of hosts", &o.scaleHosts}},
		},
		{
			name: "regress", description: "Compares the newest score of each deployment with the one before it.",
			textFlags: []textFlag{{"journal", "folder of the journal", &o.journal}}, run: o.runRegress,
		},
		{
			name: "overhead", description: "Measures what one entry host adds to a call, and calls a second per core.", run: o.runOverhead,
			textFlags: []textFlag{program, out},
		},
	}
}

func (o *options) runDemo(ctx context.Context) error {
	return demo.Run(ctx, o.program, o.self, os.Stdout)
}

func (o *options) runBench(ctx context.Context) error {
	return bench.Run(ctx, &bench.Options{
		Program: o.program, Standin: o.self, Hosts: o.hosts, ResultsFolder: o.resultsFolder, ConditionPrefix: o.conditionPrefix, PolicyNames: o.policies,
		Service:  fleet.Service{Name: "reservas", Targets: o.targetCount, Slots: o.slots},
		Duration: time.Duration(o.seconds) * time.Second, MeanServiceTime: time.Duration(o.workMillis) * time.Millisecond, Seed: uint64(o.seed),
	}, os.Stdout)
}

func (o *options) runSoak(ctx context.Context) error {
	return soak.Run(ctx, &soak.Options{
		Program: o.program, Standin: o.self, Seed: uint64(o.seed), Duration: time.Duration(o.seconds) * time.Second, Rate: float64(o.rate),
	}, os.Stdout)
}

func (o *options) runRegress(context.Context) error {
	scores, err := regr.ReadScores(o.journal)
	if err != nil {
		return err
	}
	return regr.Report(scores, os.Stdout)
}

func (o *options) runScale(ctx context.Context) error {
	return scale.Run(ctx, o.program, o.self, o.scaleHosts, os.Stdout)
}

func (o *options) runOverhead(ctx context.Context) error {
	return scale.Overhead(ctx, o.program, o.self, o.resultsFolder, os.Stdout)
}
