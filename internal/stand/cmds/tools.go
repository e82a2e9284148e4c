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

// tools returns the commands that run, test or measure a whole fleet, or evaluate the results.
func (o *options) tools() []command {
	program := textFlag{"program", "path of the curranttiller binary", &o.program}
	out := textFlag{"out", "folder of the results", &o.resultsFolder}
	seconds := intFlag{"seconds", "duration of a run, in s", &o.seconds}
	seed := intFlag{"seed", "seed of the random number generators", &o.seed}
	return []command{
		{
			name: "demo", description: "Sends requests through a small fleet of separate processes and prints the results.",
			textFlags: []textFlag{program}, run: o.runDemo,
		},
		{
			name: "bench", description: "Compares the load balancing policies under each condition.", run: o.runBench,
			textFlags: []textFlag{
				program, out,
				{"only", "measure only conditions whose names begin with this text", &o.conditionPrefix},
				{"policies", "measure only these policies, separated by commas", &o.policies},
			},
			intFlags: []intFlag{
				seconds, seed,
				{"hosts", "number of entry hosts", &o.hosts},
				{"work-millis", "mean service time, in ms", &o.workMillis},
				{"targets", "number of targets of the service", &o.targetCount},
				{"slots", "slots per target", &o.slots},
			},
		},
		{
			name: "report", description: "Plots the results of bench in report.png, in the folder of the results.",
			textFlags: []textFlag{out}, run: func(context.Context) error { return bench.Report(o.resultsFolder) },
		},
		{
			name: "soak", description: "Runs a fleet under random faults and checks the guarantees about every request.", run: o.runSoak,
			textFlags: []textFlag{program}, intFlags: []intFlag{seconds, seed, {"rate", "requests per second", &o.rate}},
		},
		{
			name: "scale", description: "Measures the CPU time, memory and control traffic of each entry host in systems of several sizes.", run: o.runScale,
			textFlags: []textFlag{program}, intFlags: []intFlag{{"hosts", "measure only systems with this number of hosts (0 means all)", &o.scaleHosts}},
		},
		{
			name: "regress", description: "Compares the newest score of each deployment with the previous one.",
			textFlags: []textFlag{{"journal", "folder of the benchmark journal", &o.journal}}, run: o.runRegress,
		},
		{
			name: "overhead", description: "Measures the latency that an entry host adds to a request, and its requests per second per core.", run: o.runOverhead,
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
