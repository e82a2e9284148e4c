package entry

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"gitlab.com/curranttiller/curranttiller/internal/route"
	"gitlab.com/curranttiller/curranttiller/internal/target"
	"gitlab.com/curranttiller/curranttiller/pkg/choose"
	"gitlab.com/curranttiller/curranttiller/pkg/event"
	"gitlab.com/curranttiller/curranttiller/pkg/fault"
	"gitlab.com/curranttiller/curranttiller/pkg/header"
)

const (
	// bodyKeptBytes is the largest request body that is kept for another attempt.
	bodyKeptBytes = 64 << 10
	// answerKeptBytes is how much of an answer is read before it counts as won.
	answerKeptBytes = 256 << 10
	// lastCall is how much longer than the deadline an answer that is on its way is waited for.
	lastCall = 30 * time.Millisecond
	// rescueLeast is the shortest wait for a first byte before a connection counts as silent.
	rescueLeast = 250 * time.Millisecond
)

// run is one request at this host, from its arrival at the pool to its answer.
type run struct {
	service *service
	request *route.Request
	id      uint64
	started time.Time

	decisions <-chan decision
	results   chan *result
	attempts  map[int]*attempt
	running   int
	body      *replayBody
	rescued   bool
	// firstSent is when the first attempt was sent.
	firstSent time.Time
	// mayHaveRun says that an attempt has ended of which that is possible.
	mayHaveRun bool
}

// attempt is one try at a target.
type attempt struct {
	grant  choose.Grant
	cancel context.CancelFunc
}

// result is the end of an attempt, or the point where its answer is worth streaming.
type result struct {
	attempt int
	target  string
	answer  *target.Answer
	// prefix is the start of the body, and all of it if whole.
	prefix  []byte
	whole   bool
	err     *fault.Error
	latency time.Duration
}

// run serves a request at a target of the service and writes the answer.
func (s *service) run(ctx context.Context, request *route.Request, w http.ResponseWriter) error {
	s.metrics.requests.Inc()
	ctx, cancel := context.WithDeadline(ctx, request.Deadline.Add(lastCall))
	defer cancel()
	body, err := newReplayBody(request)
	if err != nil {
		return fault.Wrap(err, fault.NotRun, http.StatusBadRequest, "BodyUnreadable")
	}
	s.daemon.mu.Lock()
	attempts := s.document.AttemptsAtMost
	s.daemon.mu.Unlock()
	if request.Terms != nil {
		attempts = request.Terms.AttemptsAtMost
	}
	r := &run{
		service:  s,
		request:  request,
		id:       s.daemon.lastRequestID.Add(1),
		started:  time.Now(),
		results:  make(chan *result, attempts),
		attempts: make(map[int]*attempt),
		body:     body,
	}
	arrival := choose.Request{
		ID:             r.id,
		Idempotent:     request.IsIdempotent(),
		Deadline:       request.Deadline,
		Patience:       request.Patience,
		Single:         request.Header.Get(header.Retry) == "true",
		AttemptsAtMost: attempts,
	}
	if request.Terms != nil {
		arrival.Class = request.Terms.Class
		arrival.Priority = request.Terms.Priority
		arrival.Objective = request.Terms.Objective
	}
	r.decisions = s.arrive(arrival)
	defer r.release()
	won, failed := r.loop(ctx)
	if failed != nil {
		return failed
	}
	return r.write(w, won)
}

// release cancels the attempts that lost and forgets the request.
func (r *run) release() {
	for _, a := range r.attempts {
		a.cancel()
	}
	for r.running > 0 {
		lost := <-r.results
		r.running--
		r.discard(lost)
	}
	r.service.release(r.id)
}

func (r *run) discard(lost *result) {
	outcome := choose.Outcome{Kind: choose.Cancelled, Latency: lost.latency}
	if lost.answer != nil {
		_ = lost.answer.Body.Close()
		outcome.Report = lost.answer.Report
	}
	r.service.finish(r.id, lost.attempt, outcome)
}

// loop waits for grants, results and timers until an attempt has won or none can.
func (r *run) loop(ctx context.Context) (*result, *fault.Error) {
	hedge := newIdleTimer()
	defer hedge.Stop()
	rescue := newIdleTimer()
	defer rescue.Stop()
	for {
		select {
		case t := <-r.decisions:
			if t.refusal == "" {
				r.start(ctx, t.grant, hedge, rescue)
			} else if r.running == 0 {
				return nil, r.refused(t.refusal).WithRetryAfter(t.retryAfter)
			}
		case got := <-r.results:
			r.running--
			if done, failed := r.judge(got); done {
				return got, failed
			}
		case <-hedge.C:
			r.service.hedge(r.id)
		case <-rescue.C:
			r.rescue()
		case <-ctx.Done():
			return nil, r.gaveUp(ctx)
		}
	}
}

func newIdleTimer() *time.Timer {
	timer := time.NewTimer(time.Hour)
	timer.Stop()
	return timer
}

