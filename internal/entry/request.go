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
	// maxReplayBodyBytes is the largest request body that is kept for another attempt.
	maxReplayBodyBytes = 64 << 10
	// maxBufferedAnswerBytes is how much of an answer is read before it counts as won.
	maxBufferedAnswerBytes = 256 << 10
	// answerGrace is how much longer than the deadline an answer that is on its way is waited for.
	answerGrace = 30 * time.Millisecond
	// minRescueDelay is the shortest wait for a first byte before a connection counts as silent.
	minRescueDelay = 250 * time.Millisecond
)

// activeRequest is one request at this host, from its arrival at the pool to its answer.
type activeRequest struct {
	service *service
	request *route.Request
	id      uint64
	started time.Time

	decisions <-chan decision
	results   chan *attemptResult
	attempts  map[int]*attempt
	running   int
	body      *replayBody
	rescued   bool
	// firstSentAt is when the first attempt was sent.
	firstSentAt time.Time
	// mayHaveRun says that an attempt has ended of which that is possible.
	mayHaveRun bool
}

// attempt is one try at a target.
type attempt struct {
	grant  choose.Grant
	cancel context.CancelFunc
}

// attemptResult is the end of an attempt, or the point where its answer is worth streaming.
type attemptResult struct {
	attempt int
	target  string
	answer  *target.Answer
	// prefix is the start of the body, and all of it if whole.
	prefix  []byte
	whole   bool
	err     *fault.Error
	latency time.Duration
}

// serveRequest serves a request at a target of the service and writes the answer.
func (s *service) serveRequest(ctx context.Context, request *route.Request, w http.ResponseWriter) error {
	s.metrics.requests.Inc()
	ctx, cancel := context.WithDeadline(ctx, request.Deadline.Add(answerGrace))
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
	r := &activeRequest{
		service:  s,
		request:  request,
		id:       s.daemon.requests.Add(1),
		started:  time.Now(),
		results:  make(chan *attemptResult, attempts),
		attempts: make(map[int]*attempt),
		body:     body,
	}
	arrival := choose.Request{
		ID:              r.id,
		Idempotent:      request.IsIdempotent(),
		Deadline:        request.Deadline,
		Patience:        request.Patience,
		NoExtraAttempts: request.Header.Get(header.Retry) == "true",
		AttemptsAtMost:  attempts,
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
	return r.writeAnswer(w, won)
}

// release cancels the attempts that lost and forgets the request.
func (r *activeRequest) release() {
	for _, a := range r.attempts {
		a.cancel()
	}
	for r.running > 0 {
		lost := <-r.results
		r.running--
		r.discardResult(lost)
	}
	r.service.release(r.id)
}

func (r *activeRequest) discardResult(lost *attemptResult) {
	outcome := choose.Outcome{Kind: choose.Cancelled, Latency: lost.latency}
	if lost.answer != nil {
		_ = lost.answer.Body.Close()
		outcome.Report = lost.answer.Report
	}
	r.service.finish(r.id, lost.attempt, outcome)
}

// loop waits for grants, results and timers until an attempt has won or none can.
func (r *activeRequest) loop(ctx context.Context) (*attemptResult, *fault.Error) {
	hedge := newIdleTimer()
	defer hedge.Stop()
	rescue := newIdleTimer()
	defer rescue.Stop()
	for {
		select {
		case t := <-r.decisions:
			if t.refusal == "" {
				r.startAttempt(ctx, t.grant, hedge, rescue)
			} else if r.running == 0 {
				return nil, r.refusalFault(t.refusal).WithRetryAfter(t.retryAfter)
			}
		case got := <-r.results:
			r.running--
			if done, failed := r.handleResult(got); done {
				return got, failed
			}
		case <-hedge.C:
			r.service.hedge(r.id)
		case <-rescue.C:
			r.rescue()
		case <-ctx.Done():
			return nil, r.contextFault(ctx)
		}
	}
}

func newIdleTimer() *time.Timer {
	timer := time.NewTimer(time.Hour)
	timer.Stop()
	return timer
}

func (r *activeRequest) refusalFault(reason string) *fault.Error {
	r.service.metrics.refusals.Inc()
	if reason == choose.ReasonDeadline {
		return r.withEarlierAttempts(fault.New(fault.NotRun, http.StatusGatewayTimeout, reason))
	}
	return r.withEarlierAttempts(fault.New(fault.NotRun, http.StatusServiceUnavailable, reason))
}

// withEarlierAttempts corrects a verdict for attempts that are still out or of which one
// may have run.
func (r *activeRequest) withEarlierAttempts(failed *fault.Error) *fault.Error {
	if r.running > 0 || r.mayHaveRun {
		return failed.WithVerdict(fault.MayHaveRun)
	}
	return failed
}

func (r *activeRequest) contextFault(ctx context.Context) *fault.Error {
	reason := choose.ReasonDeadline
	status := http.StatusGatewayTimeout
	if errors.Is(ctx.Err(), context.Canceled) {
		reason = "CallerGone"
		status = http.StatusBadGateway
	}
	return r.withEarlierAttempts(fault.Wrap(ctx.Err(), fault.NotRun, status, reason))
}

// startAttempt sends an attempt from a goroutine of its own.
func (r *activeRequest) startAttempt(ctx context.Context, grant choose.Grant, hedge, rescue *time.Timer) {
	ctx, cancel := context.WithCancel(ctx)
	r.attempts[grant.Attempt] = &attempt{grant: grant, cancel: cancel}
	r.running++
	if grant.Attempt == 1 {
		r.firstSentAt = time.Now()
	}
	r.addEvent("AttemptSent", grant.Target, grant.Cause)
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
		rescue.Reset(r.rescueDelay(grant))
	}
	client, address, sparesNew := r.service.transport(grant.Target)
	outgoing := r.targetRequest(grant, address)
	outgoing.NewConnection = grant.Attempt > 1 || (sparesNew && !r.request.IsIdempotent())
	go func() { r.results <- sendAttempt(ctx, client, grant, outgoing) }()
}

