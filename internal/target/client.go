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
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"gitlab.com/curranttiller/curranttiller/internal/answer"
	"gitlab.com/curranttiller/curranttiller/pkg/choose"
	"gitlab.com/curranttiller/curranttiller/pkg/fault"
	"gitlab.com/curranttiller/curranttiller/pkg/limit"
)

const (
	dialTimeout       = 2 * time.Second
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
	maxHeaderBytes    = 64 << 10
	connBufferBytes   = 4 << 10
	// After an answer is late, the connections to other targets count as working if at least
	// minAnsweringTargets of these have answered within recentAnswer.
	minAnsweringTargets = 3
	recentAnswer        = 100 * time.Millisecond
	// maxBlockedSends is how often an attempt is sent again because it got a connection that
	// was closed here before.
	maxBlockedSends = 3
	// maxProbeBytes bounds the body of the answer to a probe. A probe fails if the body
	// has this length or is longer.
	maxProbeBytes = 4 << 10
)

// ReasonNoStatus is the reason of an attempt whose answer has a status that no final answer
// has, so that it is not one.
const ReasonNoStatus = "AnswerWithoutStatus"

// Limits bound the connections of a Client.
type Limits struct {
	// Connections is the largest number of connections to one target. A quarter of
	// them, at least one, is reserved for attempts that need a new connection. At least
	// one more is for the other attempts, even if Connections is 1.
	Connections int
	// IdleTimeout is how long after an answer a connection may be used for another request.
	IdleTimeout time.Duration
}

// Request is one attempt at a target.
type Request struct {
	// Address is the IP address and port of the target.
	Address string
	Method  string
	// URI is the path and query, which the target gets unchanged.
	URI string
	// Header includes the host name as "Host".
	Header http.Header
	// Body may be nil only if the request may run twice, see unrepeatableBody.
	Body io.Reader
	// ContentLength is the length of Body, or -1 if it is unknown.
	ContentLength int64
	// Deadline is when the answer must be complete. It is only sent to the target, as far
	// as the protocol has a header for it. The context of Do limits the attempt itself.
	Deadline time.Time
	// NewConnection sends the attempt on a connection that had no request before.
	NewConnection bool
	// RunsOnce says that the request must not run twice, so that it counts as not run only if
	// an answer that is certainly its own says so.
	RunsOnce bool
	// MayRepeat is asked before net/http sends a request without a body again on its own,
	// because a connection broke that had carried other requests; nil allows it.
	MayRepeat func() bool
	// Instance identifies the process of the target that the attempt is for. It is
	// empty if targets are identified by address only.
	Instance string
	// OnStated is called with what the header of the response states, before Do returns and
	// also if the response can't be used as an answer. It may be nil.
	OnStated func(ResponseInfo)
}

// Answer is a target's answer with its body still unread.
type Answer struct {
	Status int
	Header http.Header
	// Body must be closed by the caller of Do.
	Body          io.ReadCloser
	ContentLength int64
	// Report is the load that the target stated, or nil if it stated none.
	Report *choose.Report
	// Limit is what the answer states about the target's limit on requests.
	Limit limit.Named
	// Departure is what the answer states about the target's leaving.
	Departure Departure
	// Verdict says whether the target ran the work, as the protocol read it from the
	// answer.
	Verdict fault.Verdict
}

// Protocol is the protocol that targets speak on top of HTTP.
type Protocol interface {
	// SetHeaders adds what the target must know about an attempt, such as the time
	// left, to the header of its request.
	SetHeaders(headers http.Header, request *Request)
	// ParseResponse reads the load and the verdict from the header of a response. An
	// error means that the response can't be used, for example because it is not the
	// target's answer to this attempt. The connection is then closed. The information may
	// still have a HoldOff.
	ParseResponse(response *http.Response, request *Request) (ResponseInfo, *fault.Error)
	// ProbeRequest returns the request that asks a target for its load.
	ProbeRequest(service, address, instance string) *Request
}

