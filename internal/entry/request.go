package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"gitlab.com/curranttiller/curranttiller/internal/route"
	"gitlab.com/curranttiller/curranttiller/internal/target"
	"gitlab.com/curranttiller/curranttiller/pkg/admit"
	"gitlab.com/curranttiller/curranttiller/pkg/choose"
	"gitlab.com/curranttiller/curranttiller/pkg/event"
	"gitlab.com/curranttiller/curranttiller/pkg/fault"
	"gitlab.com/curranttiller/curranttiller/pkg/header"
)

const (
	// maxBufferedAnswerBytes is how much of an answer's body is read before its attempt
	// wins. Until then the answer of another attempt may be used instead.
	maxBufferedAnswerBytes = 256 << 10
	// minPrefixBytes is the first part of an answer's body that is read. It is read even if
	// no more may be held for the caller.
	minPrefixBytes = 2 << 10
	// copyBytes is the buffer for the rest of an answer, of which smallCopyBytes are used if
	// no more may be held for the caller.
	copyBytes      = 32 << 10
	smallCopyBytes = 4 << 10
	// answerGrace is how long after the deadline an answer that is on its way is still accepted.
	answerGrace = 30 * time.Millisecond
	// minRescueDelay is the shortest wait for an answer before a rescue, unless half of the time to the deadline is shorter.
	minRescueDelay = 250 * time.Millisecond
	// reasonAnswerCut is the reason of an attempt whose answer broke off after its head.
	reasonAnswerCut = "AnswerCut"
)

// activeRequest is the state of one request at this host from its arrival at the
// pool to the end of its answer. Only the goroutine that serves the request uses it.
type activeRequest struct {
	service *service
	request *route.Request
	id      uint64
	started time.Time

	decisions <-chan decision
	results   chan *attemptResult
	// attempts are all attempts that were sent, by their number in the grant.
	attempts map[int]*attempt
	// running counts the attempts that were sent and have not been reported to the pool as finished.
	running int
	body    *requestBody
	// account records what is held for the caller.
	account admit.Account
	// rescued is set once the rescue timer has fired, even if no attempt was sent for it.
	rescued     bool
	firstSentAt time.Time
	// routesReplaced is closed when the key of the request must be checked again. It is nil
	// for a request without an organisation.
	routesReplaced <-chan struct{}
	// mayHaveRun is set once an attempt has ended with a verdict other than NotRun.
	mayHaveRun bool
}

// attempt is a granted attempt with the function that cancels it.
type attempt struct {
	grant  choose.Grant
	cancel context.CancelFunc
}

// attemptResult is the end of an attempt, or the beginning of its answer if that is
// longer than maxBufferedAnswerBytes and is streamed to the caller.
type attemptResult struct {
	attempt int
	target  string
	answer  *target.Answer
	// prefix is the start of the body, or all of it if whole is set.
	prefix []byte
	whole  bool
	err    *fault.Error
	// latency is the time from sending the attempt until prefix was read or the attempt failed.
	latency time.Duration
}

// serveRequest sends the request to targets of the service and writes the answer to
// w. Errors are a *fault.Error if nothing was written, and route.ErrTruncated otherwise.
func (s *service) serveRequest(ctx context.Context, request *route.Request, w http.ResponseWriter) error {
	s.metrics.requests.Inc()
	ctx, cancel := context.WithDeadline(ctx, request.Deadline.Add(answerGrace))
	defer cancel()
	body, err := newRequestBody(ctx, request)
	if err != nil {
		return s.daemon.bodyFault(err)
	}
	// The body may have arrived only after the host began to stop.
	if failed := s.daemon.refuseDuringStop(time.Now(), request); failed != nil {
		return failed
	}
	s.daemon.mu.Lock()
	maxAttempts := s.document.AttemptsAtMost
	s.daemon.mu.Unlock()
	if request.Terms != nil {
		maxAttempts = request.Terms.AttemptsAtMost
	}
	maxAttempts = body.attemptsAtMost(maxAttempts)
	r := &activeRequest{
		service:  s,
		request:  request,
		id:       s.daemon.lastRequestID.Add(1),
		started:  time.Now(),
		results:  make(chan *attemptResult, maxAttempts),
		attempts: make(map[int]*attempt),
		body:     body,
		account:  admit.FromContext(ctx),
	}
	arrival := newArrival(request, r.id, maxAttempts)
	if failed := r.checkKey(); failed != nil {
		return failed
	}
	arrival.Doubt = doubtOf(r.account.Record())
	arrival.IsPaced = body.stream != nil
	r.decisions = s.arrive(arrival, r.account)
	defer r.release()
	if body.stream != nil {
		r.holdsAtPaceOfCaller()
	}
	won, failed := r.loop(ctx)
	if failed != nil {
		return failed
	}
	return r.writeAnswer(w, won)
}

