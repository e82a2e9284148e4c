package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"gitlab.com/curranttiller/curranttiller/internal/stand/fleet"
	"gitlab.com/curranttiller/curranttiller/internal/stand/load"
	"gitlab.com/curranttiller/curranttiller/internal/stand/noise"
	"gitlab.com/curranttiller/curranttiller/internal/stand/server"
	"gitlab.com/curranttiller/curranttiller/pkg/caller"
)

const (
	sigStop = syscall.SIGSTOP
	sigCont = syscall.SIGCONT

	warmUpDuration  = 1500 * time.Millisecond
	startDelay      = 100 * time.Millisecond
	faultSettleTime = 250 * time.Millisecond
	percent         = 100
)

// Policy is a document that is measured against the others.
type Policy struct {
	Name          string
	DocumentLines string
}

// Policies are measured in this order, interleaved within each condition.
func Policies() []Policy {
	everyHost := "[Steering]\nHolders = 0\nPolicy = "
	noHedge := "[Retries]\nHedgeQuantile = 1\n"
	return []Policy{
		{"Held", "[Steering]\nPolicy = Held\n"},
		{"HeldNoHedge", noHedge + "[Steering]\nPolicy = Held\n"},
		{"Held2", "[Steering]\nPolicy = Held\nHolders = 2\n"},
		{"Reports", everyHost + "Reports\n"},
		{"TwoChoices", noHedge + everyHost + "TwoChoices\n"},
		{"RoundRobin", noHedge + everyHost + "RoundRobin\n"},
		{"Random", noHedge + everyHost + "Random\n"},
	}
}

// Options select what is measured.
type Options struct {
	Program, Standin string
	Service          fleet.Service
	Hosts            int
	Duration         time.Duration
	MeanServiceTime  time.Duration
	Seed             uint64
	// ConditionPrefix and OnlyPolicy are prefixes of the conditions and names of the policies to measure; empty means all.
	ConditionPrefix string
	PolicyNames     string
	// ResultsFolder is a folder for the results.
	ResultsFolder string
}

// Row is what one policy did under one condition; latencies are in ms.
type Row struct {
	Condition, Policy         string
	Rate                      float64
	ReadP50, ReadP99, ReadTop float64
	WriteP99                  float64
	IdealP99, IdealTop        float64
	// Answered, NotRun and MayHave are shares of the requests.
	Answered, NotRun, MayHave float64
	// Goodput is the answered work as a share of the capacity.
	Goodput float64
	// Extra is the share of attempts beyond one a request, and Wasted the share of slot time of cancelled ones.
	Extra, Wasted float64
	Probes        int
	ProbeShare    float64
	// Victim is the share of requests that the faulty target saw from 250 ms after the fault on.
	Victim float64
	// Recovery is the time in ms after the fault until the p99 of 50 ms windows stays within 1.5 of that before.
	Recovery float64
	// Late is how far the sender fell behind, in ms.
	Late float64
	// Middle is the median of Series: the 99th percentile without the stalls of the machine that runs everything.
	Middle float64
	// Series are the 99th percentiles of reads in windows of 100 ms, for the report.
	Series []float64
	Totals load.Totals
	// Reasons count the requests that were not answered.
	Reasons map[string]int
}

// Run measures every selected pair and writes the rows as JSON.
func Run(ctx context.Context, o *Options, out io.Writer) error {
	dir, err := os.MkdirTemp("", "curranttiller-bench-")
	if err != nil {
		return eris.Wrap(err, "making a folder for the measurement")
	}
	var rows []Row
	printHeader(out)
	for _, c := range conditions() {
		if !strings.HasPrefix(c.name, o.ConditionPrefix) {
			continue
		}
		got, err := measureCondition(ctx, o, &c, dir, out)
		if err != nil {
			return eris.Wrapf(err, "logs are kept in %s", dir)
		}
		rows = append(rows, got...)
	}
	_ = os.RemoveAll(dir)
	return writeRows(o.ResultsFolder, rows)
}

