package plat

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"gitlab.com/curranttiller/curranttiller/internal/answer"
)

const (
	maxReplyBytes = 16 << 20
	// callTimeout limits a call. A Read gets its waiting time in addition.
	callTimeout     = 8 * time.Second
	maxIdleConns    = 4
	idleConnTimeout = 30 * time.Second
)

// Client sends requests to the platform. It is safe for concurrent use.
type Client struct {
	base         string
	http         *http.Client
	controlBytes *atomic.Int64
}

// estimatedHeaderBytes is the approximate size of the headers of a request and its reply
// together, which are not measured.
const estimatedHeaderBytes = 300

// NewClient returns a client of the platform at an address such as 127.0.0.1:7000. It
// adds the bytes of its requests and replies to controlBytes.
func NewClient(address string, controlBytes *atomic.Int64) *Client {
	transport := answer.NewTransport(&http.Transport{MaxIdleConnsPerHost: maxIdleConns, IdleConnTimeout: idleConnTimeout})
	return &Client{base: "http://" + address, http: &http.Client{Transport: transport}, controlBytes: controlBytes}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Append appends a record to a stream and returns its offset. After an error the record
// may still have been appended.
func (c *Client) Append(ctx context.Context, stream string, body []byte) (uint64, error) {
	var reply AppendReply
	err := c.call(ctx, http.MethodPost, "/log/"+stream, body, callTimeout, &reply)
	return reply.Offset, err
}

// Read returns the records of a stream whose offsets are at least from. If there are none,
// the platform waits for one, at most for the duration wait.
func (c *Client) Read(ctx context.Context, stream string, from uint64, wait time.Duration) (ReadReply, error) {
	path := fmt.Sprintf("/log/%s?from=%d&waitMillis=%d", stream, from, wait.Milliseconds())
	var reply ReadReply
	err := c.call(ctx, http.MethodGet, path, nil, wait+callTimeout, &reply)
	if err == nil && (reply.First == 0 || reply.Next < reply.First) {
		return ReadReply{}, eris.Errorf("platform answered a read of log %s with inconsistent offsets: first %d, next %d", stream, reply.First, reply.Next)
	}
	return reply, err
}

// Hosts returns the list of hosts. If the list still has the given revision, changed is
// false and the reply need not contain the hosts.
func (c *Client) Hosts(ctx context.Context, revision uint64) (reply HostsReply, changed bool, err error) {
	path := fmt.Sprintf("/hosts?revision=%d", revision)
	if err := c.call(ctx, http.MethodGet, path, nil, callTimeout, &reply); err != nil {
		return HostsReply{}, false, err
	}
	return reply, reply.Revision != revision, nil
}

// call sends a request and decodes the JSON reply.
func (c *Client) call(ctx context.Context, method, path string, body []byte, timeout time.Duration, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "building a platform request")
	}
	// Without GetBody the transport can't repeat an append, whose first try may have
	// taken effect.
	request.GetBody = nil
	response, err := c.http.Do(request)
	if err != nil {
		return eris.Wrapf(err, "sending %s %s to the platform", method, path)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	c.controlBytes.Add(int64(len(body) + len(text) + estimatedHeaderBytes))
	if err != nil {
		return eris.Wrapf(err, "reading the platform's reply to %s %s", method, path)
	}
	if response.StatusCode != http.StatusOK {
		return eris.Errorf("platform answered %s %s with status %d: %s", method, path, response.StatusCode, text)
	}
	return eris.Wrapf(json.Unmarshal(text, reply), "decoding the platform's reply to %s %s", method, path)
}