// newArrival returns what the pool needs to know of a request.
func newArrival(request *route.Request, id uint64, maxAttempts int) choose.Request {
	// Entry hosts set header.Retry on every attempt after the first, and targets may copy
	// it to the calls that they make for these. Such a call gets no retries and hedges, so
	// that retries don't multiply along a chain of calls.
	arrival := choose.Request{
		ID:              id,
		Idempotent:      request.IsIdempotent(),
		Deadline:        request.Deadline,
		Patience:        request.Patience,
		NoExtraAttempts: request.Header.Get(header.Retry) == "true",
		AttemptsAtMost:  maxAttempts,
	}
	if request.Terms != nil {
		arrival.Class = request.Terms.Class
		arrival.Priority = request.Terms.Priority
		arrival.Objective = request.Terms.Objective
	}
	if request.Organisation != nil {
		arrival.Organisation = request.Organisation.Name
		arrival.OrganisationPriority = request.Organisation.Priority
	}
	return arrival
}

// release cancels the attempts that are still running, waits for them to end and
// removes the request from the pool.
func (r *activeRequest) release() {
	r.cancelAttempts()
	r.service.release(r.id)
}

// cancelAttempts cancels the attempts that are still running and waits for them to end.
func (r *activeRequest) cancelAttempts() {
	for _, a := range r.attempts {
		a.cancel()
	}
	for r.running > 0 {
		result := <-r.results
		r.running--
		if verdictOf(result) != fault.NotRun {
			r.mayHaveRun = true
		}
		r.discardResult(result)
	}
}

func (r *activeRequest) discardResult(result *attemptResult) {
	outcome := choose.Outcome{Kind: choose.Cancelled, Latency: result.latency}
	if result.answer != nil {
		_ = result.answer.Body.Close()
		outcome.Report = result.answer.Report
		outcome.Limit = &result.answer.Limit
	}
	r.service.finish(r.id, result.attempt, outcome)
}

// loop handles grants, results and timers until an attempt has won or no further attempt is possible.
func (r *activeRequest) loop(ctx context.Context) (*attemptResult, *fault.Error) {
	hedge := newStoppedTimer()
	defer hedge.Stop()
	rescue := newStoppedTimer()
	defer rescue.Stop()
	arrived := r.body.arrived()
	for {
		select {
		case <-arrived:
			arrived = nil
			r.bodyArrived(rescue)
		case d := <-r.decisions:
			if failed := r.handleDecision(ctx, d, hedge, rescue); failed != nil {
				return nil, failed
			}
		case <-r.routesReplaced:
			// An attempt that is running may end. No further one is started without a key.
			if failed := r.checkKey(); failed != nil && r.running == 0 {
				return nil, failed
			}
		case result := <-r.results:
			r.running--
			if done, failed := r.handleResult(result); done {
				return result, failed
			}
		case <-hedge.C:
			r.service.hedge(r.id)
		case <-rescue.C:
			r.rescue()
		case <-r.service.daemon.requestsEnded:
			// An attempt without a connection has not run, which only its end shows.
			r.cancelAttempts()
			return nil, r.withEarlierAttempts(stoppingFault())
		case <-ctx.Done():
			return nil, r.contextFault(ctx)
		}
	}
}

// handleDecision starts an attempt that the pool granted, unless its key was taken away. The
// result is nil unless the request has failed: without another attempt that is running,
// after a refusal or for its key.
func (r *activeRequest) handleDecision(ctx context.Context, d decision, hedge, rescue *time.Timer) *fault.Error {
	var failed *fault.Error
	if d.refusal != "" {
		if r.running == 0 {
			failed = r.refusalFault(d.refusal).WithRetryAfter(d.retryAfter)
		}
		return failed
	}
	if failed = r.checkKey(); failed == nil {
		r.startAttempt(ctx, d.grant, hedge, rescue)
		return nil
	}
	r.service.returnGrant(r.id, d.grant)
	if r.running > 0 {
		return nil
	}
	return failed
}

func newStoppedTimer() *time.Timer {
	timer := time.NewTimer(time.Hour)
	timer.Stop()
	return timer
}

