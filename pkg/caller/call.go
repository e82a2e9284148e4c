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

// call is one call of Do.
type call struct {
	client  *Client
	request *Request
	key     string
	// verdict is the worst verdict so far: once a submission may have run, only a definite answer changes it.
	verdict fault.Verdict
	failed  map[string]bool
	// lastHost is the host of the latest submission.
	lastHost *EntryHost
	// submissions counts the submissions of the key.
	submissions int
}

func (s *call) do(ctx context.Context) (*Response, error) {
	s.failed = make(map[string]bool)
	s.client.earnHedge()
	if s.key != "" {
		s.verdict = fault.MayHaveRun
	}
	var last error
	delay := minRetryDelay
	for number := 1; number <= maxSubmissions; number++ {
		response, err := s.submitAndHedge(ctx)
		if response != nil {
			response.Attempts = number
		}
		if err == nil && !s.isRetryable(response) {
			return response, nil
		}
		last = err
		if err == nil {
			last = s.responseError(response)
		}
		if ctx.Err() != nil || !s.isSafeToRetry(last) {
			break
		}
		wait(ctx, delay)
		delay = min(2*delay, maxRetryDelay)
	}
	return nil, s.finalError(last)
}

func wait(ctx context.Context, delay time.Duration) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func (s *call) isRead() bool {
	return s.request.Method == http.MethodGet || s.request.Method == http.MethodHead
}

// isRetryable reports whether an answer of an entry host is a failure that
// another submission may mend: one of the hosts, not of the service or of load.
func (s *call) isRetryable(response *Response) bool {
	switch response.Header.Get(header.Reason) {
	case "Isolated", "DocumentsUnknown", "HomeUnreachable", "EntryHostUnreachable", "EntryHostLost":
		return true
	default:
		return false
	}
}

// isSafeToRetry reports whether the request may be submitted again after an error.
func (s *call) isSafeToRetry(err error) bool {
	return s.isRead() || s.key != "" || fault.VerdictOf(err) == fault.NotRun
}

func (s *call) responseError(response *Response) *fault.Error {
	return fault.New(response.Verdict, response.Status, response.Header.Get(header.Reason))
}

func (s *call) finalError(last error) error {
	var failed *fault.Error
	if !errors.As(last, &failed) {
		failed = fault.Wrap(last, fault.MayHaveRun, http.StatusBadGateway, "NoAnswer")
	}
	if s.verdict == fault.MayHaveRun && failed.Verdict == fault.NotRun {
		return failed.WithVerdict(fault.MayHaveRun)
	}
	return failed
}

// submitAndHedge makes one submission at the host that suits it, and a second one
// beside it if the answer is so late that the connection may have gone silent.
func (s *call) submitAndHedge(ctx context.Context) (*Response, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan result, 2)
	if err := s.submit(ctx, s.client.http, results); err != nil {
		return nil, err
	}
	late := time.NewTimer(hedgeDelay(ctx))
	defer late.Stop()
	running := 1
	for {
		select {
		case <-late.C:
			s.client.http.CloseIdleConnections()
			s.failed[s.lastHost.Name] = true
			s.client.markSuspect(s.lastHost)
			s.client.expireDirectory(s.request.Service)
			if s.client.mayHedge(s.isRead()) && s.submit(ctx, s.client.newConnHTTP, results) == nil {
				running++
			}
		case got := <-results:
			running--
			response, err := s.recordResult(got)
			if err == nil || running == 0 {
				return response, err
			}
		}
	}
}

// result is the end of a submission at one host.
type result struct {
	host     *EntryHost
	response *Response
	err      error
}

// submit sends the request to a host that has not failed yet.
func (s *call) submit(ctx context.Context, client *http.Client, results chan<- result) error {
	host, err := s.client.chooseHost(ctx, s.request.Service, s.failed)
	if err != nil {
		return fault.Wrap(err, fault.NotRun, http.StatusServiceUnavailable, "NoEntryHost")
	}
	if s.key == "" && !s.isRead() {
		s.key = host.Token + "." + cryptorand.Text()
		s.submissions = 0
	}
	s.submissions++
	s.lastHost = host
	key := s.key
	go func() {
		response, err := s.sendTo(ctx, client, host, key)
		results <- result{host: host, response: response, err: err}
	}()
	return nil
}

