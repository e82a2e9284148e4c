package caller

import (
	"bytes"
	"context"
	cryptorand "crypto/rand"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"gitlab.com/curranttiller/curranttiller/pkg/fault"
	"gitlab.com/curranttiller/curranttiller/pkg/header"
)

// call is one call of Client.Do. It makes one or more attempts. An attempt is one
// submission to an entry host and at most one hedge, which is a second submission in parallel.
type call struct {
	client  *Client
	request *Request
	// key is the idempotency key of the next submission. It is empty if the request needs
	// none or a new one is still to be drawn.
	key string
	// verdict covers all submissions so far. Once one of them may have run, it stays
	// MayHaveRun until a response from an entry host has another verdict.
	verdict fault.Verdict
	// failed are the names of the hosts whose submissions failed or were late.
	failed map[string]bool
	// lastHost is the host of the latest submission.
	lastHost *EntryHost
	// submissions is the number of submissions with the current key.
	submissions int
}

// do makes at most maxAttempts attempts. It stops earlier after a response that is not
// retryable, after an error if another submission is not safe, or when ctx ends.
func (c *call) do(ctx context.Context) (*Response, error) {
	c.failed = make(map[string]bool)
	c.client.earnHedge()
	if c.key != "" {
		c.verdict = fault.MayHaveRun
	}
	var last error
	delay := minRetryDelay
	for number := 1; number <= maxAttempts; number++ {
		response, err := c.submitAndHedge(ctx)
		if response != nil {
			response.Attempts = number
		}
		if err == nil && !c.isRetryable(response) {
			return response, nil
		}
		last = err
		if err == nil {
			last = c.responseError(response)
		}
		if ctx.Err() != nil || !c.isSafeToRetry(last) {
			break
		}
		wait(ctx, delay)
		delay = min(2*delay, maxRetryDelay)
	}
	return nil, c.finalError(last)
}

// wait returns after the delay, or earlier when ctx ends.
func wait(ctx context.Context, delay time.Duration) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// isRead reports whether the method is GET or HEAD, so that the request needs no key.
func (c *call) isRead() bool {
	return c.request.Method == http.MethodGet || c.request.Method == http.MethodHead
}

// isRetryable reports whether a response says that an entry host failed or could not
// process the request, so that an attempt at another one may succeed. It returns false if
// the service failed or is overloaded.
func (c *call) isRetryable(response *Response) bool {
	switch response.Header.Get(header.Reason) {
	case "Isolated", "DocumentsUnknown", "HomeUnreachable", "EntryHostUnreachable", "EntryHostLost":
		return true
	default:
		return false
	}
}

// isSafeToRetry reports whether the request may be submitted again after an error.
func (c *call) isSafeToRetry(err error) bool {
	return c.isRead() || c.key != "" || fault.VerdictOf(err) == fault.NotRun
}

// responseError returns the error for a retryable response.
func (c *call) responseError(response *Response) *fault.Error {
	return fault.New(response.Verdict, response.Status, response.Header.Get(header.Reason))
}

// finalError returns the error for the caller of Do. Its verdict is NotRun only if
// none of the submissions may have run.
func (c *call) finalError(last error) error {
	var failed *fault.Error
	if !errors.As(last, &failed) {
		failed = fault.Wrap(last, fault.MayHaveRun, http.StatusBadGateway, "NoAnswer")
	}
	if c.verdict == fault.MayHaveRun && failed.Verdict == fault.NotRun {
		return failed.WithVerdict(fault.MayHaveRun)
	}
	return failed
}

// submitAndHedge makes one attempt. It submits the request and, if the response is so
// late that the connection may be dead, submits it once more on a new connection, unless
// it is a read and hedgeBudget is spent. This second submission goes to a host that has
// not failed, or to the first host of the directory if all have failed. It returns the
// first response, or the last error.
func (c *call) submitAndHedge(ctx context.Context) (*Response, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan result, 2)
	if err := c.submit(ctx, c.client.http, results); err != nil {
		return nil, err
	}
	hedgeTimer := time.NewTimer(hedgeDelay(ctx))
	defer hedgeTimer.Stop()
	running := 1
	for {
		select {
		case <-hedgeTimer.C:
			// Other idle connections may be dead too.
			c.client.http.CloseIdleConnections()
			c.failed[c.lastHost.Name] = true
			c.client.markSuspect(c.lastHost)
			c.client.expireDirectory(c.request.Service)
			if c.client.mayHedge(c.isRead()) && c.submit(ctx, c.client.newConnHTTP, results) == nil {
				running++
			}
		case got := <-results:
			running--
			response, err := c.recordResult(got)
			if err == nil || running == 0 {
				return response, err
			}
		}
	}
}

// result is the response or the error of one submission.
type result struct {
	host     *EntryHost
	response *Response
	err      error
}

// submit sends the request to an entry host, if possible to one that has not failed in this
// call. It draws a key first if the request needs one. The result arrives on the channel.
func (c *call) submit(ctx context.Context, client *http.Client, results chan<- result) error {
	host, err := c.client.chooseHost(ctx, c.request.Service, c.failed)
	if err != nil {
		return fault.Wrap(err, fault.NotRun, http.StatusServiceUnavailable, "NoEntryHost")
	}
	if c.key == "" && !c.isRead() {
		c.key = host.Token + "." + cryptorand.Text()
		c.submissions = 0
	}
	c.submissions++
	c.lastHost = host
	key := c.key
	go func() {
		response, err := c.sendTo(ctx, client, host, key)
		results <- result{host: host, response: response, err: err}
	}()
	return nil
}

