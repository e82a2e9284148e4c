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

	warmUpDuration = 1500 * time.Millisecond
	startDelay     = 100 * time.Millisecond
	// faultSettleTime is the time that a policy has to react to a fault. Requests that the first target
	// receives after it count in Row.Victim.
	faultSettleTime = 250 * time.Millisecond
	percent         = 100
)

// Policy is a set of steering and retry settings that is compared with others.
type Policy struct {
	Name string
	// DocumentLines are INI lines that are added to the document of the service.
	DocumentLines string
}

// Policies returns the policies in the order in which each condition measures them.
func Policies() []Policy {
	// Zero holders let callers use every entry host.
	everyHost := "[Steering]\nHolders = 0\nPolicy = "
	// A quantile of 1 turns hedging off.
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

// Options set what is measured and where the results go.
type Options struct {
	// Program and Standin are the paths of the curranttiller and standin binaries.
	Program, Standin string
	Service          fleet.Service
	// Hosts is the number of entry hosts.
	Hosts int
	// Duration is the length of one run of a policy under a condition, without the warm-up.
	Duration        time.Duration
	MeanServiceTime time.Duration
	// Seed determines the requests. Every policy gets the same ones.
	Seed uint64
	// ConditionPrefix selects the conditions whose names begin with it. If it is empty, all are measured.
	ConditionPrefix string
	// PolicyNames are the policies to measure, separated by commas. If it is empty, all are measured.
	PolicyNames string
	// ResultsFolder receives bench.json. If it is empty, no file is written.
	ResultsFolder string
}

// Row is the result of one policy under one condition. Latencies are in ms, and the names of the fields
// are those of the JSON file.
type Row struct {
	Condition, Policy string
	// Rate is the number of requests per second at the start of the run.
	Rate float64
	// The Top fields are 99.9th percentiles. Reads are idempotent requests and writes are not.
	ReadP50, ReadP99, ReadTop float64
	WriteP99                  float64
	// IdealP99 and IdealTop are the latencies of the ideal central queue, for reads and writes together.
	IdealP99, IdealTop float64
	// Answered, NotRun and MayHave are fractions of the requests. MayHave is the fraction that may have run
	// or failed in any other way.
	Answered, NotRun, MayHave float64
	// Goodput is the service time of the requests that were answered before the end of the run, as a fraction
	// of the slot time of all targets during the run.
	Goodput float64
	// Extra is the number of attempts that targets received per request, minus 1. It is 0 if that is negative.
	// A request that reached no target hides an extra attempt of another.
	//
	// Wasted is the fraction of the busy slot time that was spent on cancelled attempts.
	Extra, Wasted float64
	// Probes is the number of probes that the targets received.
	Probes int
	// ProbeShare is the fraction of the slot time of all targets that probes used.
	ProbeShare float64
	// Victim is the number of attempts that the first target received later than 250 ms after the fault, as a
	// fraction of the number of requests that were due in that time. It is 0 without a fault.
	Victim float64
	// Recovery is the time in ms from the fault or load jump until the p99 of 50 ms windows stays within
	// twice the p99 of the last third of the run. It is at most a third of the run. In a run without a fault
	// or load jump it is counted from a third of the run too.
	Recovery float64
	// Late is the largest delay of a request behind its planned sending time, in ms.
	Late float64
	// Middle is the median of Series. Unlike the 99th percentile of the whole run it is insensitive to short
	// stalls of the test machine.
	Middle float64
	// Series holds the 99th percentile latency in ms of the answered requests that were due in each window of
	// 100 ms, reads and writes together, for the report. It is 0 for a window without any.
	Series []float64
	// Totals counts the outcomes and the contradictions between them and the executions that the targets recorded.
	Totals load.Totals
	// Reasons counts the requests that were not answered, by reason and verdict.
	Reasons map[string]int
}

// Run measures every selected combination of condition and policy, prints the result of each and writes the
// rows to bench.json in the results folder. If a measurement fails, it writes no rows, keeps the logs of the
// fleet and names their folder in the error.
func Run(ctx context.Context, o *Options, out io.Writer) error {
	dir, err := os.MkdirTemp("", "curranttiller-bench-")
	if err != nil {
		return eris.Wrap(err, "creating a temporary folder")
	}
	var rows []Row
	printHeader(out)
	for _, c := range conditions() {
		if !strings.HasPrefix(c.name, o.ConditionPrefix) {
			continue
		}
		measured, err := measureCondition(ctx, o, &c, dir, out)
		if err != nil {
			return eris.Wrapf(err, "logs of the fleet are in %s", dir)
		}
		rows = append(rows, measured...)
	}
	_ = os.RemoveAll(dir)
	return writeRows(o.ResultsFolder, rows)
}

func writeRows(folder string, rows []Row) error {
	if folder == "" {
		return nil
	}
	if err := os.MkdirAll(folder, 0o750); err != nil {
		return eris.Wrap(err, "creating the results folder")
	}
	encoded, err := json.MarshalIndent(rows, "", " ")
	if err != nil {
		return eris.Wrap(err, "encoding the results")
	}
	return eris.Wrap(os.WriteFile(filepath.Join(folder, "bench.json"), encoded, 0o600), "writing the results")
}

// measureCondition measures the policies in direct succession on the same fleet, so that other load on the
// test machine has little time to change between them.
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
	// Each document must name the version that it replaces, which is the offset of the replaced document in the
	// log. The offsets are 1, 2 and so on, because the hosts republish nothing to the log during the first quarter
	// of the retention time, and the policies are measured within it.
	baseVersion := uint64(0)
	for _, p := range Policies() {
		if o.PolicyNames != "" && !strings.Contains(","+o.PolicyNames+",", ","+p.Name+",") {
			continue
		}
		service := o.Service
		service.DocumentLines = p.DocumentLines
		if _, err := f.Publish(ctx, &service, baseVersion); err != nil {
			return nil, err
		}
		baseVersion++
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

// restoreHosts restarts entry hosts that a fault killed and waits until all hosts are members again, so
// that the next policy starts with a complete fleet.
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

// findHolder returns the first entry host that the directory lists for the service. With zero holders,
// every entry host is listed.
func findHolder(ctx context.Context, f *fleet.Fleet) (*fleet.Host, error) {
	directory, err := load.FetchJSON[caller.Directory](ctx, f.Hosts[0].CallerAddress, "/tiller/directory?service="+f.Services[0].Name)
	if err != nil {
		return nil, err
	}
	if len(directory.Hosts) == 0 {
		return nil, eris.New("the directory lists no host for the service")
	}
	return f.Host(directory.Hosts[0].Name), nil
}

// setInitialBehaviour sets the initial behaviour of the condition at every target. The bursts of the targets are
// counted from start. For a measured run start must be that of its plan, so that the bursts coincide with those
// of the ideal queue.
func setInitialBehaviour(ctx context.Context, f *fleet.Fleet, c *condition, meanServiceTime time.Duration, start time.Time) error {
	for _, t := range f.Targets {
		behaviour := c.initialBehaviour(meanServiceTime)
		behaviour.StartUnixNanos = start.UnixNano()
		if err := f.SetBehaviour(ctx, t, &behaviour); err != nil {
			return err
		}
	}
	return nil
}

// sumStats returns the sums over the targets of the counters that a Row is computed from. The other fields of
// the result are zero.
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
	warmUpPlan := (&condition{load: min(c.load, 0.5)}).plan(&o.Service, warmUpDuration, o.MeanServiceTime, o.Seed+1000)
	load.Run(ctx, client, warmUpPlan, time.Now())
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

// victimBaseline is the state of the first target when faultSettleTime has passed since the fault.
type victimBaseline struct {
	// requests is the number of attempts that the target had received.
	requests int
	// at is the time at which they were counted, from the start of the run.
	at time.Duration
}

// injectFault waits for plan.JumpAt, which is a third of the run also without a load jump, and injects the fault
// of the condition. Without a fault it returns at once.
func injectFault(ctx context.Context, c *condition, f *fleet.Fleet, plan *load.Plan, start time.Time) (victimBaseline, error) {
	if c.fault == nil {
		return victimBaseline{}, nil
	}
	time.Sleep(time.Until(start.Add(plan.JumpAt)))
	if err := c.fault(ctx, f); err != nil {
		return victimBaseline{}, err
	}
	time.Sleep(faultSettleTime)
	stats, err := sumStats(ctx, f.Targets[:1])
	return victimBaseline{requests: stats.Requests, at: time.Since(start)}, err
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
	// newRow reads only totals that don't depend on the executions that the targets recorded.
	result.ComputeTotals(nil)
	withRuns := *result
	withRuns.ComputeTotals(runs)
	row := newRow(c, policy, result)
	row.Totals = withRuns.Totals
	requests := float64(after.Requests - before.Requests)
	row.Extra = max(requests/float64(len(result.Outcomes))-1, 0)
	row.Wasted = (after.WastedMillis - before.WastedMillis) / max(after.BusyMillis-before.BusyMillis, 1)
	row.Probes = after.Probes - before.Probes
	slotMillis := float64(o.Service.Targets*o.Service.Slots) * float64(o.Duration.Milliseconds())
	row.ProbeShare = (after.BusyProbeMillis - before.BusyProbeMillis) / slotMillis
	row.Goodput = goodput(result, o)
	if c.fault != nil {
		stats, err := sumStats(ctx, f.Targets[:1])
		if err != nil {
			return nil, err
		}
		row.Victim = float64(stats.Requests-victim.requests) / float64(max(countArrivalsFrom(result, victim.at), 1))
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

// goodput returns the service time of the requests that were answered before the end of the run, as a
// fraction of the slot time of all targets.
func goodput(result *load.Result, o *Options) float64 {
	arrivals := result.Plan.Arrivals()
	answered := time.Duration(0)
	for i := range result.Outcomes {
		if result.Outcomes[i].Status == http.StatusOK && result.Outcomes[i].EndedAt <= o.Duration {
			answered += arrivals[i].ServiceTime
		}
	}
	return answered.Seconds() / (o.Duration.Seconds() * float64(o.Service.Targets*o.Service.Slots))
}

// median returns the upper median, or 0 without values.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}

const seriesWindow = 100 * time.Millisecond

// windowP99s returns the values of Row.Series, the 99th percentile of each window.
func windowP99s(result *load.Result) []float64 {
	var p99s []float64
	for from := time.Duration(0); from < result.Plan.Duration; from += seriesWindow {
		h := result.LatencyHistogram(func(o *load.Outcome) bool { return o.At >= from && o.At < from+seriesWindow })
		p99s = append(p99s, millis(h.ValueAtQuantile(99)))
	}
	return p99s
}

// recoveryMillis returns the time in ms from the fault or load jump to the end of the last window whose p99 is
// more than twice that of the last third of the run. It ignores windows in the last third.
func recoveryMillis(result *load.Result) float64 {
	const window = 50 * time.Millisecond
	p99 := func(from, to time.Duration) float64 {
		return millis(result.LatencyHistogram(func(o *load.Outcome) bool { return o.At >= from && o.At < to }).ValueAtQuantile(99))
	}
	steady := p99(result.Plan.Duration*2/3, result.Plan.Duration)
	recovered := time.Duration(0)
	for from := result.Plan.JumpAt; from < result.Plan.Duration*2/3; from += window {
		if p99(from, from+window) > 2*steady {
			recovered = from + window - result.Plan.JumpAt
		}
	}
	return float64(recovered.Milliseconds())
}

// computeIdeal sets the latencies of a central queue with the same arrivals and the same bursts of the targets.
// It leaves out the fault.
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

// rowFormat is the format of the printed table. R is short for reads, W for writes and Id for the ideal queue.
// The columns "x p99" and "x p999" are the latency of reads divided by that of the ideal queue. Mid99 is Row.Middle.
// The names of the other columns are short for those of other fields of Row.
const rowFormat = "%-15s %-12s %7s %7s %7s %7s %7s %7s %6s %6s %6s %6s %6s %6s %6s %6s %5s %6s\n"

func printHeader(out io.Writer) {
	fmt.Fprintf(out, rowFormat, "Condition", "Policy", "R.p50", "R.p99", "R.p999", "W.p99", "Id.p99", "Id.p999",
		"x p99", "x p999", "Answ%", "NotR%", "Extra%", "Waste%", "Vict%", "Recov", "Late", "Mid99")
}

func printRow(out io.Writer, r *Row) {
	oneDecimal := func(f float64) string { return fmt.Sprintf("%.1f", f) }
	twoDecimals := func(f float64) string { return fmt.Sprintf("%.2f", f) }
	fmt.Fprintf(out, rowFormat, r.Condition, r.Policy, oneDecimal(r.ReadP50), oneDecimal(r.ReadP99), oneDecimal(r.ReadTop), oneDecimal(r.WriteP99),
		oneDecimal(r.IdealP99), oneDecimal(r.IdealTop), twoDecimals(r.ReadP99/r.IdealP99), twoDecimals(r.ReadTop/r.IdealTop),
		oneDecimal(percent*r.Answered), oneDecimal(percent*r.NotRun), oneDecimal(percent*r.Extra), oneDecimal(percent*r.Wasted), oneDecimal(percent*r.Victim), oneDecimal(r.Recovery), oneDecimal(r.Late), oneDecimal(r.Middle))
	if r.Goodput > 0 && r.NotRun > 0.01 {
		fmt.Fprintf(out, "  goodput %.3f of the capacity\n", r.Goodput)
	}
	if r.Answered < 0.99 {
		fmt.Fprintf(out, "  not answered: %v\n", r.Reasons)
	}
	if r.Totals.HasViolations() {
		fmt.Fprintf(out, "  GUARANTEE VIOLATED: %+v\n", r.Totals)
	}
}