func writeRows(folder string, rows []Row) error {
	if folder == "" {
		return nil
	}
	if err := os.MkdirAll(folder, 0o750); err != nil {
		return eris.Wrap(err, "making the folder for results")
	}
	encoded, err := json.MarshalIndent(rows, "", " ")
	if err != nil {
		return eris.Wrap(err, "encoding results")
	}
	return eris.Wrap(os.WriteFile(filepath.Join(folder, "bench.json"), encoded, 0o600), "writing results")
}

// measureCondition measures the policies one after the other on one fleet, so
// that they see the same machine in the same minute.
func measureCondition(ctx context.Context, o *Options, c *condition, dir string, out io.Writer) ([]Row, error) {
	f, err := fleet.Start(ctx, &fleet.Options{
		Program: o.Program, Standin: o.Standin, Dir: dir, Hosts: o.Hosts, Domains: 3, NoProxy: true,
		Services: []fleet.Service{o.Service}, Retention: time.Hour, ListLag: 100 * time.Millisecond,
	})
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var rows []Row
	base := uint64(0)
	for _, p := range Policies() {
		if o.PolicyNames != "" && !strings.Contains(","+o.PolicyNames+",", ","+p.Name+",") {
			continue
		}
		service := o.Service
		service.DocumentLines = p.DocumentLines
		if _, err := f.Publish(ctx, &service, base); err != nil {
			return nil, err
		}
		base++
		row, err := measure(ctx, o, c, f, p.Name)
		if err != nil {
			return nil, err
		}
		printRow(out, row)
		rows = append(rows, *row)
		if err := restoreHosts(ctx, f); err != nil {
			return nil, err
		}
	}
	return rows, nil
}

// restoreHosts undoes a fault, so that the next policy finds the same fleet.
func restoreHosts(ctx context.Context, f *fleet.Fleet) error {
	for _, h := range f.Hosts {
		if h.HasExited() {
			if err := h.Start(); err != nil {
				return err
			}
		}
	}
	return f.AwaitMembership(ctx, f.Hosts)
}

func findHolder(ctx context.Context, f *fleet.Fleet) (*fleet.Host, error) {
	directory, err := load.FetchJSON[caller.Directory](ctx, f.Hosts[0].CallerAddress, "/tiller/directory?service="+f.Services[0].Name)
	if err != nil {
		return nil, err
	}
	if len(directory.Hosts) == 0 {
		return nil, eris.New("the directory names no host")
	}
	return f.Host(directory.Hosts[0].Name), nil
}

func setInitialBehaviour(ctx context.Context, f *fleet.Fleet, c *condition, work time.Duration, start time.Time) error {
	for _, t := range f.Targets {
		behaviour := c.initialBehaviour(work)
		behaviour.StartUnixNanos = start.UnixNano()
		if err := f.SetBehaviour(ctx, t, &behaviour); err != nil {
			return err
		}
	}
	return nil
}

// sumStats adds up the targets' counters.
func sumStats(ctx context.Context, targets []*fleet.Target) (server.Stats, error) {
	var sum server.Stats
	for _, t := range targets {
		s, err := load.FetchJSON[server.Stats](ctx, t.DirectAddress, "/stats")
		if err != nil {
			return sum, err
		}
		sum.Requests += s.Requests
		sum.Probes += s.Probes
		sum.BusyMillis += s.BusyMillis
		sum.BusyProbeMillis += s.BusyProbeMillis
		sum.WastedMillis += s.WastedMillis
	}
	return sum, nil
}

func measure(ctx context.Context, o *Options, c *condition, f *fleet.Fleet, policy string) (*Row, error) {
	client := caller.New(caller.Settings{Entries: f.CallerAddresses(), Timeout: 2 * time.Second, Seed: o.Seed})
	defer client.Close()
	if err := setInitialBehaviour(ctx, f, c, o.MeanServiceTime, time.Now()); err != nil {
		return nil, err
	}
	warm := (&condition{load: min(c.load, 0.5)}).plan(&o.Service, warmUpDuration, o.MeanServiceTime, o.Seed+1000)
	load.Run(ctx, client, warm, time.Now())
	start := time.Now().Add(startDelay)
	if err := setInitialBehaviour(ctx, f, c, o.MeanServiceTime, start); err != nil {
		return nil, err
	}
	before, err := sumStats(ctx, f.Targets)
	if err != nil {
		return nil, err
	}
	plan := c.plan(&o.Service, o.Duration, o.MeanServiceTime, o.Seed)
	plan.Tag = policy
	session := load.Start(ctx, client, plan, start)
	victim, err := injectFault(ctx, c, f, plan, start)
	if err != nil {
		return nil, err
	}
	result := session.Wait()
	return summarize(ctx, o, c, f, policy, result, before, victim)
}

