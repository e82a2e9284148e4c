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

	"gitlab.com/curranttiller/curranttiller/internal/answer"
	"gitlab.com/curranttiller/curranttiller/pkg/budget"
	"gitlab.com/curranttiller/curranttiller/pkg/fault"
	"gitlab.com/curranttiller/curranttiller/pkg/header"
)

const (
	// directoryTimeout bounds one directory request to one entry host.
	directoryTimeout = time.Second
	// maxAttempts bounds the attempts of one call of Do.
	maxAttempts = 6
	// minRetryDelay is the wait after the first attempt. It doubles after each further
	// attempt, up to maxRetryDelay.
	minRetryDelay = 20 * time.Millisecond
	maxRetryDelay = 500 * time.Millisecond
	// idleConns and idleTimeout limit the idle connections to one entry host.
	idleConns   = 512
	idleTimeout = 5 * time.Second
	// maxResponseBytes is the largest part of a response body that is read. The rest is dropped.
	maxResponseBytes = 64 << 20
	// An attempt is hedged after the time until the deadline divided by hedgeDelayDivisor,
	// but no earlier than minHedgeDelay and no later than maxHedgeDelay.
	hedgeDelayDivisor = 6
	minHedgeDelay     = 250 * time.Millisecond
	maxHedgeDelay     = time.Second
	// hedgeShare bounds the hedges of reads as a share of all requests of a client, with
	// bursts of up to hedgeBurst.
	hedgeShare = 0.1
	hedgeBurst = 100
	// suspectTime is how long a host is avoided after a submission to it failed or was late.
	suspectTime = 2 * time.Second
)

// Settings are the settings of a client. Entries and Timeout are required.
type Settings struct {
	// Entries are the addresses, as host:port, at which some entry hosts accept callers. The
	// client requests the first directory from them.
	Entries []string
	// FailureDomain is that of the caller, or empty. The directory prefers entry hosts in it.
	FailureDomain string
	// Timeout is the deadline of a request whose context has none.
	Timeout time.Duration
	// Seed determines the random choice among entry hosts, so each client should have a
	// different one.
	Seed uint64
	// Dial replaces the dialer of net/http, for example in tests, unless it is nil.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Request is one request to a service.
type Request struct {
	Service string
	Method  string
	// Path is the path and query at the target. It begins with a slash.
	Path   string
	Header http.Header
	Body   []byte
	// Key is the idempotency key of an earlier call, to submit its request again. If it
	// is empty, Do draws a key for any method other than GET and HEAD.
	Key string
}

// Response is a whole response of a target or of an entry host.
type Response struct {
	// Status is the HTTP status.
	Status int
	Header http.Header
	Body   []byte
	// Verdict says whether the request ran at a target.
	Verdict fault.Verdict
	// Replayed says that the response is the stored one of an earlier submission.
	Replayed bool
	// Key is the idempotency key that was sent, or empty.
	Key string
	// Attempts is the number of attempts, hedges not counted.
	Attempts int
}

// Client sends requests to services through the entry hosts. It is safe for concurrent use.
type Client struct {
	settings Settings
	http     *http.Client
	// newConnHTTP uses a new connection for every request.
	newConnHTTP *http.Client

	// mu guards the fields below.
	mu  sync.Mutex
	rng *rand.Rand
	// directories has the cached directory of each service.
	directories map[string]*cachedDirectory
	// hedgeBudget bounds the hedges of reads.
	hedgeBudget *budget.RetryBudget
	// suspects has the time until which a host is avoided, by EntryHost.Address.
	suspects map[string]time.Time
}

// cachedDirectory is a directory with the time when it expires.
type cachedDirectory struct {
	directory Directory
	expires   time.Time
	// refreshing says that a call is requesting a new directory.
	refreshing bool
}

// New returns a client. It sends nothing before the first call of Do or Directory.
func New(settings Settings) *Client {
	transport := answer.NewTransport(&http.Transport{
		DialContext:         settings.Dial,
		MaxIdleConnsPerHost: idleConns,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	})
	newConnTransport := answer.NewTransport(&http.Transport{DialContext: settings.Dial, DisableKeepAlives: true, DisableCompression: true})
	return &Client{
		settings:    settings,
		http:        &http.Client{Transport: transport},
		newConnHTTP: &http.Client{Transport: newConnTransport},
		hedgeBudget: budget.NewRetryBudget(hedgeShare, hedgeBurst),
		rng:         rand.New(rand.NewPCG(settings.Seed, 1)),
		directories: make(map[string]*cachedDirectory),
		suspects:    make(map[string]time.Time),
	}
}

// Close closes the idle connections. The client remains usable.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Do sends a request and returns the whole response, which may be an error response
// of the service or of an entry host. If an entry host fails, Do retries within the
// deadline, at most 5 times. Retries are safe because GET and HEAD requests may run
// more than once and others have an idempotency key. If no attempt succeeds, the
// error is a *fault.Error whose verdict covers all submissions.
func (c *Client) Do(ctx context.Context, request *Request) (*Response, error) {
	if _, found := ctx.Deadline(); !found {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.settings.Timeout)
		defer cancel()
	}
	started := &call{client: c, request: request, key: request.Key, verdict: fault.NotRun}
	return started.do(ctx)
}

