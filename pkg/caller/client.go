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
	maxSubmissions   = 6
	minRetryDelay    = 20 * time.Millisecond
	maxRetryDelay    = 500 * time.Millisecond
	idleConns        = 512
	idleTimeout      = 5 * time.Second
	maxResponseBytes = 64 << 20
	// hedgeDelayDivisor, lateLeast and lateMost say when an answer is late enough for a second submission.
	hedgeDelayDivisor = 6
	minHedgeDelay     = 250 * time.Millisecond
	maxHedgeDelay     = time.Second
	// hedgeShare and doubleBurst bound the second submissions of reads.
	hedgeShare = 0.1
	hedgeBurst = 100
	// suspectTime is how long a host that failed is avoided.
	suspectTime = 2 * time.Second
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
	// newConnHTTP uses a new connection for every request.
	newConnHTTP *http.Client

	mu          sync.Mutex
	rng         *rand.Rand
	directories map[string]*cachedDirectory
	hedgeBudget *budget.RetryBudget
	// suspects are the caller addresses of hosts that failed lately, and until when they are avoided.
	suspects map[string]time.Time
}

// cachedDirectory is a directory answer and until when it may be used.
type cachedDirectory struct {
	directory  Directory
	expires    time.Time
	refreshing bool
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
		settings:    settings,
		http:        &http.Client{Transport: transport},
		newConnHTTP: &http.Client{Transport: &http.Transport{DialContext: settings.Dial, DisableKeepAlives: true, DisableCompression: true}},
		hedgeBudget: budget.NewRetryBudget(hedgeShare, hedgeBurst),
		rng:         rand.New(rand.NewPCG(settings.Seed, 1)),
		directories: make(map[string]*cachedDirectory),
		suspects:    make(map[string]time.Time),
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
	s := &call{client: c, request: request, key: request.Key, verdict: fault.NotRun}
	return s.do(ctx)
}

func (c *Client) earnHedge() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hedgeBudget.Earn()
}

// mayHedge reports whether a late request may be sent a second time: keyed ones
// always, since their home joins the submissions, and reads within a budget.
func (c *Client) mayHedge(isRead bool) bool {
	if !isRead {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hedgeBudget.Spend()
}

// chooseHost returns an entry host by the shares of the directory, leaving out those that failed.
func (c *Client) chooseHost(ctx context.Context, service string, failed map[string]bool) (*EntryHost, error) {
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

// avoidedHost returns the name of a suspect that the directory prefers to the host in use, or nothing.
func (c *Client) avoidedHost(service string, used *EntryHost) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.directories[service]
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

// markSuspect makes every request avoid a host for a while.
func (c *Client) markSuspect(host *EntryHost) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.suspects[host.Address] = time.Now().Add(suspectTime)
}

// Directory returns the answer for a service, from memory while it may be used.
func (c *Client) Directory(ctx context.Context, service string) (*Directory, error) {
	c.mu.Lock()
	h := c.directories[service]
	isUsable := h != nil && (time.Now().Before(h.expires) || h.refreshing)
	if isUsable {
		c.mu.Unlock()
		return &h.directory, nil
	}
	if h != nil {
		// One request refreshes the answer while others go on with the old one.
		h.refreshing = true
	}
	c.mu.Unlock()
	return c.refreshDirectory(ctx, service, h)
}

func (c *Client) refreshDirectory(ctx context.Context, service string, old *cachedDirectory) (*Directory, error) {
	directory, err := c.fetchDirectory(ctx, service, old)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		if old != nil {
			old.refreshing = false
			old.expires = time.Now()
		}
		return nil, err
	}
	hold := time.Duration(directory.HoldMillis) * time.Millisecond
	c.directories[service] = &cachedDirectory{directory: *directory, expires: time.Now().Add(hold)}
	return directory, nil
}

// fetchDirectory asks the hosts of the old answer and the settings until one answers.
func (c *Client) fetchDirectory(ctx context.Context, service string, old *cachedDirectory) (*Directory, error) {
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
		directory, err = c.requestDirectory(ctx, address, service)
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

func (c *Client) requestDirectory(ctx context.Context, address, service string) (*Directory, error) {
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
	if err := json.NewDecoder(io.LimitReader(answer.Body, maxResponseBytes)).Decode(&directory); err != nil {
		return nil, eris.Wrap(err, "decoding the directory")
	}
	return &directory, nil
}

// expireDirectory makes the next request ask the directory again.
func (c *Client) expireDirectory(service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if h := c.directories[service]; h != nil && !h.refreshing {
		h.expires = time.Time{}
	}
}