// victimBaseline is how many requests the first target had seen 250 ms after the fault.
type victimBaseline struct {
	requests int
	at       time.Duration
}

func injectFault(ctx context.Context, c *condition, f *fleet.Fleet, plan *load.Plan, start time.Time) (victimBaseline, error) {
	if c.fault == nil {
		return victimBaseline{}, nil
	}
	time.Sleep(time.Until(start.Add(plan.JumpAt)))
	if err := c.fault(ctx, f); err != nil {
		return victimBaseline{}, err
	}
	time.Sleep(faultSettleTime)
	seen, err := sumStats(ctx, f.Targets[:1])
	return victimBaseline{requests: seen.Requests, at: time.Since(start)}, err
}

func summarize(ctx context.Context, o *Options, c *condition, f *fleet.Fleet, policy string, result *load.Result, before server.Stats, victim victimBaseline) (*Row, error) {
	after, err := sumStats(ctx, f.Targets)
	if err != nil {
		return nil, err
	}
	runs, err := load.FetchRunCounts(ctx, f.TargetAddresses(""))
	if err != nil {
		return nil, err
	}
	result.ComputeTotals(nil)
	counted := *result
	counted.ComputeTotals(runs)
	row := newRow(c, policy, result)
	row.Totals = counted.Totals
	requests := float64(after.Requests - before.Requests)
	row.Extra = max(requests/float64(len(result.Outcomes))-1, 0)
	row.Wasted = (after.WastedMillis - before.WastedMillis) / max(after.BusyMillis-before.BusyMillis, 1)
	row.Probes = after.Probes - before.Probes
	slotMillis := float64(o.Service.Targets*o.Service.Slots) * float64(o.Duration.Milliseconds())
	row.ProbeShare = (after.BusyProbeMillis - before.BusyProbeMillis) / slotMillis
	row.Goodput = goodput(result, o)
	if c.fault != nil {
		seen, err := sumStats(ctx, f.Targets[:1])
		if err != nil {
			return nil, err
		}
		row.Victim = float64(seen.Requests-victim.requests) / float64(max(countArrivalsFrom(result, victim.at), 1))
	}
	row.Recovery = recoveryMillis(result)
	row.Middle = median(row.Series)
	row.computeIdeal(o, c, f, result)
	return row, nil
}

func countArrivalsFrom(result *load.Result, at time.Duration) int {
	count := 0
	for i := range result.Outcomes {
		if result.Outcomes[i].At >= at {
			count++
		}
	}
	return count
}

func newRow(c *condition, policy string, result *load.Result) *Row {
	reads := result.LatencyHistogram(func(o *load.Outcome) bool { return o.IsRead })
	writes := result.LatencyHistogram(func(o *load.Outcome) bool { return !o.IsRead })
	count := float64(max(len(result.Outcomes), 1))
	return &Row{
		Condition: c.name, Policy: policy, Rate: result.Plan.Rate,
		ReadP50: millis(reads.ValueAtQuantile(50)), ReadP99: millis(reads.ValueAtQuantile(99)), ReadTop: millis(reads.ValueAtQuantile(99.9)),
		WriteP99: millis(writes.ValueAtQuantile(99)),
		Answered: float64(result.Totals.Answered) / count, NotRun: float64(result.Totals.NotRun) / count,
		MayHave: float64(result.Totals.MayHave+result.Totals.Failed) / count,
		Late:    millis(result.MaxSendDelay.Microseconds()),
		Series:  windowP99s(result),
		Reasons: result.ReasonCounts(),
	}
}

func millis(micros int64) float64 {
	return float64(micros) / float64(time.Millisecond/time.Microsecond)
}

// goodput is the answered work as a share of what the targets can do.
func goodput(result *load.Result, o *Options) float64 {
	arrivals := result.Plan.Arrivals()
	done := time.Duration(0)
	for i := range result.Outcomes {
		if result.Outcomes[i].Status == http.StatusOK && result.Outcomes[i].EndedAt <= o.Duration {
			done += arrivals[i].ServiceTime
		}
	}
	return done.Seconds() / (o.Duration.Seconds() * float64(o.Service.Targets*o.Service.Slots))
}