// refusalFault returns the error of a request that the pool refused, and counts the refusal.
func (r *activeRequest) refusalFault(reason string) *fault.Error {
	r.service.metrics.refusals.Inc()
	if reason == choose.ReasonDeadline {
		return r.withEarlierAttempts(fault.New(fault.NotRun, http.StatusGatewayTimeout, reason))
	}
	return r.withEarlierAttempts(fault.New(fault.NotRun, http.StatusServiceUnavailable, reason))
}

// withEarlierAttempts sets the verdict MayHaveRun if an attempt is still running or may have run.
func (r *activeRequest) withEarlierAttempts(failed *fault.Error) *fault.Error {
	if r.running > 0 || r.mayHaveRun {
		return failed.WithVerdict(fault.MayHaveRun)
	}
	return failed
}

// contextFault returns the error of a request whose deadline passed or whose caller disconnected.
func (r *activeRequest) contextFault(ctx context.Context) *fault.Error {
	reason := choose.ReasonDeadline
	status := http.StatusGatewayTimeout
	if errors.Is(ctx.Err(), context.Canceled) {
		reason = "CallerGone"
		status = http.StatusBadGateway
	}
	return r.withEarlierAttempts(fault.Wrap(ctx.Err(), fault.NotRun, status, reason))
}

// startAttempt sends the granted attempt from a new goroutine and sets the timers for its hedge and rescue.
func (r *activeRequest) startAttempt(ctx context.Context, grant choose.Grant, hedge, rescue *time.Timer) {
	ctx, cancel := context.WithCancel(ctx)
	r.attempts[grant.Attempt] = &attempt{grant: grant, cancel: cancel}
	r.running++
	r.service.attemptsRunning.Add(1)
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
	if !r.rescued && r.body.stream == nil {
		rescue.Reset(r.rescueDelay(grant))
	}
	client, address, useNew := r.service.transport(grant.Target)
	outgoing := r.targetRequest(grant, address)
	outgoing.NewConnection = grant.Attempt > 1 || (useNew && !r.request.IsIdempotent())
	go func() { r.results <- r.service.sendAttempt(ctx, client, grant, outgoing) }()
}

func (r *activeRequest) addEvent(kind, targetName, cause string) {
	r.service.daemon.events.Add(event.Event{Kind: kind, Service: r.service.name, Target: targetName, Request: r.request.ID, Cause: cause})
}

// bodyArrived is called when a body that is not in memory has arrived, from when on its target
// sets the pace.
func (r *activeRequest) bodyArrived(rescue *time.Timer) {
	r.service.bodyArrived(r.id)
	if first, found := r.attempts[1]; found && !r.rescued {
		r.firstSentAt = time.Now()
		rescue.Reset(r.rescueDelay(first.grant))
	}
}

// rescueDelay returns how long after an attempt the rescue timer fires.
func (r *activeRequest) rescueDelay(grant choose.Grant) time.Duration {
	delay := max(minRescueDelay, grant.SuspectAfter)
	return min(delay, time.Until(r.request.Deadline)/2)
}

func (r *activeRequest) targetRequest(grant choose.Grant, address string) *target.Request {
	head := r.request.Header.Clone()
	if grant.Attempt > 1 {
		head.Set(header.Retry, "true")
	}
	outgoing := &target.Request{
		Address:       address,
		Method:        r.request.Method,
		URI:           r.request.URI,
		Header:        head,
		Body:          r.body.take(),
		ContentLength: r.request.ContentLength,
		Deadline:      r.service.daemon.attemptDeadline(r.request),
		Instance:      grant.Target,
		RunsOnce:      !r.request.IsIdempotent(),
	}
	if r.request.Organisation != nil {
		outgoing.MayRepeat = func() bool { return r.service.daemon.hasKey(r.request) }
	}
	return outgoing
}

// sendAttempt sends one attempt and reads up to maxBufferedAnswerBytes of its answer.
func (s *service) sendAttempt(ctx context.Context, client *target.Client, grant choose.Grant, outgoing *target.Request) *attemptResult {
	sentAt := time.Now()
	result := &attemptResult{attempt: grant.Attempt, target: grant.Target}
	outgoing.OnStated = func(info target.ResponseInfo) {
		s.recordHoldOff(grant.Target, grant.TargetStartedAt, info.HoldOff, statedInAnswer)
	}
	answer, err := client.Do(ctx, outgoing)
	if err != nil {
		result.err = route.AsFault(err)
		if result.err.Reason == target.ReasonNoStatus {
			s.metrics.noStatus.Inc()
		}
		result.latency = time.Since(sentAt)
		return result
	}
	result.answer = answer
	s.recordDeparture(grant.Target, grant.TargetStartedAt, sentAt, answer.Departure, statedInAnswer)
	result.prefix, result.whole, err = readPrefix(ctx, answer.Body)
	result.latency = time.Since(sentAt)
	if err != nil {
		_ = answer.Body.Close()
		result.err = fault.Wrap(err, fault.Ran, http.StatusBadGateway, reasonAnswerCut)
		return result
	}
	if result.whole {
		_ = answer.Body.Close()
	}
	return result
}

