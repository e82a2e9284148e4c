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
	"sync/atomic"
	"time"

	"gitlab.com/curranttiller/curranttiller/pkg/choose"
	"gitlab.com/curranttiller/curranttiller/pkg/fault"
	"gitlab.com/curranttiller/curranttiller/pkg/header"
)

const (
	dialTimeout       = 2 * time.Second
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
	maxHeaderBytes    = 64 << 10
	copyBufferBytes   = 32 << 10
)

// Limits are a host's share of the connections to each target.
type Limits struct {
	// Connections is the largest number of connections to one target.
	Connections int
	// Fresh is how long after an answer a connection may take another request.
	Fresh time.Duration
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

// Client sends attempts to the targets of one service; it is safe for concurrent use.
type Client struct {
	reused *http.Transport
	fresh  *http.Transport
	open   atomic.Int64
}

// NewClient returns a client with a share of the connections.
func NewClient(limits Limits) *Client {
	c := &Client{}
	c.reused = c.transport(max(limits.Connections-1, 1))
	c.reused.IdleConnTimeout = limits.Fresh
	c.fresh = c.transport(1)
	c.fresh.DisableKeepAlives = true
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
	c.open.Add(1)
	return &sealConn{Conn: conn, onClose: func() { c.open.Add(-1) }}, nil
}

// Open returns the number of open connections.
func (c *Client) Open() int64 {
	return c.open.Load()
}

// DropIdle closes the idle connections, whose life is in doubt.
func (c *Client) DropIdle() {
	c.reused.CloseIdleConnections()
}

// Close closes the idle connections; those in use close after their answer.
func (c *Client) Close() {
	c.reused.CloseIdleConnections()
	c.fresh.CloseIdleConnections()
}

// Do sends one attempt and returns the head of the answer. The error is a
// *fault.Error whose verdict is NotRun only if no byte was or will be written.
func (c *Client) Do(ctx context.Context, request *Request) (*Answer, error) {
	var track tracker
	outgoing, err := newOutgoing(httptrace.WithClientTrace(ctx, track.hooks()), request)
	if err != nil {
		return nil, fault.Wrap(err, fault.NotRun, http.StatusBadRequest, "BadRequest")
	}
	transport := c.reused
	if request.NewConnection {
		transport = c.fresh
	}
	response, err := transport.RoundTrip(outgoing)
	if err != nil {
		return nil, track.classify(err)
	}
	return newAnswer(response)
}

// tracker follows which connection an attempt got.
type tracker struct {
	conn *sealConn
	mark uint64
}

func (t *tracker) hooks() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if conn, ok := info.Conn.(*sealConn); ok {
			t.conn = conn
			t.mark = conn.mark()
		}
	}}
}

func (t *tracker) classify(err error) *fault.Error {
	if t.conn == nil || !t.conn.seal(t.mark) {
		return fault.Wrap(err, fault.NotRun, http.StatusServiceUnavailable, "TargetUnreachable")
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return fault.Wrap(err, fault.MayHaveRun, http.StatusGatewayTimeout, "DeadlinePassed")
	}
	return fault.Wrap(err, fault.MayHaveRun, http.StatusBadGateway, "TargetConnectionLost")
}

// guardBody keeps the transport from sending a request twice. net/http repeats a
// request on a broken reused connection if the request has no body or one that
// can be rewound, and either an idempotent method or an Idempotency-Key header.
// A body of a type unknown to net/http, without GetBody, is never repeated.
type guardBody struct {
	io.Reader
}

// Close does nothing: the body belongs to the caller's request.
func (guardBody) Close() error {
	return nil
}

func newOutgoing(ctx context.Context, request *Request) (*http.Request, error) {
	uri, err := url.ParseRequestURI(request.URI)
	if err != nil {
		return nil, err
	}
	uri.Scheme = "http"
	uri.Host = request.Address
	outgoing := &http.Request{
		Method: request.Method,
		URL:    uri,
		Header: request.Header.Clone(),
		Host:   request.Header.Get("Host"),
	}
	outgoing.Header.Del("Host")
	left := max(time.Until(request.Deadline).Milliseconds(), 1)
	outgoing.Header.Set(header.DeadlineMillis, strconv.FormatInt(left, 10))
	if request.Body != nil {
		outgoing.Body = guardBody{request.Body}
		outgoing.ContentLength = request.ContentLength
	}
	return outgoing.WithContext(ctx), nil
}

func newAnswer(response *http.Response) (*Answer, error) {
	answer := &Answer{
		Status:        response.StatusCode,
		Header:        response.Header,
		Body:          response.Body,
		ContentLength: response.ContentLength,
		Report:        parseReport(response.Header),
		Verdict:       fault.Ran,
	}
	if response.Header.Get(header.Refused) == fault.NotRun.String() {
		answer.Verdict = fault.NotRun
		return answer, nil
	}
	if response.StatusCode >= http.StatusInternalServerError {
		// The target does not say how far it came, or something between answered for it.
		answer.Verdict = fault.MayHaveRun
	}
	if endsByClose(response) {
		_ = response.Body.Close()
		return nil, fault.New(fault.Ran, http.StatusBadGateway, "AnswerWithoutLength")
	}
	return answer, nil
}

// endsByClose reports whether only the end of the connection ends the body, so
// that a cut answer could not be told from a whole one.
func endsByClose(response *http.Response) bool {
	isBodiless := response.Request != nil && response.Request.Method == http.MethodHead
	return !isBodiless && response.ContentLength < 0 && len(response.TransferEncoding) == 0 && response.ProtoMajor == 1
}

func parseReport(from http.Header) *choose.Report {
	running, err := strconv.Atoi(from.Get(header.Running))
	if err != nil || running < 0 {
		return nil
	}
	waiting, err := strconv.Atoi(from.Get(header.Waiting))
	if err != nil || waiting < 0 {
		return nil
	}
	return &choose.Report{Running: running, Waiting: waiting, Draining: from.Get(header.Draining) == "true"}
}

// Probe asks the target's load endpoint; nil means that it did not answer well.
func (c *Client) Probe(ctx context.Context, address string, timeout time.Duration) *choose.Report {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	answer, err := c.Do(ctx, &Request{
		Address:       address,
		Method:        http.MethodGet,
		URI:           "/load",
		Header:        http.Header{},
		Deadline:      time.Now().Add(timeout),
		NewConnection: true,
	})
	if err != nil {
		return nil
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.Status != http.StatusOK {
		return nil
	}
	return answer.Report
}