func (r *run) refused(reason string) *fault.Error {
	r.service.metrics.refusals.Inc()
	if reason == choose.ReasonDeadline {
		return r.withEarlier(fault.New(fault.NotRun, http.StatusGatewayTimeout, reason))
	}
	return r.withEarlier(fault.New(fault.NotRun, http.StatusServiceUnavailable, reason))
}

// withEarlier corrects a verdict for attempts that are still out or of which one
// may have run.
func (r *run) withEarlier(failed *fault.Error) *fault.Error {
	if r.running > 0 || r.mayHaveRun {
		return failed.WithVerdict(fault.MayHaveRun)
	}
	return failed
}

func (r *run) gaveUp(ctx context.Context) *fault.Error {
	reason := choose.ReasonDeadline
	status := http.StatusGatewayTimeout
	if errors.Is(ctx.Err(), context.Canceled) {
		reason = "CallerGone"
		status = http.StatusBadGateway
	}
	return r.withEarlier(fault.Wrap(ctx.Err(), fault.NotRun, status, reason))
}

// start sends an attempt from a goroutine of its own.
func (r *run) start(ctx context.Context, grant choose.Grant, hedge, rescue *time.Timer) {
	ctx, cancel := context.WithCancel(ctx)
	r.attempts[grant.Attempt] = &attempt{grant: grant, cancel: cancel}
	r.running++
	if grant.Attempt == 1 {
		r.firstSent = time.Now()
	}
	r.note("AttemptSent", grant.Target, grant.Cause)
	if strings.HasPrefix(grant.Cause, choose.CauseHedge) {
		r.service.metrics.hedges.Inc()
	}
	if grant.Attempt > 1 {
		r.service.daemon.requestLog.Info("another attempt is sent", r.grantFields(grant)...)
	}
	if grant.HedgeAfter > 0 {
		hedge.Reset(grant.HedgeAfter)
	}
	if !r.rescued {
		rescue.Reset(r.rescueAfter(grant))
	}
	client, address, sparesNew := r.service.transport(grant.Target)
	outgoing := r.outgoing(grant, address)
	outgoing.NewConnection = grant.Attempt > 1 || (sparesNew && !r.request.IsIdempotent())
	go func() { r.results <- send(ctx, client, grant, outgoing) }()
}

func (r *run) note(kind, name, cause string) {
	r.service.daemon.events.Add(event.Event{Kind: kind, Service: r.service.name, Target: name, Request: r.request.ID, Cause: cause})
}

func (r *run) rescueAfter(grant choose.Grant) time.Duration {
	late := max(rescueLeast, grant.SilentAfter)
	return min(late, time.Until(r.request.Deadline)/2)
}

func (r *run) outgoing(grant choose.Grant, address string) *target.Request {
	head := r.request.Header.Clone()
	if grant.Attempt > 1 {
		head.Set(header.Retry, "true")
	}
	return &target.Request{
		Address:       address,
		Method:        r.request.Method,
		URI:           r.request.URI,
		Header:        head,
		Body:          r.body.reader(),
		ContentLength: r.request.ContentLength,
		Deadline:      r.request.Deadline,
		Instance:      grant.Target,
	}
}

// send makes one attempt and reads its answer as far as it is kept.
func send(ctx context.Context, client *target.Client, grant choose.Grant, outgoing *target.Request) *result {
	sent := time.Now()
	got := &result{attempt: grant.Attempt, target: grant.Target}
	answer, err := client.Do(ctx, outgoing)
	if err != nil {
		got.err = route.AsFault(err)
		got.latency = time.Since(sent)
		return got
	}
	got.answer = answer
	got.prefix, err = io.ReadAll(io.LimitReader(answer.Body, answerKeptBytes+1))
	got.latency = time.Since(sent)
	if err != nil {
		_ = answer.Body.Close()
		got.err = fault.Wrap(err, fault.Ran, http.StatusBadGateway, "AnswerCut")
		return got
	}
	got.whole = len(got.prefix) <= answerKeptBytes
	if got.whole {
		_ = answer.Body.Close()
	}
	return got
}

// judge tells the pool of a result, and reports whether the request is done.
func (r *run) judge(got *result) (done bool, failed *fault.Error) {
	outcome := outcomeOf(got)
	if got.err == nil && !got.whole {
		// The slot stays taken until the rest of the answer is copied.
		r.running++
		return true, nil
	}
	r.service.finish(r.id, got.attempt, outcome)
	if verdictOf(got) != fault.NotRun {
		r.mayHaveRun = true
	}
	if outcome.Kind == choose.Answered {
		return true, nil
	}
	r.note("AttemptFailed", got.target, describe(got))
	r.logAttemptFailed(got)
	if r.canRetry(got) && r.service.retry(r.id, false) {
		r.service.metrics.retries.Inc()
		return false, nil
	}
	if r.running > 0 {
		return false, nil
	}
	return true, r.finalFault(got)
}