// recordResult keeps what a submission tells about the request and its host.
func (s *call) recordResult(got result) (*Response, error) {
	if got.err == nil && s.isStaleToken(got.response) {
		got.err = fault.New(fault.NotRun, got.response.Status, got.response.Header.Get(header.Reason))
	}
	if got.err != nil {
		s.failed[got.host.Name] = true
		s.client.markSuspect(got.host)
		s.client.expireDirectory(s.request.Service)
		s.recordError(got.err)
		return nil, got.err
	}
	s.recordResponse(got.response)
	return got.response, nil
}

// isStaleToken reports whether a new key was drawn from a home that is gone. The
// host that says so did not run the request, and this was the only submission,
// so that a new key may be drawn. The transport cannot have sent it twice: see outgoing.
func (s *call) isStaleToken(response *Response) bool {
	if s.isRead() || s.submissions != 1 || s.request.Key != "" || response.Verdict != fault.MayHaveRun {
		return false
	}
	switch response.Header.Get(header.Reason) {
	case "HomeGone", "HomeUnreachable", "Foreign", "Forgotten":
		return true
	default:
		return false
	}
}

// hedgeDelay is when an answer counts as late: after a part of the time left.
func hedgeDelay(ctx context.Context) time.Duration {
	deadline, found := ctx.Deadline()
	if !found {
		return minHedgeDelay
	}
	return min(max(time.Until(deadline)/hedgeDelayDivisor, minHedgeDelay), maxHedgeDelay)
}

// recordError keeps the verdict; a key that was never sent is dropped, so that a
// new one with a living home is drawn.
func (s *call) recordError(err error) {
	if fault.VerdictOf(err) != fault.NotRun {
		s.verdict = fault.MayHaveRun
		return
	}
	if s.verdict == fault.NotRun {
		s.key = ""
	}
}

// recordResponse takes the home's word: its NotRun speaks for every submission of the key.
func (s *call) recordResponse(response *Response) {
	s.verdict = response.Verdict
	if response.Verdict == fault.NotRun {
		s.key = ""
	}
}

func (s *call) sendTo(ctx context.Context, client *http.Client, host *EntryHost, key string) (*Response, error) {
	outgoing, err := s.newRequest(ctx, host, key)
	if err != nil {
		return nil, fault.Wrap(err, fault.NotRun, http.StatusBadRequest, "BadRequest")
	}
	answer, err := client.Do(outgoing)
	if err != nil {
		return nil, fault.Wrap(err, verdictOfSend(err), http.StatusBadGateway, "EntryHostLost")
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxResponseBytes))
	if err != nil {
		return nil, fault.Wrap(err, fault.MayHaveRun, http.StatusBadGateway, "AnswerCut")
	}
	return &Response{
		Status:   answer.StatusCode,
		Header:   answer.Header,
		Body:     body,
		Verdict:  fault.ParseVerdict(answer.Header.Get(header.Verdict)),
		Replayed: answer.Header.Get(header.Replayed) == "true",
		Key:      key,
	}, nil
}

// verdictOfSend is NotRun only if no connection was made.
func verdictOfSend(err error) fault.Verdict {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return fault.NotRun
	}
	return fault.MayHaveRun
}

func (s *call) newRequest(ctx context.Context, host *EntryHost, key string) (*http.Request, error) {
	address := "http://" + host.Address + "/svc/" + s.request.Service + s.request.Path
	outgoing, err := http.NewRequestWithContext(ctx, s.request.Method, address, http.NoBody)
	if err != nil {
		return nil, err
	}
	if !s.isRead() || len(s.request.Body) > 0 {
		// A body of this kind keeps net/http from sending the request again by itself.
		outgoing.Body = io.NopCloser(bytes.NewReader(s.request.Body))
		outgoing.ContentLength = int64(len(s.request.Body))
	}
	for name, values := range s.request.Header {
		outgoing.Header[name] = values
	}
	if avoid := s.client.avoidedHost(s.request.Service, host); avoid != "" {
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
