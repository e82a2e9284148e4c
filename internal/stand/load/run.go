package load

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rotisserie/eris"

	"gitlab.com/curranttiller/curranttiller/internal/stand/server"
	"gitlab.com/curranttiller/curranttiller/pkg/caller"
	"gitlab.com/curranttiller/curranttiller/pkg/fault"
)

const (
	// lowestMicros, highestMicros and significantDigits set the range and precision of latency histograms.
	lowestMicros      = 1
	highestMicros     = 120_000_000
	significantDigits = 3
	fetchTimeout      = 10 * time.Second
)

// Outcome is the result of one operation as its caller received it.
type Outcome struct {
	Operation string
	IsRead    bool
	// At is the scheduled time of the request, counted from the start of the plan.
	At time.Duration
	// Latency is the time from At until the outcome was received at EndedAt.
	Latency time.Duration
	EndedAt time.Duration
	// Status is the HTTP status, or zero if there was no response.
	Status  int
	Verdict fault.Verdict
	// IsWrong is set if the response belonged to another request or was incomplete.
	IsWrong bool
	// Target is the name of the target that answered with status 200.
	Target string
	// Attempts is how often the caller submitted the request, hedges not counted. It is zero if there was no response.
	Attempts int
	// Reason is the reason that the entry host or the caller's client gave for the status or error.
	Reason string
}

// Totals count the outcomes of a run.
type Totals struct {
	Requests int
	// Answered counts the requests with status 200.
	Answered int
	// NotRun counts the other requests with the verdict that they did not run.
	NotRun int
	// MayHave counts those with the verdict that they may have run.
	MayHave int
	// Failed counts those with the verdict that they ran.
	Failed int
	// Wrong counts the responses that belonged to another request or were incomplete.
	Wrong int
	// RanTwice counts the non-idempotent operations that ran more than once.
	RanTwice int
	// FalseNot counts the non-idempotent operations that ran although the verdict was
	// that they did not run.
	FalseNot int
	// FalseRan counts the non-idempotent operations that did not run although the
	// verdict was that they ran.
	FalseRan int
	// OverLimit is the number of requests that a target got beyond what its limit allowed. It is
	// set by the caller of ComputeTotals.
	OverLimit int
	// Resubmits counts the requests that the caller submitted more than once.
	Resubmits int
}

// HasViolations reports whether a guarantee was violated, by a wrong response, a duplicate
// execution, a false verdict or too many requests at a target that named a limit.
func (t *Totals) HasViolations() bool {
	return t.Wrong+t.RanTwice+t.FalseNot+t.FalseRan+t.OverLimit > 0
}

// Result holds the outcomes of a plan's requests.
type Result struct {
	Plan Plan
	// Totals is set by ComputeTotals.
	Totals   Totals
	Outcomes []Outcome
	// MaxSendDelay is the longest delay with which a request was sent after its scheduled time.
	MaxSendDelay time.Duration
}

// Session is a run in progress. It is safe for concurrent use.
type Session struct {
	done       chan struct{}
	endedCount atomic.Int64
	result     *Result
}

// Start starts to send the requests of a plan, whose times count from start, and returns at once.
func Start(ctx context.Context, client *caller.Client, plan *Plan, start time.Time) *Session {
	s := &Session{done: make(chan struct{})}
	go func() {
		s.result = s.run(ctx, client, plan, start)
		close(s.done)
	}()
	return s
}

// EndedCount returns the number of requests that have an outcome so far.
func (s *Session) EndedCount() int {
	return int(s.endedCount.Load())
}

// Done returns a channel that is closed when every request has its outcome.
func (s *Session) Done() <-chan struct{} {
	return s.done
}

// Wait waits until every request has its outcome and returns the result.
func (s *Session) Wait() *Result {
	<-s.done
	return s.result
}

// Run sends the requests of a plan at their scheduled times and waits for their
// outcomes. After the end of the context it sends no further requests.
func Run(ctx context.Context, client *caller.Client, plan *Plan, start time.Time) *Result {
	return Start(ctx, client, plan, start).Wait()
}

func (s *Session) run(ctx context.Context, client *caller.Client, plan *Plan, start time.Time) *Result {
	arrivals := plan.Arrivals()
	result := &Result{Plan: *plan, Outcomes: make([]Outcome, len(arrivals))}
	var sending sync.WaitGroup
	for i, a := range arrivals {
		if wait := time.Until(start.Add(a.At)); wait > 0 {
			time.Sleep(wait)
		}
		if ctx.Err() != nil {
			result.Outcomes = result.Outcomes[:i]
			break
		}
		result.MaxSendDelay = max(result.MaxSendDelay, time.Since(start.Add(a.At)))
		sending.Go(func() {
			result.Outcomes[i] = send(ctx, client, plan, a, i, start)
			s.endedCount.Add(1)
		})
	}
	sending.Wait()
	return result
}