// readPrefix reads the start of an answer, up to maxBufferedAnswerBytes or what may be held
// for the caller. whole says that the answer has ended.
func readPrefix(ctx context.Context, body io.Reader) (prefix []byte, whole bool, err error) {
	account := admit.FromContext(ctx)
	for len(prefix) <= maxBufferedAnswerBytes {
		if len(prefix) == cap(prefix) {
			grown := min(max(2*cap(prefix), minPrefixBytes), maxBufferedAnswerBytes+1)
			if !account.Hold(grown-cap(prefix)) && len(prefix) > 0 {
				return prefix, false, nil
			}
			prefix = append(make([]byte, 0, grown), prefix...)
		}
		n, err := body.Read(prefix[len(prefix):cap(prefix)])
		prefix = prefix[:len(prefix)+n]
		if errors.Is(err, io.EOF) {
			return prefix, len(prefix) <= maxBufferedAnswerBytes, nil
		}
		if err != nil {
			return prefix, false, err
		}
	}
	return prefix, false, nil
}

// handleResult reports the end of an attempt to the pool and requests a retry if one is
// safe. done means that the caller is answered now, with failed or, if that is nil, with
// the answer in result. Otherwise another attempt is running or has been requested.
func (r *activeRequest) handleResult(result *attemptResult) (done bool, failed *fault.Error) {
	result.latency = r.body.sinceArrival(result.latency)
	outcome := outcomeOf(result)
	if result.err != nil && r.body.hasFailed() {
		// The target is not at fault.
		outcome.Kind = choose.Cancelled
	}
	if result.err == nil && !result.whole {
		// The slot stays occupied until the rest of the answer is copied.
		r.running++
		return true, nil
	}
	if result.answer != nil {
		r.service.recordStatement(result.target, result.answer.Limit, statedInAnswer)
	}
	r.service.finish(r.id, result.attempt, outcome)
	if verdictOf(result) != fault.NotRun {
		r.mayHaveRun = true
	}
	if outcome.Kind == choose.Answered {
		return true, nil
	}
	r.addEvent("AttemptFailed", result.target, failureText(result))
	r.logAttemptFailed(result)
	if r.canRetry(result) && r.service.retry(r.id, false) {
		r.service.metrics.retries.Inc()
		return false, nil
	}
	if r.running > 0 {
		return false, nil
	}
	return true, r.finalFault(result)
}

func outcomeOf(result *attemptResult) choose.Outcome {
	outcome := choose.Outcome{Kind: choose.Answered, Latency: result.latency}
	if result.answer != nil {
		outcome.Report = result.answer.Report
		outcome.Limit = &result.answer.Limit
	}
	switch {
	case result.err != nil:
		outcome.Kind = choose.Errored
	case result.answer.Verdict == fault.NotRun:
		outcome.Kind = choose.Declined
	case result.answer.Status >= http.StatusInternalServerError:
		outcome.Kind = choose.Errored
	default:
		outcome.Rejected = result.answer.Status >= http.StatusBadRequest
	}
	return outcome
}

func failureText(result *attemptResult) string {
	if result.err != nil {
		return result.err.Error()
	}
	return http.StatusText(result.answer.Status) + " (" + result.answer.Verdict.String() + ")"
}

// canRetry reports whether another attempt is safe. Whether the body allows one is part of
// the number of attempts that the pool knows.
func (r *activeRequest) canRetry(result *attemptResult) bool {
	return r.request.IsIdempotent() || verdictOf(result) == fault.NotRun
}

// verdictOf returns whether the work of an attempt may have run.
func verdictOf(result *attemptResult) fault.Verdict {
	if result.err != nil {
		return result.err.Verdict
	}
	return result.answer.Verdict
}

// finalFault returns the error of a request whose last attempt failed, or nil if the
// target's own answer is to be sent to the caller.
func (r *activeRequest) finalFault(result *attemptResult) *fault.Error {
	if verdictOf(result) == fault.NotRun {
		// Without a key, the caller need not try again.
		if failed := r.checkKey(); failed != nil {
			return failed
		}
	}
	if result.err != nil {
		return result.err
	}
	if r.request.Terms != nil && result.answer.Verdict == fault.NotRun {
		// The target declined this attempt. The caller may retry at once, since another target may accept the request.
		// Only if all targets hold off this host, a time is known.
		return r.withEarlierAttempts(fault.New(fault.NotRun, http.StatusServiceUnavailable, "TargetDeclined")).WithRetryAfter(r.service.holdOffWait())
	}
	return nil
}

