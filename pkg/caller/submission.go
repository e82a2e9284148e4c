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

// submission is one call of Do.
type submission struct {
	client  *Client
	request *Request
	key     string
	// verdict is the worst verdict so far: once a submission may have run, only a definite answer changes it.
	verdict fault.Verdict
	failed  map[string]bool
	// last is the host of the latest submission.
	last *EntryHost
	// launched counts the submissions of the key.
	launched int
}

func (s *submission) run(ctx context.Context) (*Response, error) {
	s.failed = make(map[string]bool)
	s.client.earn()
	if s.key != "" {
		s.verdict = fault.MayHaveRun
	}
	var last error
	delay := retryDelay
	for number := 1; number <= attemptsAtMost; number++ {
		response, err := s.attempt(ctx)
		if response != nil {
			response.Attempts = number
		}
		if err == nil && !s.isWorthAnother(response) {
			return response, nil
		}
		last = err
		if err == nil {
			last = s.remoteFault(response)
		}
		if ctx.Err() != nil || !s.isSafe(last) {
			break
		}
		wait(ctx, delay)
		delay = min(2*delay, maxRetryDelay)
	}
	return nil, s.finalFault(last)
}

func wait(ctx context.Context, delay time.Duration) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func (s *submission) isRead() bool {
	return s.request.Method == http.MethodGet || s.request.Method == http.MethodHead
}

// isWorthAnother reports whether an answer of an entry host is a failure that
// another submission may mend: one of the hosts, not of the service or of load.
func (s *submission) isWorthAnother(response *Response) bool {
	switch response.Header.Get(header.Reason) {
	case "Isolated", "DocumentsUnknown", "HomeUnreachable", "EntryHostUnreachable", "EntryHostLost":
		return true
	default:
		return false
	}
}

// isSafe reports whether the request may be submitted again after an error.
func (s *submission) isSafe(err error) bool {
	return s.isRead() || s.key != "" || fault.VerdictOf(err) == fault.NotRun
}

func (s *submission) remoteFault(response *Response) *fault.Error {
	return fault.New(response.Verdict, response.Status, response.Header.Get(header.Reason))
}

func (s *submission) finalFault(last error) error {
	var failed *fault.Error
	if !errors.As(last, &failed) {
		failed = fault.Wrap(last, fault.MayHaveRun, http.StatusBadGateway, "NoAnswer")
	}
	if s.verdict == fault.MayHaveRun && failed.Verdict == fault.NotRun {
		return failed.WithVerdict(fault.MayHaveRun)
	}
	return failed
}

// attempt makes one submission at the host that suits it, and a second one
// beside it if the answer is so late that the connection may have gone silent.
func (s *submission) attempt(ctx context.Context) (*Response, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan sent, 2)
	if err := s.launch(ctx, s.client.http, results); err != nil {
		return nil, err
	}
	late := time.NewTimer(lateAfter(ctx))
	defer late.Stop()
	running := 1
	for {
		select {
		case <-late.C:
			s.client.http.CloseIdleConnections()
			s.failed[s.last.Name] = true
			s.client.suspect(s.last)
			s.client.forget(s.request.Service)
			if s.client.mayDouble(s.isRead()) && s.launch(ctx, s.client.fresh, results) == nil {
				running++
			}
		case got := <-results:
			running--
			response, err := s.note(got)
			if err == nil || running == 0 {
				return response, err
			}
		}
	}
}

// sent is the end of a submission at one host.
type sent struct {
	host     *EntryHost
	response *Response
	err      error
}

// launch sends the request to a host that has not failed yet.
func (s *submission) launch(ctx context.Context, client *http.Client, results chan<- sent) error {
	host, err := s.client.choose(ctx, s.request.Service, s.failed)
	if err != nil {
		return fault.Wrap(err, fault.NotRun, http.StatusServiceUnavailable, "NoEntryHost")
	}
	if s.key == "" && !s.isRead() {
		s.key = host.Token + "." + cryptorand.Text()
		s.launched = 0
	}
	s.launched++
	s.last = host
	key := s.key
	go func() {
		response, err := s.send(ctx, client, host, key)
		results <- sent{host: host, response: response, err: err}
	}()
	return nil
}

// note keeps what a submission tells about the request and its host.
func (s *submission) note(got sent) (*Response, error) {
	if got.err == nil && s.isStaleToken(got.response) {
		got.err = fault.New(fault.NotRun, got.response.Status, got.response.Header.Get(header.Reason))
	}
	if got.err != nil {
		s.failed[got.host.Name] = true
		s.client.suspect(got.host)
		s.client.forget(s.request.Service)
		s.noteError(got.err)
		return nil, got.err
	}
	s.noteResponse(got.response)
	return got.response, nil
}

// isStaleToken reports whether a new key was drawn from a home that is gone. The
// host that says so did not run the request, and this was the only submission,
// so that a new key may be drawn. The transport cannot have sent it twice: see outgoing.
func (s *submission) isStaleToken(response *Response) bool {
	if s.isRead() || s.launched != 1 || s.request.Key != "" || response.Verdict != fault.MayHaveRun {
		return false
	}
	switch response.Header.Get(header.Reason) {
	case "HomeGone", "HomeUnreachable", "Foreign", "Forgotten":
		return true
	default:
		return false
	}
}

// lateAfter is when an answer counts as late: after a part of the time left.
func lateAfter(ctx context.Context) time.Duration {
	deadline, found := ctx.Deadline()
	if !found {
		return lateLeast
	}
	return min(max(time.Until(deadline)/lateParts, lateLeast), lateMost)
}

// noteError keeps the verdict; a key that was never sent is dropped, so that a
// new one with a living home is drawn.
func (s *submission) noteError(err error) {
	if fault.VerdictOf(err) != fault.NotRun {
		s.verdict = fault.MayHaveRun
		return
	}
	if s.verdict == fault.NotRun {
		s.key = ""
	}
}

// noteResponse takes the home's word: its NotRun speaks for every submission of the key.
func (s *submission) noteResponse(response *Response) {
	s.verdict = response.Verdict
	if response.Verdict == fault.NotRun {
		s.key = ""
	}
}

func (s *submission) send(ctx context.Context, client *http.Client, host *EntryHost, key string) (*Response, error) {
	outgoing, err := s.outgoing(ctx, host, key)
	if err != nil {
		return nil, fault.Wrap(err, fault.NotRun, http.StatusBadRequest, "BadRequest")
	}
	answer, err := client.Do(outgoing)
	if err != nil {
		return nil, fault.Wrap(err, verdictOfSend(err), http.StatusBadGateway, "EntryHostLost")
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes))
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

func (s *submission) outgoing(ctx context.Context, host *EntryHost, key string) (*http.Request, error) {
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
	if avoid := s.client.avoided(s.request.Service, host); avoid != "" {
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
