package caller

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"slices"
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
	doubles *budget.RetryBudget
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
		doubles:  budget.NewRetryBudget(doubleShare, doubleBurst),
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

func (c *Client) earn() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.doubles.Earn()
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

// avoided returns the name of a suspect that the directory prefers to the host in use, or nothing.
func (c *Client) avoided(service string, used *EntryHost) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.answers[service]
	if h == nil {
		return ""
	}
	for i := range h.directory.Hosts {
		listed := &h.directory.Hosts[i]
		if listed.Name != used.Name && c.isSuspect(listed.Address) {
			return listed.Name
		}
	}
	return ""
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