// rescue handles an answer that is so late that the connection may be dead, for
// example because a device on the path has lost its state. It closes the idle
// connections that may be dead too and frees the slots of the request. If the request
// is idempotent, it requests another attempt on a new connection. Otherwise the request
// can only go on waiting.
func (r *activeRequest) rescue() {
	r.rescued = true
	r.service.suspect(r.id, r.firstSentAt, r.firstTarget())
	if !r.request.IsIdempotent() {
		return
	}
	if r.service.retry(r.id, true) {
		r.service.metrics.rescues.Inc()
		r.addEvent("RequestRescued", "", "no answer; trying a new connection")
	}
}

// firstTarget returns the target of the first attempt; empty if none was sent.
func (r *activeRequest) firstTarget() string {
	if first, found := r.attempts[1]; found {
		return first.grant.Target
	}
	return ""
}

// writeAnswer sends the winning answer to the caller. The error is nil or route.ErrTruncated.
func (r *activeRequest) writeAnswer(w http.ResponseWriter, won *attemptResult) error {
	answer := won.answer
	h := w.Header()
	for name, values := range route.EndToEnd(answer.Header) {
		h[name] = values
	}
	if r.request.Terms == nil {
		h.Set(header.Verdict, answer.Verdict.String())
		h.Set(header.Target, won.target)
		h.Set(header.RequestID, r.request.ID)
	}
	w.WriteHeader(answer.Status)
	if !won.whole {
		r.holdsAtPaceOfCaller()
	}
	if _, err := w.Write(won.prefix); err != nil {
		return r.abortAnswer(won, err)
	}
	if !won.whole {
		buffer := make([]byte, smallCopyBytes)
		if r.account.Hold(copyBytes) {
			buffer = make([]byte, copyBytes)
		}
		rest := &answerRest{body: answer.Body}
		if _, err := io.CopyBuffer(w, rest, buffer); err != nil {
			if rest.isBroken() && !r.body.hasFailed() {
				won.err = fault.Wrap(err, fault.Ran, http.StatusBadGateway, reasonAnswerCut)
			}
			return r.abortAnswer(won, err)
		}
		_ = answer.Body.Close()
		r.running--
		r.service.finish(r.id, won.attempt, outcomeOf(won))
	}
	if r.running > 0 {
		// The caller should not have to wait until the other attempts are cancelled.
		_ = http.NewResponseController(w).Flush()
	}
	r.addEvent("RequestDone", won.target, http.StatusText(answer.Status))
	r.logAnswered(won)
	r.recordLatencies(won)
	return nil
}

// recordLatencies updates the latency metrics of an answered request.
func (r *activeRequest) recordLatencies(won *attemptResult) {
	total := time.Since(r.started)
	m := &r.service.metrics
	m.waited.Update(r.attempts[won.attempt].grant.Waited.Seconds())
	m.target.Update(won.latency.Seconds())
	m.total.Update(total.Seconds())
	r.service.daemon.counters.addedLatency.Update((total - won.latency).Seconds())
}

// abortAnswer handles an answer that broke off after its head and returns route.ErrTruncated.
// The target is at fault if won has an error.
func (r *activeRequest) abortAnswer(won *attemptResult, err error) error {
	r.addEvent(reasonAnswerCut, won.target, err.Error())
	if won.whole {
		return route.ErrTruncated
	}
	r.running--
	if won.err == nil {
		r.discardResult(won)
		return route.ErrTruncated
	}
	_ = won.answer.Body.Close()
	r.service.finish(r.id, won.attempt, outcomeOf(won))
	r.logAttemptFailed(won)
	return route.ErrTruncated
}

// answerRest is the part of an answer that is copied to the caller as it arrives.
type answerRest struct {
	body io.Reader
	// err is the error of the last read.
	err error
}

// Read implements io.Reader.
func (a *answerRest) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	a.err = err
	return n, err
}

// isBroken reports whether the answer broke off at the target, rather than because the caller
// left or its deadline passed.
func (a *answerRest) isBroken() bool {
	isOver := errors.Is(a.err, io.EOF) || errors.Is(a.err, context.Canceled) || errors.Is(a.err, context.DeadlineExceeded)
	return a.err != nil && !isOver
}
