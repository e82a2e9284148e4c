package target

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"gitlab.com/curranttiller/curranttiller/pkg/choose"
	"gitlab.com/curranttiller/curranttiller/pkg/fault"
)

const (
	dialTimeout       = 2 * time.Second
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
	maxHeaderBytes    = 64 << 10
	copyBufferBytes   = 4 << 10
	// maxProbeBytes is the longest body of a probe's answer that is read.
	maxProbeBytes = 4 << 10
)

// Limits are a host's share of the connections to each target.
type Limits struct {
	// Connections is the largest number of connections to one target.
	Connections int
	// IdleTimeout is how long after an answer a connection may take another request.
	IdleTimeout time.Duration
}

// Request is one attempt at a target.
type Request struct {
	Address       string
	Method        string
	URI           string
	Header        http.Header
	Body          io.Reader
	ContentLength int64
	// Deadline is passed on to the target.
	Deadline time.Time
	// NewConnection keeps the attempt off every connection used before.
	NewConnection bool
	// Instance is the incarnation of the target that is meant; it is empty if targets are known by address only.
	Instance string
}

// Answer is the head of a target's answer and its unread body.
type Answer struct {
	Status        int
	Header        http.Header
	Body          io.ReadCloser
	ContentLength int64
	// Report is the target's load, or nil.
	Report *choose.Report
	// Verdict is Ran, NotRun for a marked refusal, or MayHaveRun for another server error.
	Verdict fault.Verdict
}

// Protocol is the protocol that targets speak on top of HTTP.
type Protocol interface {
	// SetHeaders writes what the target must know of an attempt into the head of its request.
	SetHeaders(head http.Header, request *Request)
	// ParseResponse tells what an answer means; an error says that it is no answer to the
	// attempt, and the connection it came on is closed.
	ParseResponse(response *http.Response, request *Request) (ResponseInfo, *fault.Error)
	// ProbeRequest returns the request that asks for the load of a target.
	ProbeRequest(service, address, instance string) *Request
}

// ResponseInfo is what the head of an answer says.
type ResponseInfo struct {
	// Report is the target's load, or nil.
	Report *choose.Report
	// Verdict says whether the work ran.
	Verdict fault.Verdict
}

// Client sends attempts to the targets of one service; it is safe for concurrent use.
type Client struct {
	protocol Protocol
	pooled   *http.Transport
	unpooled *http.Transport

	mu    sync.Mutex
	conns map[*trackedConn]bool
}

// NewClient returns a client with a share of the connections, for targets that speak a protocol.
func NewClient(limits Limits, protocol Protocol) *Client {
	c := &Client{protocol: protocol, conns: make(map[*trackedConn]bool)}
	unpooled := max(limits.Connections/4, 1)
	c.pooled = c.transport(max(limits.Connections-unpooled, 1))
	c.pooled.IdleConnTimeout = limits.IdleTimeout
	c.unpooled = c.transport(unpooled)
	c.unpooled.DisableKeepAlives = true
	return c
}

func (c *Client) transport(connections int) *http.Transport {
	return &http.Transport{
		DialContext:            c.dial,
		MaxConnsPerHost:        connections,
		MaxIdleConnsPerHost:    connections,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
		WriteBufferSize:        copyBufferBytes,
		ReadBufferSize:         copyBufferBytes,
	}
}

func (c *Client) dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{
		Timeout: dialTimeout,
		Control: setUserTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
	}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	tracked := &trackedConn{Conn: conn}
	tracked.onClose = func() { c.removeConn(tracked) }
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conns[tracked] = true
	return tracked, nil
}

func (c *Client) removeConn(conn *trackedConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.conns, conn)
}

// OpenConnections returns the number of open connections.
func (c *Client) OpenConnections() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.conns)
}

// CloseIdleSince closes the idle connections that have not answered since a time:
// something between may have lost track of them. No request that takes one at
// the same moment is written to it.
func (c *Client) CloseIdleSince(since time.Time) {
	c.closeBlocked(func(conn *trackedConn) bool { return conn.blockIfIdleSince(since) })
}

// CloseExpired closes the connections that the targets are about to close, by the time that they state.
func (c *Client) CloseExpired(now time.Time) {
	c.closeBlocked(func(conn *trackedConn) bool { return conn.blockIfExpired(now) })
}

// closeBlocked closes the connections that seal has sealed.
func (c *Client) closeBlocked(block func(conn *trackedConn) bool) {
	c.mu.Lock()
	var blocked []*trackedConn
	for conn := range c.conns {
		if block(conn) {
			blocked = append(blocked, conn)
		}
	}
	c.mu.Unlock()
	for _, conn := range blocked {
		_ = conn.Close()
	}
}

// Close closes the idle connections; those in use close after their answer.
func (c *Client) Close() {
	c.pooled.CloseIdleConnections()
	c.unpooled.CloseIdleConnections()
}

