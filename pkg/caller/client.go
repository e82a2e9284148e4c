package caller

import (
	"bytes"
	"context"
	cryptorand "crypto/rand"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"gitlab.com/curranttiller/curranttiller/pkg/budget"
	"gitlab.com/curranttiller/curranttiller/pkg/fault"
	"gitlab.com/curranttiller/curranttiller/pkg/header"
)

const (
	directoryTimeout = time.Second
	attemptsAtMost   = 6
	retryDelay       = 20 * time.Millisecond
	maxRetryDelay    = 500 * time.Millisecond
	idleConns        = 512
	idleTimeout      = 5 * time.Second
	maxAnswerBytes   = 64 << 20
	// lateParts, lateLeast and lateMost say when an answer is late enough for a second submission.
	lateParts = 6
	lateLeast = 250 * time.Millisecond
	lateMost  = time.Second
	// doubleShare and doubleBurst bound the second submissions of reads.
	doubleShare = 0.1
	doubleBurst = 100
	// suspectFor is how long a host that failed is avoided.
	suspectFor = 2 * time.Second
)

// Settings configure a client.
type Settings struct {
	// Entries are caller addresses of some entry hosts, to ask for the directory first.
	Entries []string
	// FailureDomain is the caller's own, or empty.
	FailureDomain string
	// Timeout is the deadline of a request whose context has none.
	Timeout time.Duration
	// Seed makes the choice among entry hosts repeatable.
	Seed uint64
	// Dial replaces the dialer, for example in tests; nil means the standard one.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Request is one request to a service.
type Request struct {
	Service string
	Method  string
	// Path is the path and query at the target.
	Path   string
	Header http.Header
	Body   []byte
	// Key is set to submit an earlier request again; empty draws a new one where it is needed.
	Key string
}

// Response is a whole answer.
type Response struct {
	Status  int
	Header  http.Header
	Body    []byte
	Verdict fault.Verdict
	// Replayed says that the answer is that of an earlier submission.
	Replayed bool
	// Key is the idempotency key that was sent, or empty.
	Key string
	// Attempts is the number of submissions that were made.
	Attempts int
}

// Client sends requests through curranttiller; it is safe for concurrent use.
type Client struct {
	settings Settings
	http     *http.Client
	// fresh uses a new connection for every request.
	fresh *http.Client

	mu      sync.Mutex
	rng     *rand.Rand
	answers map[string]*held
	doubles *budget.Ratio
	// suspects are the caller addresses of hosts that failed lately, and until when they are avoided.
	suspects map[string]time.Time
}

// held is a directory answer and until when it may be used.
type held struct {
	directory Directory
	until     time.Time
	fetching  bool
}

// New returns a client; it asks for nothing before the first request.
func New(settings Settings) *Client {
	transport := &http.Transport{
		DialContext:         settings.Dial,
		MaxIdleConnsPerHost: idleConns,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	return &Client{
		settings: settings,
		http:     &http.Client{Transport: transport},
		fresh:    &http.Client{Transport: &http.Transport{DialContext: settings.Dial, DisableKeepAlives: true, DisableCompression: true}},
		doubles:  budget.NewRatio(doubleShare, doubleBurst),
		rng:      rand.New(rand.NewPCG(settings.Seed, 1)),
		answers:  make(map[string]*held),
		suspects: make(map[string]time.Time),
	}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Do sends a request and returns its whole answer. It submits again while that
// is safe and the deadline allows: reads always, and other requests because
// their key keeps them from running twice. The error is a *fault.Error with the
// verdict of the last submission.
func (c *Client) Do(ctx context.Context, request *Request) (*Response, error) {
	if _, found := ctx.Deadline(); !found {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.settings.Timeout)
		defer cancel()
	}
	s := &submission{client: c, request: request, key: request.Key, verdict: fault.NotRun}
	return s.run(ctx)
}

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

func (c *Client) earn() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.doubles.Earn()
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

// mayDouble reports whether a late request may be sent a second time: keyed ones
// always, since their home joins the submissions, and reads within a budget.
func (c *Client) mayDouble(isRead bool) bool {
	if !isRead {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.doubles.Spend()
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
	if key != "" {
		outgoing.Header.Set(header.IdempotencyKey, key)
	}
	if deadline, found := ctx.Deadline(); found {
		left := max(time.Until(deadline).Milliseconds(), 1)
		outgoing.Header.Set(header.DeadlineMillis, strconv.FormatInt(left, 10))
	}
	return outgoing, nil
}

// choose returns an entry host by the shares of the directory, leaving out those that failed.
func (c *Client) choose(ctx context.Context, service string, failed map[string]bool) (*EntryHost, error) {
	directory, err := c.Directory(ctx, service)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	draw := c.rng.Float64()
	for i := range directory.Hosts {
		h := &directory.Hosts[i]
		draw -= h.Share
		if draw < 0 && !failed[h.Name] && !c.isSuspect(h.Address) {
			return h, nil
		}
	}
	for _, mayBeSuspect := range []bool{false, true} {
		for i := range directory.Hosts {
			h := &directory.Hosts[i]
			if !failed[h.Name] && (mayBeSuspect || !c.isSuspect(h.Address)) {
				return h, nil
			}
		}
	}
	clear(failed)
	if len(directory.Hosts) == 0 {
		return nil, eris.Errorf("the directory names no entry host for %s", service)
	}
	return &directory.Hosts[0], nil
}

// isSuspect reports whether a host failed lately; c.mu is held.
func (c *Client) isSuspect(address string) bool {
	return time.Now().Before(c.suspects[address])
}

// suspect makes every request avoid a host for a while.
func (c *Client) suspect(host *EntryHost) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.suspects[host.Address] = time.Now().Add(suspectFor)
}

// Directory returns the answer for a service, from memory while it may be used.
func (c *Client) Directory(ctx context.Context, service string) (*Directory, error) {
	c.mu.Lock()
	h := c.answers[service]
	isUsable := h != nil && (time.Now().Before(h.until) || h.fetching)
	if isUsable {
		c.mu.Unlock()
		return &h.directory, nil
	}
	if h != nil {
		// One request refreshes the answer while others go on with the old one.
		h.fetching = true
	}
	c.mu.Unlock()
	return c.refresh(ctx, service, h)
}

func (c *Client) refresh(ctx context.Context, service string, old *held) (*Directory, error) {
	directory, err := c.fetch(ctx, service, old)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		if old != nil {
			old.fetching = false
			old.until = time.Now()
		}
		return nil, err
	}
	hold := time.Duration(directory.HoldMillis) * time.Millisecond
	c.answers[service] = &held{directory: *directory, until: time.Now().Add(hold)}
	return directory, nil
}

// fetch asks the hosts of the old answer and the settings until one answers.
func (c *Client) fetch(ctx context.Context, service string, old *held) (*Directory, error) {
	var addresses []string
	if old != nil {
		for i := range old.directory.Hosts {
			addresses = append(addresses, old.directory.Hosts[i].Address)
		}
	}
	c.mu.Lock()
	start := c.rng.IntN(max(len(c.settings.Entries), 1))
	c.mu.Unlock()
	for i := range c.settings.Entries {
		addresses = append(addresses, c.settings.Entries[(start+i)%len(c.settings.Entries)])
	}
	c.sortSuspectsLast(addresses)
	err := eris.New("no entry host is configured")
	for _, address := range addresses {
		var directory *Directory
		directory, err = c.ask(ctx, address, service)
		if err == nil {
			return directory, nil
		}
	}
	return nil, err
}

func (c *Client) sortSuspectsLast(addresses []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	slices.SortStableFunc(addresses, func(a, b string) int {
		if c.isSuspect(a) == c.isSuspect(b) {
			return 0
		}
		if c.isSuspect(b) {
			return -1
		}
		return 1
	})
}

func (c *Client) ask(ctx context.Context, address, service string) (*Directory, error) {
	ctx, cancel := context.WithTimeout(ctx, directoryTimeout)
	defer cancel()
	query := url.Values{"service": {service}, "failureDomain": {c.settings.FailureDomain}}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/tiller/directory?"+query.Encode(), http.NoBody)
	if err != nil {
		return nil, eris.Wrap(err, "asking the directory")
	}
	answer, err := c.http.Do(request)
	if err != nil {
		return nil, eris.Wrap(err, "asking the directory")
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		return nil, eris.Errorf("entry host %s answered the directory question with status %d (%s)", address, answer.StatusCode, answer.Header.Get(header.Reason))
	}
	var directory Directory
	if err := json.NewDecoder(io.LimitReader(answer.Body, maxAnswerBytes)).Decode(&directory); err != nil {
		return nil, eris.Wrap(err, "decoding the directory")
	}
	return &directory, nil
}

// forget makes the next request ask the directory again.
func (c *Client) forget(service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if h := c.answers[service]; h != nil && !h.fetching {
		h.until = time.Time{}
	}
}
