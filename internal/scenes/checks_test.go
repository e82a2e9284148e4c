package scenes_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"

	"gitlab.com/curranttiller/curranttiller/internal/stand/load"
	"gitlab.com/curranttiller/curranttiller/internal/stand/server"
	"gitlab.com/curranttiller/curranttiller/pkg/caller"
)

// cmdEnded waits until a number of a load's requests have an outcome. Without a number,
// it waits for all of them and checks that no guarantee to callers was violated.
// Example: ended bg 100
func cmdEnded(ts *testscript.TestScript, _ bool, args []string) {
	s := sceneOf(ts)
	session := s.sessions[args[0]]
	if len(args) > 1 {
		count := int(parseNumber(ts, args[1]))
		s.await(ts, "requests to end", func() bool { return session.EndedCount() >= count })
		return
	}
	result := session.Wait()
	runs, err := load.FetchRunCounts(s.ctx, s.fleet.TargetAddresses(""))
	ts.Check(err)
	result.ComputeTotals(runs)
	result.Totals.OverLimit, err = load.FetchOverLimit(s.ctx, s.fleet.TargetAddresses(""))
	ts.Check(err)
	s.results[args[0]] = result
	ts.Logf("%s: %+v", args[0], result.Totals)
	for reason, count := range countReasons(result) {
		ts.Logf("  %d not answered: %s", count, reason)
	}
	if result.Totals.HasViolations() {
		ts.Fatalf("a guarantee to callers was violated: %+v", result.Totals)
	}
}

func countReasons(r *load.Result) map[string]int {
	counts := make(map[string]int)
	for i := range r.Outcomes {
		if o := &r.Outcomes[i]; o.Status != http.StatusOK {
			counts[fmt.Sprint(o.Reason, " ", o.Verdict, " read=", o.IsRead)]++
		}
	}
	return counts
}

// cmdExpect checks the outcomes of a load that has ended. The class of requests is
// reads, writes or all. The measures answered (status 200), maybe (may have run) and
// notrun (did not run) are fractions of the requests. The measures slowest and p99 are
// latencies in ms of the requests with status 200.
// Examples: expect bg reads answered>=0.99 slowest<=400; expect bg writes maybe<=0.05
func cmdExpect(ts *testscript.TestScript, _ bool, args []string) {
	result := sceneOf(ts).results[args[0]]
	if result == nil {
		ts.Fatalf("load %s has not ended", args[0])
	}
	for _, condition := range args[2:] {
		checkCondition(ts, result, args[1], condition)
	}
}

func checkCondition(ts *testscript.TestScript, result *load.Result, class, condition string) {
	name, bound, isAtMost := strings.Cut(condition, "<=")
	if !isAtMost {
		name, bound, _ = strings.Cut(condition, ">=")
	}
	value := measureOutcomes(ts, result, class, name)
	want := parseNumber(ts, bound)
	if (isAtMost && value > want) || (!isAtMost && value < want) {
		ts.Fatalf("%s of %s is %v, want %s", name, class, value, condition)
	}
}

func measureOutcomes(ts *testscript.TestScript, result *load.Result, class, name string) float64 {
	var selected load.Result
	for i := range result.Outcomes {
		if o := &result.Outcomes[i]; class == "all" || o.IsRead == (class == "reads") {
			selected.Outcomes = append(selected.Outcomes, *o)
		}
	}
	selected.ComputeTotals(nil)
	count := float64(max(len(selected.Outcomes), 1))
	all := func(*load.Outcome) bool { return true }
	switch name {
	case "answered":
		return float64(selected.Totals.Answered) / count
	case "maybe":
		return float64(selected.Totals.MayHave) / count
	case "notrun":
		return float64(selected.Totals.NotRun) / count
	case "slowest":
		return float64(selected.LatencyHistogram(all).Max()) / 1000
	case "p99":
		return float64(selected.LatencyHistogram(all).ValueAtQuantile(99)) / 1000
	default:
		ts.Fatalf("unknown measure %q", name)
		return 0
	}
}

// cmdStats checks the counters of a target. If the target is all, it checks the sums over
// all targets. WorstWindow, the largest number of probes of a target within
// budgetWindowMillis, MostConnections and OverLimit are the maximum over the targets instead.
// Example: stats reservas1 LateNew<=0
func cmdStats(ts *testscript.TestScript, _ bool, args []string) {
	s := sceneOf(ts)
	sum := make(map[string]float64)
	for _, t := range s.fleet.Targets {
		if args[0] != "all" && args[0] != t.Name {
			continue
		}
		stats, err := load.FetchJSON[server.Stats](s.ctx, t.DirectAddress, "/stats")
		ts.Check(err)
		sum["LateNew"] += float64(stats.LateNew)
		sum["OverLimit"] = max(sum["OverLimit"], float64(stats.OverLimit))
		sum["Probes"] += float64(stats.Probes)
		sum["Runs"] += float64(stats.Runs)
		sum["Requests"] += float64(stats.Requests)
		sum["WorstWindow"] = max(sum["WorstWindow"], float64(maxInWindow(stats.ProbeUnixMillis, budgetWindowMillis)))
		sum["MostConnections"] = max(sum["MostConnections"], float64(stats.MostConnections))
	}
	for _, condition := range args[1:] {
		name, bound, isAtMost := strings.Cut(condition, "<=")
		if !isAtMost {
			name, bound, _ = strings.Cut(condition, ">=")
		}
		want := parseNumber(ts, bound)
		if (isAtMost && sum[name] > want) || (!isAtMost && sum[name] < want) {
			ts.Fatalf("%s of %s is %v, want %s", name, args[0], sum[name], condition)
		}
	}
}