// earnHedge counts one request toward the hedge budget.
func (c *Client) earnHedge() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hedgeBudget.Earn()
}

// mayHedge reports whether a late request may be submitted a second time. Requests with
// a key always may, because their home runs them only once. A read may if hedgeBudget
// has a token, which mayHedge spends.
func (c *Client) mayHedge(isRead bool) bool {
	if !isRead {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hedgeBudget.Spend()
}

// chooseHost returns a random entry host, weighted by the shares of the directory,
// that is neither among the failed ones nor suspect. If the random choice is failed or
// suspect, it returns the next host after it in the directory that is neither, and
// continues from the start of the directory. If there is no such host, it returns the
// first suspect host that has not failed. If every host has failed, it clears failed and
// returns the first host.
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
		return nil, eris.Errorf("directory lists no entry host for service %s", service)
	}
	return &directory.Hosts[0], nil
}

// isSuspect reports whether a host must be avoided at this time. c.mu is held.
func (c *Client) isSuspect(address string) bool {
	return time.Now().Before(c.suspects[address])
}

// avoidedHost returns the name for the header Tiller-Avoid of a request to the host
// used. It is that of the first other host in the directory that is suspect, or empty.
func (c *Client) avoidedHost(service string, used *EntryHost) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	cached := c.directories[service]
	if cached == nil {
		return ""
	}
	for i := range cached.directory.Hosts {
		listed := &cached.directory.Hosts[i]
		if listed.Name != used.Name && c.isSuspect(listed.Address) {
			return listed.Name
		}
	}
	return ""
}

// markSuspect makes every call avoid a host for suspectTime.
func (c *Client) markSuspect(host *EntryHost) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.suspects[host.Address] = time.Now().Add(suspectTime)
}

// Directory returns the directory of a service, from the cache until it expires there.
// While one call requests a new directory, others get the expired one. If none is
// cached yet, every call requests it.
func (c *Client) Directory(ctx context.Context, service string) (*Directory, error) {
	c.mu.Lock()
	cached := c.directories[service]
	isUsable := cached != nil && (time.Now().Before(cached.expires) || cached.refreshing)
	if isUsable {
		c.mu.Unlock()
		return &cached.directory, nil
	}
	if cached != nil {
		cached.refreshing = true
	}
	c.mu.Unlock()
	return c.refreshDirectory(ctx, service, cached)
}

// refreshDirectory requests a directory and caches it. The parameter previous is the
// expired one, or nil if none is cached.
func (c *Client) refreshDirectory(ctx context.Context, service string, previous *cachedDirectory) (*Directory, error) {
	directory, err := c.fetchDirectory(ctx, service, previous)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		if previous != nil {
			previous.refreshing = false
			previous.expires = time.Now()
		}
		return nil, err
	}
	hold := time.Duration(directory.HoldMillis) * time.Millisecond
	c.directories[service] = &cachedDirectory{directory: *directory, expires: time.Now().Add(hold)}
	return directory, nil
}

// fetchDirectory requests the directory from the hosts of the previous directory and
// then of the settings, until one returns it. Suspect hosts come last.
func (c *Client) fetchDirectory(ctx context.Context, service string, previous *cachedDirectory) (*Directory, error) {
	var addresses []string
	if previous != nil {
		for i := range previous.directory.Hosts {
			addresses = append(addresses, previous.directory.Hosts[i].Address)
		}
	}
	c.mu.Lock()
	start := c.rng.IntN(max(len(c.settings.Entries), 1))
	c.mu.Unlock()
	for i := range c.settings.Entries {
		addresses = append(addresses, c.settings.Entries[(start+i)%len(c.settings.Entries)])
	}
	c.sortSuspectsLast(addresses)
	err := eris.New("settings of the client have no entry host")
	for _, address := range addresses {
		var directory *Directory
		directory, err = c.requestDirectory(ctx, address, service)
		if err == nil {
			return directory, nil
		}
	}
	return nil, err
}

// sortSuspectsLast moves the addresses of suspect hosts to the end and keeps the order otherwise.
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

// requestDirectory requests the directory of a service from one entry host.
func (c *Client) requestDirectory(ctx context.Context, address, service string) (*Directory, error) {
	ctx, cancel := context.WithTimeout(ctx, directoryTimeout)
	defer cancel()
	query := url.Values{"service": {service}, "failureDomain": {c.settings.FailureDomain}}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/tiller/directory?"+query.Encode(), http.NoBody)
	if err != nil {
		return nil, eris.Wrap(err, "requesting the directory")
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, eris.Wrap(err, "requesting the directory")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, eris.Errorf("entry host %s responded to the directory request with status %d (%s)", address, response.StatusCode, response.Header.Get(header.Reason))
	}
	var directory Directory
	if err := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(&directory); err != nil {
		return nil, eris.Wrap(err, "decoding the directory")
	}
	return &directory, nil
}

// expireDirectory makes the next call request a new directory, because a host of this
// one failed. It does nothing while a call is already requesting one.
func (c *Client) expireDirectory(service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cached := c.directories[service]; cached != nil && !cached.refreshing {
		cached.expires = time.Time{}
	}
}