// Do sends one attempt and returns the head of the answer. The error is a
// *fault.Error whose verdict is NotRun only if no byte was or will be written.
func (c *Client) Do(ctx context.Context, request *Request) (*Answer, error) {
	var track tracker
	outgoing, err := c.newHTTPRequest(httptrace.WithClientTrace(ctx, track.trace()), request)
	if err != nil {
		return nil, fault.Wrap(err, fault.NotRun, http.StatusBadRequest, "BadRequest")
	}
	transport := c.pooled
	if request.NewConnection {
		transport = c.unpooled
	}
	response, err := transport.RoundTrip(outgoing)
	if err != nil {
		return nil, track.classifyError(err)
	}
	track.setTargetIdleTimeout(response.Header.Get("Keep-Alive"))
	info, failed := c.protocol.ParseResponse(response, request)
	if failed != nil {
		_ = response.Body.Close()
		track.closeConn()
		return nil, failed
	}
	return &Answer{
		Status:        response.StatusCode,
		Header:        response.Header,
		Body:          response.Body,
		ContentLength: response.ContentLength,
		Report:        info.Report,
		Verdict:       info.Verdict,
	}, nil
}

// tracker follows which connection an attempt got.
type tracker struct {
	conn         *trackedConn
	writesBefore uint64
}

func (t *tracker) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if conn, ok := info.Conn.(*trackedConn); ok {
			conn.setInUse()
			t.conn = conn
			t.writesBefore = conn.writeCount()
		}
	}, PutIdleConn: func(err error) {
		if err == nil && t.conn != nil {
			t.conn.setIdle(time.Now())
		}
	}}
}

// closeConn closes the connection, on which bytes of another answer may follow.
func (t *tracker) closeConn() {
	if t.conn != nil {
		_ = t.conn.Close()
	}
}

// setTargetIdleTimeout takes the timeout of a Keep-Alive header, which is in seconds.
func (t *tracker) setTargetIdleTimeout(text string) {
	for part := range strings.SplitSeq(text, ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		seconds, err := strconv.Atoi(value)
		if found && err == nil && seconds > 0 && t.conn != nil {
			t.conn.setTargetIdleTimeout(time.Duration(seconds) * time.Second)
		}
	}
}

func (t *tracker) classifyError(err error) *fault.Error {
	if t.conn == nil || !t.conn.blockWrites(t.writesBefore) {
		return fault.Wrap(err, fault.NotRun, http.StatusServiceUnavailable, "TargetUnreachable")
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return fault.Wrap(err, fault.MayHaveRun, http.StatusGatewayTimeout, "DeadlinePassed")
	}
	return fault.Wrap(err, fault.MayHaveRun, http.StatusBadGateway, "TargetConnectionLost")
}

// unrepeatableBody keeps the transport from sending a request twice. net/http repeats a
// request on a broken reused connection if the request has no body or one that
// can be rewound, and either an idempotent method or an Idempotency-Key header.
// A body of a type unknown to net/http, without GetBody, is never repeated.
type unrepeatableBody struct {
	io.Reader
}

// Close does nothing: the body belongs to the caller's request.
func (unrepeatableBody) Close() error {
	return nil
}

func (c *Client) newHTTPRequest(ctx context.Context, request *Request) (*http.Request, error) {
	uri, err := url.ParseRequestURI(request.URI)
	if err != nil {
		return nil, err
	}
	uri.Scheme = "http"
	uri.Host = request.Address
	if !strings.HasPrefix(request.URI, "//") {
		// The target gets the path and query to the letter.
		uri.Opaque = request.URI
		uri.RawQuery = ""
	}
	outgoing := &http.Request{
		Method: request.Method,
		URL:    uri,
		Header: request.Header.Clone(),
		Host:   request.Header.Get("Host"),
	}
	outgoing.Header.Del("Host")
	c.protocol.SetHeaders(outgoing.Header, request)
	if request.Body != nil {
		outgoing.Body = unrepeatableBody{request.Body}
		outgoing.ContentLength = request.ContentLength
	}
	return outgoing.WithContext(ctx), nil
}

// Probe asks the target for its load; nil means that it did not answer. A target
// that calls itself unwell has answered: whether it is, requests tell.
func (c *Client) Probe(ctx context.Context, service, address, instance string, timeout time.Duration) *choose.Report {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request := c.protocol.ProbeRequest(service, address, instance)
	request.Deadline = time.Now().Add(timeout)
	answer, err := c.Do(ctx, request)
	if err != nil {
		return nil
	}
	defer func() { _ = answer.Body.Close() }()
	if _, err := io.CopyN(io.Discard, answer.Body, maxProbeBytes); !errors.Is(err, io.EOF) {
		return nil
	}
	if answer.Report != nil && answer.Status == http.StatusServiceUnavailable {
		unhealthy := *answer.Report
		unhealthy.Unhealthy = true
		return &unhealthy
	}
	if answer.Status != http.StatusOK {
		return nil
	}
	return answer.Report
}