// maxInWindow returns the largest number of times in any window. The times, which
// ascend, and the length of the window are in ms.
func maxInWindow(times []int64, window int64) int {
	worst := 0
	for i := range times {
		count := 0
		for _, at := range times[i:] {
			if at-times[i] < window {
				count++
			}
		}
		worst = max(worst, count)
	}
	return worst
}

// cmdSubmit sends one request to an entry host and compares the status, verdict and
// other properties of the response. work and deadline are in ms. body is the length of
// the request body. bytes is the number of bytes that the target appends to its response,
// and the least length of a response body with status 200. chain is the number of nested
// calls. header is NAME:VALUE. key is HOST.NAME, where HOST is replaced by the host's
// token. An empty reason accepts every reason. want=failure accepts what checkFailure
// accepts.
// Example: submit entry2 POST /x key=HOLDER.k1 work=500 want=200 verdict=Ran replayed=true
func cmdSubmit(ts *testscript.TestScript, _ bool, args []string) {
	s := sceneOf(ts)
	v := parseArguments(ts, args[3:], map[string]string{"key": "", "work": "5", "want": "200", "verdict": "Ran", "replayed": "", "deadline": "4000", "reason": "", "bytes": "0", "body": "0", "service": serviceName, "operation": "op", "header": "", "chain": "0"})
	h := s.host(ts, args[0])
	request, err := http.NewRequestWithContext(s.ctx, args[1], "http://"+h.CallerAddress+"/svc/"+v["service"]+args[2], strings.NewReader(strings.Repeat("b", int(parseNumber(ts, v["body"])))))
	ts.Check(err)
	request.GetBody = nil
	request.Header.Set(server.WorkMicrosHeader, strconv.Itoa(int(1000*parseNumber(ts, v["work"]))))
	request.Header.Set(server.OperationHeader, v["operation"])
	request.Header.Set(server.PaddingBytesHeader, v["bytes"])
	request.Header.Set(server.ChainHeader, v["chain"])
	request.Header.Set(server.ChainURLHeader, "http://"+h.CallerAddress+"/svc/"+v["service"]+args[2])
	request.Header.Set("Tiller-Deadline-Millis", v["deadline"])
	if name, value, found := strings.Cut(v["header"], ":"); found {
		request.Header.Set(name, value)
	}
	if v["key"] != "" {
		request.Header.Set("Idempotency-Key", s.idempotencyKey(ts, v["key"]))
	}
	response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(request)
	if err == nil {
		defer func() { _ = response.Body.Close() }()
	}
	if v["want"] == "failure" {
		checkFailure(ts, response, err)
		return
	}
	ts.Check(err)
	checkAnswer(ts, response, v)
}

// checkFailure accepts a broken connection, an incomplete response and a status of 500 or higher.
func checkFailure(ts *testscript.TestScript, response *http.Response, err error) {
	if err != nil {
		return
	}
	if _, err := countBody(response); err == nil && response.StatusCode < http.StatusInternalServerError {
		ts.Fatalf("got a complete response with status %d, want a failure", response.StatusCode)
	}
}

func checkAnswer(ts *testscript.TestScript, response *http.Response, v map[string]string) {
	length, err := countBody(response)
	ts.Check(err)
	got := map[string]string{
		"want": strconv.Itoa(response.StatusCode), "verdict": response.Header.Get("Tiller-Verdict"),
		"replayed": response.Header.Get("Tiller-Replayed"), "reason": response.Header.Get("Tiller-Reason"),
	}
	for name, value := range got {
		if v[name] != value && (name != "reason" || v[name] != "") {
			ts.Fatalf("%s is %q, want %q (reason %q)", name, value, v[name], got["reason"])
		}
	}
	if least := int64(parseNumber(ts, v["bytes"])); v["want"] == "200" && length < least {
		ts.Fatalf("response has %d bytes, want at least %d", length, least)
	}
}

func countBody(response *http.Response) (int64, error) {
	var length int64
	piece := make([]byte, 64<<10)
	for {
		n, err := response.Body.Read(piece)
		length += int64(n)
		if err != nil {
			if err.Error() == "EOF" {
				return length, nil
			}
			return length, err
		}
	}
}

// idempotencyKey returns the key for HOST.NAME, whose first part is the host's token
// from the directory. The token is read only once per script, so that the key stays
// the same after the host is restarted. A text without a dot is returned unchanged.
func (s *scene) idempotencyKey(ts *testscript.TestScript, text string) string {
	home, unique, _ := strings.Cut(text, ".")
	if unique == "" {
		return text
	}
	variable := "TOKEN_" + home
	if ts.Getenv(variable) == "" {
		name := s.host(ts, home).Name
		for _, h := range s.fleet.Hosts {
			directory, err := load.FetchJSON[caller.Directory](s.ctx, h.CallerAddress, "/tiller/directory?service="+serviceName)
			if err != nil {
				continue
			}
			for i := range directory.Hosts {
				if directory.Hosts[i].Name == name {
					ts.Setenv(variable, directory.Hosts[i].Token)
				}
			}
		}
	}
	return ts.Getenv(variable) + "." + unique
}