func send(ctx context.Context, client *caller.Client, plan *Plan, a Arrival, index int, start time.Time) Outcome {
	operation := fmt.Sprintf("%s-%s%d-%d", plan.Service, plan.Tag, plan.Seed, index)
	request := &caller.Request{
		Service: plan.Service,
		Method:  http.MethodGet,
		Path:    "/item/" + operation,
		Header: http.Header{
			server.OperationHeader:  {operation},
			server.WorkMicrosHeader: {strconv.FormatInt(a.ServiceTime.Microseconds(), 10)},
		},
	}
	if !a.IsRead {
		request.Method = http.MethodPost
		request.Body = []byte(operation)
	}
	due := start.Add(a.At)
	ctx, cancel := context.WithDeadline(ctx, due.Add(plan.Timeout))
	defer cancel()
	response, err := client.Do(ctx, request)
	outcome := Outcome{Operation: operation, IsRead: a.IsRead, At: a.At, Latency: time.Since(due)}
	outcome.EndedAt = a.At + outcome.Latency
	if err != nil {
		outcome.Verdict = fault.VerdictOf(err)
		outcome.Reason = reasonOf(err)
		return outcome
	}
	outcome.Status = response.Status
	outcome.Verdict = response.Verdict
	outcome.Attempts = response.Attempts
	outcome.Reason = response.Header.Get("Tiller-Reason")
	if response.Status == http.StatusOK {
		outcome.Target, outcome.IsWrong = checkAnswer(response.Body, operation)
	}
	return outcome
}

func reasonOf(err error) string {
	var failed *fault.Error
	if errors.As(err, &failed) {
		return failed.Reason
	}
	return err.Error()
}

func checkAnswer(body []byte, operation string) (target string, isWrong bool) {
	var answer server.Answer
	if err := json.Unmarshal(body, &answer); err != nil {
		return "", true
	}
	return answer.Target, answer.Operation != operation || answer.Path != "/item/"+operation
}

// ComputeTotals sets r.Totals. The keys of runs are operations, and the values are how
// often each of them ran according to the targets.
func (r *Result) ComputeTotals(runs map[string]int) {
	r.Totals = Totals{Requests: len(r.Outcomes)}
	for i := range r.Outcomes {
		r.Totals.add(&r.Outcomes[i], runs)
	}
}

func (t *Totals) add(o *Outcome, runs map[string]int) {
	switch {
	case o.Status == http.StatusOK:
		t.Answered++
	case o.Verdict == fault.NotRun:
		t.NotRun++
	case o.Verdict == fault.MayHaveRun:
		t.MayHave++
	default:
		t.Failed++
	}
	if o.IsWrong {
		t.Wrong++
	}
	if o.Attempts > 1 {
		t.Resubmits++
	}
	if o.IsRead {
		return
	}
	ran := runs[o.Operation]
	if ran > 1 {
		t.RanTwice++
	}
	if o.Verdict == fault.NotRun && ran > 0 {
		t.FalseNot++
	}
	if o.Verdict == fault.Ran && ran == 0 {
		t.FalseRan++
	}
}

// ReasonCounts returns the number of requests without status 200 by reason and verdict,
// which are separated by a space in the keys.
func (r *Result) ReasonCounts() map[string]int {
	counts := make(map[string]int)
	for i := range r.Outcomes {
		if o := &r.Outcomes[i]; o.Status != http.StatusOK {
			counts[o.Reason+" "+o.Verdict.String()]++
		}
	}
	return counts
}

// LatencyHistogram returns the latencies in µs of the requests with status 200 for which keep returns true.
func (r *Result) LatencyHistogram(keep func(o *Outcome) bool) *hdrhistogram.Histogram {
	h := hdrhistogram.New(lowestMicros, highestMicros, significantDigits)
	for i := range r.Outcomes {
		o := &r.Outcomes[i]
		if o.Status == http.StatusOK && keep(o) {
			_ = h.RecordValue(o.Latency.Microseconds())
		}
	}
	return h
}

// FetchRunCounts returns how often each operation other than a read ran, as the sum over
// the targets at the addresses.
func FetchRunCounts(ctx context.Context, addresses []string) (map[string]int, error) {
	all := make(map[string]int)
	for _, address := range addresses {
		runs, err := FetchJSON[map[string]int](ctx, address, "/runs")
		if err != nil {
			return nil, err
		}
		for operation, count := range runs {
			all[operation] += count
		}
	}
	return all, nil
}

// FetchOverLimit returns the largest number of requests that one of the targets at the
// addresses got beyond what its limit allowed.
func FetchOverLimit(ctx context.Context, addresses []string) (int, error) {
	most := 0
	for _, address := range addresses {
		stats, err := FetchJSON[server.Stats](ctx, address, "/stats")
		if err != nil {
			return 0, err
		}
		most = max(most, stats.OverLimit)
	}
	return most, nil
}

// FetchJSON sends a GET request and returns the decoded JSON of the response, whatever
// its status is. It returns an error after 10 s.
func FetchJSON[T any](ctx context.Context, address, path string) (T, error) {
	var answer T
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, http.NoBody)
	if err != nil {
		return answer, eris.Wrapf(err, "requesting %s%s", address, path)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return answer, eris.Wrapf(err, "requesting %s%s", address, path)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return answer, eris.Wrapf(err, "reading %s%s", address, path)
	}
	return answer, eris.Wrapf(json.Unmarshal(text, &answer), "decoding %s%s", address, path)
}