func outcomeOf(got *result) choose.Outcome {
	outcome := choose.Outcome{Kind: choose.Answered, Latency: got.latency}
	if got.answer != nil {
		outcome.Report = got.answer.Report
	}
	switch {
	case got.err != nil:
		outcome.Kind = choose.Errored
	case got.answer.Verdict == fault.NotRun:
		outcome.Kind = choose.Declined
	case got.answer.Status >= http.StatusInternalServerError:
		outcome.Kind = choose.Errored
	}
	return outcome
}

func describe(got *result) string {
	if got.err != nil {
		return got.err.Error()
	}
	return http.StatusText(got.answer.Status) + " (" + got.answer.Verdict.String() + ")"
}

// canRetry reports whether another attempt is safe and its body is at hand.
func (r *run) canRetry(got *result) bool {
	if !r.body.isReplayable() {
		return false
	}
	return r.request.IsIdempotent() || verdictOf(got) == fault.NotRun
}

func verdictOf(got *result) fault.Verdict {
	if got.err != nil {
		return got.err.Verdict
	}
	return got.answer.Verdict
}

// finalFault is the error of a request whose last attempt failed; nil passes the target's own answer on.
func (r *run) finalFault(got *result) *fault.Error {
	if got.err != nil {
		return got.err
	}
	if r.request.Terms != nil && got.answer.Verdict == fault.NotRun {
		// The target declined this attempt; another may be taken at once.
		return r.withEarlier(fault.New(fault.NotRun, http.StatusServiceUnavailable, "TargetDeclined"))
	}
	return nil
}

// rescue acts on an answer so late that something may have lost track of the
// connection: idle connections are dropped, the slot is given to others, and a
// read is tried on a new connection. Other requests can only go on waiting.
func (r *run) rescue() {
	r.rescued = true
	r.service.doubt(r.id, r.firstSent)
	if !r.request.IsIdempotent() || !r.body.isReplayable() {
		return
	}
	if r.service.retry(r.id, true) {
		r.service.metrics.rescues.Inc()
		r.note("RequestRescued", "", "no answer; trying a new connection")
	}
}

// write sends the winning answer to the caller.
func (r *run) write(w http.ResponseWriter, won *result) error {
	a := won.answer
	h := w.Header()
	for name, values := range route.EndToEnd(a.Header) {
		h[name] = values
	}
	if r.request.Terms == nil {
		h.Set(header.Verdict, a.Verdict.String())
		h.Set(header.Target, won.target)
		h.Set(header.RequestID, r.request.ID)
	}
	w.WriteHeader(a.Status)
	if _, err := w.Write(won.prefix); err != nil {
		return r.cut(won, err)
	}
	if !won.whole {
		if _, err := io.CopyBuffer(w, a.Body, make([]byte, 32<<10)); err != nil {
			return r.cut(won, err)
		}
		_ = a.Body.Close()
		r.running--
		r.service.finish(r.id, won.attempt, outcomeOf(won))
	}
	if r.running > 0 {
		// The caller need not wait until the attempts that lost are cancelled.
		_ = http.NewResponseController(w).Flush()
	}
	r.note("RequestDone", won.target, http.StatusText(a.Status))
	r.logDone(won)
	r.countAnswer(won)
	return nil
}

func (r *run) countAnswer(won *result) {
	total := time.Since(r.started)
	m := &r.service.metrics
	m.waited.Update(r.attempts[won.attempt].grant.Waited.Seconds())
	m.target.Update(won.latency.Seconds())
	m.total.Update(total.Seconds())
	r.service.daemon.counters.added.Update((total - won.latency).Seconds())
}

func (r *run) cut(won *result, err error) error {
	r.note("AnswerCut", won.target, err.Error())
	if !won.whole {
		r.running--
		r.discard(won)
	}
	return route.ErrCut
}

// replayBody is a request body that small requests can send again.
type replayBody struct {
	kept   []byte
	stream *countingReader
	bodied bool
}

// countingReader notes whether anything was read.
type countingReader struct {
	io.Reader

	touched bool
}

// Read marks the reader as touched.
func (c *countingReader) Read(p []byte) (int, error) {
	c.touched = true
	return c.Reader.Read(p)
}

func newReplayBody(request *route.Request) (*replayBody, error) {
	if request.IsIdempotent() && request.ContentLength == 0 {
		return &replayBody{}, nil
	}
	if request.ContentLength > bodyKeptBytes || request.ContentLength < 0 {
		return &replayBody{stream: &countingReader{Reader: request.Body}, bodied: true}, nil
	}
	kept := make([]byte, request.ContentLength)
	if _, err := io.ReadFull(request.Body, kept); err != nil {
		return nil, err
	}
	return &replayBody{kept: kept, bodied: true}, nil
}

func (b *replayBody) reader() io.Reader {
	switch {
	case !b.bodied:
		return nil
	case b.stream != nil:
		return b.stream
	default:
		return bytes.NewReader(b.kept)
	}
}

func (b *replayBody) isReplayable() bool {
	return b.stream == nil || !b.stream.touched
}