// ResponseInfo is what a protocol reads from the header of a response.
type ResponseInfo struct {
	// Report is the load that the target stated, or nil if it stated none.
	Report *choose.Report
	// Limit is what the response states about the target's limit on requests.
	Limit limit.Named
	// Departure is what the response states about the target's leaving.
	Departure Departure
	// HoldOff is the time for which the target wants nothing more from this host.
	HoldOff choose.HoldOff
	// Cold is what the answer to a probe states about the time until the target is warm.
	Cold Cold
	// Verdict says whether the target ran the work.
	Verdict fault.Verdict
	// IsUnidentified says that nothing in the response shows which request it answers. On a
	// connection that carried other requests it may be a second answer to one of them.
	IsUnidentified bool
}

// Cold is what the answer to a probe states about the time until the target is warm.
type Cold struct {
	IsStated bool
	Left     time.Duration
}

// Departure is what one answer of a target states about its leaving.
type Departure struct {
	// IsLeaving says that the instance that answered will end and wants no new requests.
	IsLeaving bool
	// Unusual is a statement that has no effect because it is not well-formed, cut to 64
	// bytes; empty if there is none.
	Unusual string
}

// Client sends attempts to the targets of one service. It is safe for concurrent use.
type Client struct {
	protocol Protocol
	// pooled reuses connections, and unpooled opens one for each attempt.
	pooled   *http.Transport
	unpooled *http.Transport

	// unconnected is the number of attempts that wait for a connection.
	unconnected atomic.Int64

	mu    sync.Mutex
	conns map[*trackedConn]bool
}

// NewClient returns a client for targets that speak the protocol.
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
		WriteBufferSize:        connBufferBytes,
		ReadBufferSize:         connBufferBytes,
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
	tracked := &trackedConn{Conn: answer.NewConn(conn), address: address, openedAt: time.Now()}
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

// OpenConnections returns the number of open connections to all targets.
func (c *Client) OpenConnections() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.conns)
}

// UnconnectedAttempts returns the number of attempts that wait for a connection to their
// target, because it is being established or as many as allowed are in use.
func (c *Client) UnconnectedAttempts() int {
	return int(c.unconnected.Load())
}

// CloseDoubtful closes idle connections after a request that was sent to an address at the
// time since has got no answer in time. A device on the path may have lost the state of
// connections, so that requests on them would get no answer either. The connections to that
// address are closed whose last answer ended at the time since or earlier, and those to
// other addresses too, unless enough other connections of that age have just carried
// answers. The transport may still assign such a connection
// to an attempt until it has noticed the close. None of the attempt's bytes are written
// then, and it fails with the verdict NotRun.
func (c *Client) CloseDoubtful(now, since time.Time, address string) {
	pathWorks := c.pathWorks(now, since, address)
	c.closeBlocked(func(conn *trackedConn) bool {
		return (!pathWorks || conn.address == address) && conn.blockIfIdleSince(since)
	})
}

// pathWorks reports whether enough connections to other addresses that are older than a late
// request have carried answers so recently that they can't all have been lost since.
func (c *Client) pathWorks(now, since time.Time, address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	answered := make(map[string]bool)
	for conn := range c.conns {
		if conn.address != address && conn.hasAnswered(since, now.Add(-recentAnswer)) {
			answered[conn.address] = true
		}
	}
	return len(answered) >= minAnsweringTargets
}

// CloseExpired closes the idle connections that the targets are about to close
// according to the idle timeout that they stated.
func (c *Client) CloseExpired(now time.Time) {
	c.closeBlocked(func(conn *trackedConn) bool { return conn.blockIfExpired(now) })
}

// closeBlocked closes the connections for which block returns true. Before it returns
// true, block must block the writes of the connection.
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

// Close closes the idle connections. Those in use are closed after their answers.
func (c *Client) Close() {
	c.pooled.CloseIdleConnections()
	c.unpooled.CloseIdleConnections()
}