func (r *activeRequest) addEvent(kind, name, cause string) {
	r.service.daemon.events.Add(event.Event{Kind: kind, Service: r.service.name, Target: name, Request: r.request.ID, Cause: cause})
}

func (r *activeRequest) rescueDelay(grant choose.Grant) time.Duration {
	late := max(minRescueDelay, grant.SuspectAfter)
	return min(late, time.Until(r.request.Deadline)/2)
}

func (r *activeRequest) targetRequest(grant choose.Grant, address string) *target.Request {
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

// sendAttempt makes one attempt and reads its answer as far as it is kept.
func sendAttempt(ctx context.Context, client *target.Client, grant choose.Grant, outgoing *target.Request) *attemptResult {
	sent := time.Now()
	got := &attemptResult{attempt: grant.Attempt, target: grant.Target}
	answer, err := client.Do(ctx, outgoing)
	if err != nil {
		got.err = route.AsFault(err)
		got.latency = time.Since(sent)
		return got
	}
	got.answer = answer
	got.prefix, err = io.ReadAll(io.LimitReader(answer.Body, maxBufferedAnswerBytes+1))
	got.latency = time.Since(sent)
	if err != nil {
		_ = answer.Body.Close()
		got.err = fault.Wrap(err, fault.Ran, http.StatusBadGateway, "AnswerCut")
		return got
	}
	got.whole = len(got.prefix) <= maxBufferedAnswerBytes
	if got.whole {
		_ = answer.Body.Close()
	}
	return got
}

// handleResult tells the pool of a result, and reports whether the request is done.
func (r *activeRequest) handleResult(got *attemptResult) (done bool, failed *fault.Error) {
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
	r.addEvent("AttemptFailed", got.target, failureText(got))
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

func outcomeOf(got *attemptResult) choose.Outcome {
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

func failureText(got *attemptResult) string {
	if got.err != nil {
		return got.err.Error()
	}
	return http.StatusText(got.answer.Status) + " (" + got.answer.Verdict.String() + ")"
}

// canRetry reports whether another attempt is safe and its body is at hand.
func (r *activeRequest) canRetry(got *attemptResult) bool {
	if !r.body.isReplayable() {
		return false
	}
	return r.request.IsIdempotent() || verdictOf(got) == fault.NotRun
}

func verdictOf(got *attemptResult) fault.Verdict {
	if got.err != nil {
		return got.err.Verdict
	}
	return got.answer.Verdict
}

// finalFault is the error of a request whose last attempt failed; nil passes the target's own answer on.
func (r *activeRequest) finalFault(got *attemptResult) *fault.Error {
	if got.err != nil {
		return got.err
	}
	if r.request.Terms != nil && got.answer.Verdict == fault.NotRun {
		// The target declined this attempt; another may be taken at once.
		return r.withEarlierAttempts(fault.New(fault.NotRun, http.StatusServiceUnavailable, "TargetDeclined"))
	}
	return nil
}

// rescue acts on an answer so late that something may have lost track of the
// connection: idle connections are dropped, the slot is given to others, and a
// read is tried on a new connection. Other requests can only go on waiting.
func (r *activeRequest) rescue() {
	r.rescued = true
	r.service.suspect(r.id, r.firstSentAt)
	if !r.request.IsIdempotent() || !r.body.isReplayable() {
		return
	}
	if r.service.retry(r.id, true) {
		r.service.metrics.rescues.Inc()
		r.addEvent("RequestRescued", "", "no answer; trying a new connection")
	}
}

// writeAnswer sends the winning answer to the caller.
func (r *activeRequest) writeAnswer(w http.ResponseWriter, won *attemptResult) error {
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
		return r.abortAnswer(won, err)
	}
	if !won.whole {
		if _, err := io.CopyBuffer(w, a.Body, make([]byte, 32<<10)); err != nil {
			return r.abortAnswer(won, err)
		}
		_ = a.Body.Close()
		r.running--
		r.service.finish(r.id, won.attempt, outcomeOf(won))
	}
	if r.running > 0 {
		// The caller need not wait until the attempts that lost are cancelled.
		_ = http.NewResponseController(w).Flush()
	}
	r.addEvent("RequestDone", won.target, http.StatusText(a.Status))
	r.logAnswered(won)
	r.recordLatencies(won)
	return nil
}

func (r *activeRequest) recordLatencies(won *attemptResult) {
	total := time.Since(r.started)
	m := &r.service.metrics
	m.waited.Update(r.attempts[won.attempt].grant.Waited.Seconds())
	m.target.Update(won.latency.Seconds())
	m.total.Update(total.Seconds())
	r.service.daemon.counters.addedLatency.Update((total - won.latency).Seconds())
}

func (r *activeRequest) abortAnswer(won *attemptResult, err error) error {
	r.addEvent("AnswerCut", won.target, err.Error())
	if !won.whole {
		r.running--
		r.discardResult(won)
	}
	return route.ErrCut
}

// replayBody is a request body that small requests can send again.
type replayBody struct {
	buffered []byte
	stream   *trackingReader
	hasBody  bool
}

// trackingReader notes whether anything was read.
type trackingReader struct {
	io.Reader

	wasRead bool
}

// Read marks the reader as touched.
func (c *trackingReader) Read(p []byte) (int, error) {
	c.wasRead = true
	return c.Reader.Read(p)
}

func newReplayBody(request *route.Request) (*replayBody, error) {
	if request.IsIdempotent() && request.ContentLength == 0 {
		return &replayBody{}, nil
	}
	if request.ContentLength > maxReplayBodyBytes || request.ContentLength < 0 {
		return &replayBody{stream: &trackingReader{Reader: request.Body}, hasBody: true}, nil
	}
	kept := make([]byte, request.ContentLength)
	if _, err := io.ReadFull(request.Body, kept); err != nil {
		return nil, err
	}
	return &replayBody{buffered: kept, hasBody: true}, nil
}

func (b *replayBody) reader() io.Reader {
	switch {
	case !b.hasBody:
		return nil
	case b.stream != nil:
		return b.stream
	default:
		return bytes.NewReader(b.buffered)
	}
}

func (b *replayBody) isReplayable() bool {
	return b.stream == nil || !b.stream.wasRead
}