// recordResult updates the state of the call after a submission and, after an error,
// makes the client avoid the host. It returns an error in place of a response that
// refuses a stale token.
func (c *call) recordResult(got result) (*Response, error) {
	if got.err == nil && c.isStaleToken(got.response) {
		got.err = fault.New(fault.NotRun, got.response.Status, got.response.Header.Get(header.Reason))
	}
	if got.err != nil {
		c.failed[got.host.Name] = true
		c.client.markSuspect(got.host)
		c.client.expireDirectory(c.request.Service)
		c.recordError(got.err)
		return nil, got.err
	}
	c.recordResponse(got.response)
	return got.response, nil
}

// isStaleToken reports whether a response refuses the key because its home is gone,
// can't be reached or may have expired its record. The entry host that sent this
// response did not run the request. If this was the only submission with the key, a new
// key is safe, although the response has the verdict MayHaveRun. net/http can't have
// sent the request twice, because newRequest gives it a body without GetBody.
func (c *call) isStaleToken(response *Response) bool {
	if c.isRead() || c.submissions != 1 || c.request.Key != "" || response.Verdict != fault.MayHaveRun {
		return false
	}
	switch response.Header.Get(header.Reason) {
	case "HomeGone", "HomeUnreachable", "Foreign", "Forgotten":
		return true
	default:
		return false
	}
}

// hedgeDelay returns how long to wait for a response before hedging. It is a part of
// the time until the deadline, within fixed bounds.
func hedgeDelay(ctx context.Context) time.Duration {
	deadline, found := ctx.Deadline()
	if !found {
		return minHedgeDelay
	}
	return min(max(time.Until(deadline)/hedgeDelayDivisor, minHedgeDelay), maxHedgeDelay)
}

// recordError updates the verdict after an error. If no submission may have run, it
// drops the key, so that the next submission draws a new one. The home of that key is the
// host of that submission.
func (c *call) recordError(err error) {
	if fault.VerdictOf(err) != fault.NotRun {
		c.verdict = fault.MayHaveRun
		return
	}
	if c.verdict == fault.NotRun {
		c.key = ""
	}
}

// recordResponse updates the verdict from a response. The verdict of a request with a
// key covers every submission of the key. After NotRun none of them can run any more, so
// the next submission may draw a new key.
func (c *call) recordResponse(response *Response) {
	c.verdict = response.Verdict
	if response.Verdict == fault.NotRun {
		c.key = ""
	}
}

// sendTo sends the request to one host and reads the whole response. Errors are of type *fault.Error.
func (c *call) sendTo(ctx context.Context, client *http.Client, host *EntryHost, key string) (*Response, error) {
	outgoing, err := c.newRequest(ctx, host, key)
	if err != nil {
		return nil, fault.Wrap(err, fault.NotRun, http.StatusBadRequest, "BadRequest")
	}
	response, err := client.Do(outgoing)
	if err != nil {
		return nil, fault.Wrap(err, verdictOfSend(err), http.StatusBadGateway, "EntryHostLost")
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, fault.Wrap(err, fault.MayHaveRun, http.StatusBadGateway, "AnswerCut")
	}
	return &Response{
		Status:   response.StatusCode,
		Header:   response.Header,
		Body:     body,
		Verdict:  fault.ParseVerdict(response.Header.Get(header.Verdict)),
		Replayed: response.Header.Get(header.Replayed) == "true",
		Key:      key,
	}, nil
}

// verdictOfSend returns the verdict of a request whose sending failed. It is NotRun
// only if no connection was established.
func verdictOfSend(err error) fault.Verdict {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return fault.NotRun
	}
	return fault.MayHaveRun
}

// newRequest returns the HTTP request for one submission to a host.
func (c *call) newRequest(ctx context.Context, host *EntryHost, key string) (*http.Request, error) {
	address := "http://" + host.Address + "/svc/" + c.request.Service + c.request.Path
	outgoing, err := http.NewRequestWithContext(ctx, c.request.Method, address, http.NoBody)
	if err != nil {
		return nil, err
	}
	if !c.isRead() || len(c.request.Body) > 0 {
		// A request with a body but without GetBody is never sent again by net/http itself.
		outgoing.Body = io.NopCloser(bytes.NewReader(c.request.Body))
		outgoing.ContentLength = int64(len(c.request.Body))
	}
	for name, values := range c.request.Header {
		outgoing.Header[name] = values
	}
	if avoid := c.client.avoidedHost(c.request.Service, host); avoid != "" {
		outgoing.Header.Set(header.Avoid, avoid)
	}
	if key != "" {
		outgoing.Header.Set(header.IdempotencyKey, key)
	}
	if deadline, found := ctx.Deadline(); found {
		left := max(time.Until(deadline).Milliseconds(), 1)
		outgoing.Header.Set(header.DeadlineMillis, strconv.FormatInt(left, 10))
	}
	return outgoing, nil
}