// Do sends one attempt and returns its answer as soon as the header has arrived.
// Errors are a *fault.Error, with the verdict NotRun only if it is certain that no
// byte of the request was written or will be.
func (c *Client) Do(ctx context.Context, request *Request) (*Answer, error) {
	response, track, failed := c.send(ctx, request)
	// The transport keeps a connection that was closed here until it has noticed that, and may
	// assign it to an attempt. Nothing has been written then.
	for range maxBlockedSends {
		if failed == nil || failed.Verdict != fault.NotRun || !errors.Is(failed, errWritesBlocked) || !request.isRepeatable() {
			break
		}
		response, track, failed = c.send(ctx, request)
	}
	if failed != nil {
		return nil, failed
	}
	track.setTargetIdleTimeout(response.Header.Get("Keep-Alive"))
	info, failed := c.protocol.ParseResponse(response, request)
	if request.OnStated != nil {
		request.OnStated(info)
	}
	if failed == nil && info.IsUnidentified && request.RunsOnce && track.isReused {
		failed = fault.New(fault.MayHaveRun, http.StatusBadGateway, "AnswerUnidentified")
	}
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
		Limit:         info.Limit,
		Departure:     info.Departure,
		Verdict:       info.Verdict,
	}, nil
}

// send sends an attempt on one connection and returns the response as soon as its header has
// arrived.
func (c *Client) send(ctx context.Context, request *Request) (*http.Response, *tracker, *fault.Error) {
	track := &tracker{method: request.Method}
	outgoing, err := c.newHTTPRequest(httptrace.WithClientTrace(ctx, track.trace()), request)
	if err != nil {
		return nil, nil, fault.Wrap(err, fault.NotRun, http.StatusBadRequest, "BadRequest")
	}
	transport := c.pooled
	if request.NewConnection {
		transport = c.unpooled
	}
	c.unconnected.Add(1)
	track.onConnected = sync.OnceFunc(func() { c.unconnected.Add(-1) })
	response, err := transport.RoundTrip(outgoing)
	track.onConnected()
	if err != nil {
		return nil, nil, track.classifyError(err)
	}
	return response, track, nil
}

// isRepeatable reports whether the request can be sent again from its start.
func (r *Request) isRepeatable() bool {
	_, isInMemory := r.Body.(io.ReaderAt)
	return r.Body == nil || isInMemory
}

// bodyFromStart returns the body for one send. A body in memory is read from its start each
// time, because an earlier send may still read it.
func (r *Request) bodyFromStart() io.Reader {
	if inMemory, ok := r.Body.(io.ReaderAt); ok && r.ContentLength >= 0 {
		return io.NewSectionReader(inMemory, 0, r.ContentLength)
	}
	return r.Body
}

// tracker records the connection of an attempt.
type tracker struct {
	// method is that of the attempt.
	method string
	// conn is nil until the attempt gets a connection.
	conn *trackedConn
	// writesBefore is the number of writes to conn before the attempt.
	writesBefore uint64
	// isReused says that conn carried requests before.
	isReused bool
	// onConnected is called when the attempt gets a connection or has failed without one.
	onConnected func()
}

func (t *tracker) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		t.onConnected()
		if conn, ok := info.Conn.(*trackedConn); ok {
			conn.setInUse()
			conn.Expect(t.method)
			t.conn = conn
			t.writesBefore = conn.writeCount()
			t.isReused = info.Reused
		}
	}, PutIdleConn: func(err error) {
		if err == nil && t.conn != nil {
			t.conn.setIdle(time.Now())
		}
	}}
}

// closeConn closes the connection of an attempt whose response the protocol rejected,
// since bytes of other responses may follow on it.
func (t *tracker) closeConn() {
	if t.conn != nil {
		_ = t.conn.Close()
	}
}

// setTargetIdleTimeout stores the timeout from the value of a Keep-Alive header,
// where it is in seconds.
func (t *tracker) setTargetIdleTimeout(text string) {
	for part := range strings.SplitSeq(text, ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		seconds, err := strconv.Atoi(value)
		if found && err == nil && seconds > 0 && t.conn != nil {
			t.conn.setTargetIdleTimeout(time.Duration(seconds) * time.Second)
		}
	}
}

// maxErrorBytes is the length to which the text of a transport error is cut.
const maxErrorBytes = 512