// median returns the middle value.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}

const seriesWindow = 100 * time.Millisecond

// windowP99s returns the 99th percentile of each window, by the arrival of the requests.
func windowP99s(result *load.Result) []float64 {
	var points []float64
	for from := time.Duration(0); from < result.Plan.Duration; from += seriesWindow {
		h := result.LatencyHistogram(func(o *load.Outcome) bool { return o.At >= from && o.At < from+seriesWindow })
		points = append(points, millis(h.ValueAtQuantile(99)))
	}
	return points
}

// recoveryMillis is the time after the change until the p99 of the windows stays
// within twice that of the end of the run.
func recoveryMillis(result *load.Result) float64 {
	const window = 50 * time.Millisecond
	p99 := func(from, to time.Duration) float64 {
		return millis(result.LatencyHistogram(func(o *load.Outcome) bool { return o.At >= from && o.At < to }).ValueAtQuantile(99))
	}
	steady := p99(result.Plan.Duration*2/3, result.Plan.Duration)
	last := time.Duration(0)
	for from := result.Plan.JumpAt; from < result.Plan.Duration*2/3; from += window {
		if p99(from, from+window) > 2*steady {
			last = from + window - result.Plan.JumpAt
		}
	}
	return float64(last.Milliseconds())
}

// computeIdeal computes the central queue from the same arrivals and target speeds.
func (r *Row) computeIdeal(o *Options, c *condition, f *fleet.Fleet, result *load.Result) {
	schedules := make([]*noise.Schedule, 0, len(f.Targets))
	for _, t := range f.Targets {
		schedules = append(schedules, noise.NewSchedule(c.initialBehaviour(o.MeanServiceTime).Noise, t.Name))
	}
	ideal := &load.Result{}
	for i, latency := range load.IdealLatencies(result.Plan.Arrivals(), schedules, o.Service.Slots) {
		if i < len(result.Outcomes) {
			ideal.Outcomes = append(ideal.Outcomes, load.Outcome{Status: http.StatusOK, Latency: latency})
		}
	}
	h := ideal.LatencyHistogram(func(*load.Outcome) bool { return true })
	r.IdealP99 = millis(h.ValueAtQuantile(99))
	r.IdealTop = millis(h.ValueAtQuantile(99.9))
}

const rowFormat = "%-15s %-12s %7s %7s %7s %7s %7s %7s %6s %6s %6s %6s %6s %6s %6s %6s %5s %6s\n"

func printHeader(out io.Writer) {
	fmt.Fprintf(out, rowFormat, "Condition", "Policy", "R.p50", "R.p99", "R.p999", "W.p99", "Id.p99", "Id.p999",
		"x p99", "x p999", "Answ%", "NotR%", "Extra%", "Waste%", "Vict%", "Recov", "Late", "Mid99")
}

func printRow(out io.Writer, r *Row) {
	one := func(f float64) string { return fmt.Sprintf("%.1f", f) }
	two := func(f float64) string { return fmt.Sprintf("%.2f", f) }
	fmt.Fprintf(out, rowFormat, r.Condition, r.Policy, one(r.ReadP50), one(r.ReadP99), one(r.ReadTop), one(r.WriteP99),
		one(r.IdealP99), one(r.IdealTop), two(r.ReadP99/r.IdealP99), two(r.ReadTop/r.IdealTop),
		one(percent*r.Answered), one(percent*r.NotRun), one(percent*r.Extra), one(percent*r.Wasted), one(percent*r.Victim), one(r.Recovery), one(r.Late), one(r.Middle))
	if r.Goodput > 0 && r.NotRun > 0.01 {
		fmt.Fprintf(out, "  goodput %.3f of the capacity\n", r.Goodput)
	}
	if r.Answered < 0.99 {
		fmt.Fprintf(out, "  not answered: %v\n", r.Reasons)
	}
	if r.Totals.HasViolations() {
		fmt.Fprintf(out, "  PROMISE BROKEN: %+v\n", r.Totals)
	}
}
