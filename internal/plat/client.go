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
)

const (
	maxReplyBytes   = 16 << 20
	callTimeout     = 8 * time.Second
	maxIdleConns    = 4
	idleConnTimeout = 30 * time.Second
)

// Client talks to the platform; it is safe for concurrent use.
type Client struct {
	base         string
	http         *http.Client
	controlBytes *atomic.Int64
}

// estimatedHeaderBytes is what the heads of a request and its reply take, roughly.
const estimatedHeaderBytes = 300

// NewClient returns a client of the platform at an address such as 127.0.0.1:7000; controlBytes counts its bytes.
func NewClient(address string, controlBytes *atomic.Int64) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConns, IdleConnTimeout: idleConnTimeout}
	return &Client{base: "http://" + address, http: &http.Client{Transport: transport}, controlBytes: controlBytes}
}

// Close drops the idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Append adds a record; after an error the record may have been added all the same.
func (c *Client) Append(ctx context.Context, stream string, body []byte) (uint64, error) {
	var reply AppendReply
	err := c.call(ctx, http.MethodPost, "/log/"+stream, body, callTimeout, &reply)
	return reply.Offset, err
}

// Read returns the records from an offset on, and waits up to wait for the first one.
func (c *Client) Read(ctx context.Context, stream string, from uint64, wait time.Duration) (ReadReply, error) {
	path := fmt.Sprintf("/log/%s?from=%d&waitMillis=%d", stream, from, wait.Milliseconds())
	var reply ReadReply
	err := c.call(ctx, http.MethodGet, path, nil, wait+callTimeout, &reply)
	if err == nil && (reply.First == 0 || reply.Next < reply.First) {
		return ReadReply{}, eris.Errorf("log %s answered with impossible offsets: first %d, next %d", stream, reply.First, reply.Next)
	}
	return reply, err
}

// Hosts returns the list; changed is false if it still has the revision.
func (c *Client) Hosts(ctx context.Context, revision uint64) (reply HostsReply, changed bool, err error) {
	path := fmt.Sprintf("/hosts?revision=%d", revision)
	if err := c.call(ctx, http.MethodGet, path, nil, callTimeout, &reply); err != nil {
		return HostsReply{}, false, err
	}
	return reply, reply.Revision != revision, nil
}

func (c *Client) call(ctx context.Context, method, path string, body []byte, timeout time.Duration, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "building a platform request")
	}
	// An append must not be repeated by the transport: its first try may have taken effect.
	request.GetBody = nil
	response, err := c.http.Do(request)
	if err != nil {
		return eris.Wrapf(err, "platform %s %s", method, path)
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