// boundedError is a transport error with a shorter text. net/http quotes the bytes that are
// no answer, up to the longest head and more than once.
type boundedError struct {
	error
}

// Error returns the first 512 bytes of the text.
func (e boundedError) Error() string {
	text := e.error.Error()
	if len(text) <= maxErrorBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxErrorBytes], "") + "..."
}

// Unwrap returns the error with the whole text.
func (e boundedError) Unwrap() error {
	return e.error
}

// classifyError adds the verdict to a transport error. It blocks further writes to
// the connection, so that an attempt reported as NotRun can't be sent afterwards.
func (t *tracker) classifyError(err error) *fault.Error {
	err = boundedError{err}
	if t.conn == nil || !t.conn.blockWrites(t.writesBefore) {
		return fault.Wrap(err, fault.NotRun, http.StatusServiceUnavailable, "TargetUnreachable")
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return fault.Wrap(err, fault.MayHaveRun, http.StatusGatewayTimeout, "DeadlinePassed")
	}
	if errors.Is(err, answer.ErrStatus) {
		return fault.Wrap(err, fault.MayHaveRun, http.StatusBadGateway, ReasonNoStatus)
	}
	return fault.Wrap(err, fault.MayHaveRun, http.StatusBadGateway, "TargetConnectionLost")
}

// unrepeatableBody keeps net/http from sending a request twice. If a reused connection
// breaks, the transport may repeat a request with an idempotent method or an
// Idempotency-Key header. It does so only if the request has no body or if it can read
// the body again from the start. It can't do that with a body of an unknown type and
// without GetBody, so a request with an unrepeatableBody is sent once.
type unrepeatableBody struct {
	io.Reader
}

// Close does nothing, because the body belongs to the caller's request.
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
		// Opaque keeps net/http from encoding the path and query anew.
		uri.Opaque = request.URI
		uri.RawQuery, uri.ForceQuery = "", false
	}
	if uri.RequestURI() != request.URI {
		return nil, eris.New("net/http would change the path or query")
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
		outgoing.Body = unrepeatableBody{request.bodyFromStart()}
		outgoing.ContentLength = request.ContentLength
	} else if request.MayRepeat != nil {
		// net/http asks for a body again before it repeats a request that has one.
		outgoing.Body = unrepeatableBody{http.NoBody}
		outgoing.GetBody = func() (io.ReadCloser, error) {
			if !request.MayRepeat() {
				return nil, eris.New("the request may not be repeated")
			}
			return unrepeatableBody{http.NoBody}, nil
		}
	}
	return outgoing.WithContext(ctx), nil
}

// ProbeResult is what a probe has shown.
type ProbeResult struct {
	// Report is nil if there was no valid report within the timeout.
	Report *choose.Report
	// Limit is what the answer states about the target's limit, nil without a valid answer.
	Limit *limit.Named
	// Departure is what the answer states about the target's leaving.
	Departure Departure
}

// Probe asks a target for its load. A report with status 503 is returned and marked as
// unhealthy, because the target did answer. The results of requests decide whether it is
// usable.
func (c *Client) Probe(ctx context.Context, service, address, instance string, timeout time.Duration, onStated func(ResponseInfo)) ProbeResult {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request := c.protocol.ProbeRequest(service, address, instance)
	request.Deadline = time.Now().Add(timeout)
	request.OnStated = onStated
	answer, err := c.Do(ctx, request)
	if err != nil {
		return ProbeResult{}
	}
	defer func() { _ = answer.Body.Close() }()
	result := ProbeResult{Departure: answer.Departure}
	if _, err := io.CopyN(io.Discard, answer.Body, maxProbeBytes); !errors.Is(err, io.EOF) {
		return result
	}
	switch {
	case answer.Report != nil && answer.Status == http.StatusServiceUnavailable:
		unhealthy := *answer.Report
		unhealthy.Unhealthy = true
		result.Report, result.Limit = &unhealthy, &answer.Limit
	case answer.Status == http.StatusOK:
		result.Report, result.Limit = answer.Report, &answer.Limit
	}
	return result
}
