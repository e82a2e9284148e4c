package demo

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"gitlab.com/curranttiller/curranttiller/internal/admin"
	"gitlab.com/curranttiller/curranttiller/internal/stand/fleet"
	"gitlab.com/curranttiller/curranttiller/internal/stand/load"
	"gitlab.com/curranttiller/curranttiller/internal/stand/server"
	"gitlab.com/curranttiller/curranttiller/pkg/caller"
)

const (
	hosts             = 3
	targets           = 4
	slots             = 4
	requestsPerSecond = 300
	duration          = 6 * time.Second
	meanServiceTime   = 10 * time.Millisecond
	timeout           = 2 * time.Second
	startDelay        = 200 * time.Millisecond
	percent           = 100.0
	serviceName       = "reservas"
)

// Run runs the demo and prints its results. It returns an error if a request was not answered, was answered
// wrongly, was run twice or got a false verdict about whether it ran.
func Run(ctx context.Context, program, standin string, out io.Writer) error {
	dir, err := os.MkdirTemp("", "curranttiller-demo-")
	if err != nil {
		return eris.Wrap(err, "creating a temporary folder")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	f, err := fleet.Start(ctx, &fleet.Options{
		Program: program, Standin: standin, Dir: dir, Hosts: hosts, Domains: 3,
		Services:  []fleet.Service{{Name: serviceName, Targets: targets, Slots: slots}},
		Retention: time.Hour, ListLag: 100 * time.Millisecond,
	})
	if err != nil {
		return err
	}
	defer f.Close()
	if err := f.PublishDocuments(ctx); err != nil {
		return err
	}
	fmt.Fprintf(out, "Started 1 platform, %d entry hosts, %d targets and 1 fault proxy as separate processes.\n\n", hosts, targets)
	client := caller.New(caller.Settings{Entries: f.CallerAddresses(), FailureDomain: f.Domain(0), Timeout: timeout, Seed: 1})
	defer client.Close()
	plan := &load.Plan{Service: serviceName, Rate: requestsPerSecond, Duration: duration, ReadFraction: 0.7, MeanServiceTime: meanServiceTime, Timeout: timeout, Seed: 1}
	result := load.Run(ctx, client, plan, time.Now().Add(startDelay))
	return report(ctx, f, result, out)
}

func report(ctx context.Context, f *fleet.Fleet, result *load.Result, out io.Writer) error {
	runs, err := load.FetchRunCounts(ctx, f.TargetAddresses(""))
	if err != nil {
		return err
	}
	result.ComputeTotals(runs)
	printTotals(out, &result.Totals)
	printLatency(out, "reads", result, true)
	printLatency(out, "non-idempotent", result, false)
	if err := printProbes(ctx, f, out); err != nil {
		return err
	}
	if err := printVersions(ctx, f, out); err != nil {
		return err
	}
	t := &result.Totals
	if t.HasViolations() || t.Answered != t.Requests {
		return eris.New("a request was not answered, was answered wrongly, was run twice or got a false verdict")
	}
	return nil
}

func printTotals(out io.Writer, t *load.Totals) {
	const columns = "%-10s %-10s %-8s %-12s %-7s %-7s %s\n"
	fmt.Fprintf(out, columns, "Requests", "Answered", "NotRun", "MayHaveRun", "Failed", "Wrong", "RanTwice")
	fmt.Fprintf(out, columns, fmt.Sprint(t.Requests), fmt.Sprint(t.Answered), fmt.Sprint(t.NotRun), fmt.Sprint(t.MayHave),
		fmt.Sprint(t.Failed), fmt.Sprint(t.Wrong), fmt.Sprint(t.RanTwice))
}

func printLatency(out io.Writer, name string, result *load.Result, isRead bool) {
	h := result.LatencyHistogram(func(o *load.Outcome) bool { return o.IsRead == isRead })
	fmt.Fprintf(out, "Latency of %-15s p50 %6.2f ms   p99 %6.2f ms   (mean service time %v)\n",
		name+":", millis(h.ValueAtQuantile(percent/2)), millis(h.ValueAtQuantile(99)), meanServiceTime)
}

func millis(micros int64) float64 {
	return float64(micros) / float64(time.Millisecond/time.Microsecond)
}

func printProbes(ctx context.Context, f *fleet.Fleet, out io.Writer) error {
	probes := 0
	for _, t := range f.Targets {
		stats, err := load.FetchJSON[server.Stats](ctx, t.DirectAddress, "/stats")
		if err != nil {
			return err
		}
		probes += stats.Probes
	}
	fmt.Fprintf(out, "Probes sent: %d\n\n", probes)
	return nil
}

func printVersions(ctx context.Context, f *fleet.Fleet, out io.Writer) error {
	fmt.Fprintf(out, "%-10s %-14s %-10s %s\n", "Host", "FailureDomain", "Service", "VersionInForce")
	for _, h := range f.Hosts {
		status, err := load.FetchJSON[admin.Status](ctx, h.AdminAddress, "/tiller/status")
		if err != nil {
			return err
		}
		for i := range status.Services {
			fmt.Fprintf(out, "%-10s %-14s %-10s %d\n", status.Host, status.FailureDomain, status.Services[i].Name, status.Services[i].Version)
		}
	}
	return nil
}
