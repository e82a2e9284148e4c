package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// hostName is the host of all routes.
const hostName = "desk.example"

// callerGrace is how long after its deadline a consumer still waits for an answer.
const callerGrace = time.Second

// attempt is one consumer attempt and its end.
type attempt struct {
	id, method, uri string
	// address is the one of the entry host to which it was sent.
	address         string
	deadline        time.Duration
	sentAt, endedAt time.Time
	// body is sent with a length, or as chunks at equal intervals within upload if there
	// are several.
	body   []byte
	chunks int
	upload time.Duration
	// onKept says that the connection had carried an earlier request.
	onKept bool
	// status is zero if the connection ended without a complete answer.
	status int
	answer string
	err    error
}

var lastAttempt atomic.Uint64

func newAttempt(method, uri string, deadline time.Duration) *attempt {
	a := &attempt{id: fmt.Sprintf("%016x", 0x9c41d07be2a30000+lastAttempt.Add(1)), method: method, uri: uri, deadline: deadline}
	if method != http.MethodGet {
		a.body = []byte("an order")
	}
	return a
}

// caller is a consumer with one connection, which it opens when it needs it.
type caller struct {
	record  *recorder
	address string
	conn    net.Conn
	reader  *bufio.Reader
}

func newCaller(record *recorder, address string) *caller {
	return &caller{record: record, address: address}
}

func (c *caller) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// send sends one attempt and waits for its end.
func (c *caller) send(a *attempt) {
	a.sentAt = time.Now()
	a.address = c.address
	a.err = c.exchange(a)
	a.endedAt = time.Now()
	if a.err != nil {
		c.close()
		c.record.add("consumer: %s %s %s ended after %d ms without a complete answer: %v", a.id, a.method, a.uri, a.endedAt.Sub(a.sentAt).Milliseconds(), a.err)
		return
	}
	c.record.add("consumer: %s %s %s answered %d after %d ms", a.id, a.method, a.uri, a.status, a.endedAt.Sub(a.sentAt).Milliseconds())
}

func (c *caller) exchange(a *attempt) error {
	a.onKept = c.conn != nil
	if c.conn == nil {
		dialer := net.Dialer{Timeout: time.Second}
		conn, err := dialer.DialContext(context.Background(), "tcp", c.address)
		if err != nil {
			return err
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	c.record.add("consumer: %s sends %s %s to %s, body of %s", a.id, a.method, a.uri, c.address, describeBody(a.body))
	if err := c.conn.SetDeadline(time.Now().Add(a.deadline + callerGrace)); err != nil {
		return err
	}
	var writing sync.WaitGroup
	var writeError error
	conn := c.conn
	writing.Go(func() { writeError = a.write(conn) })
	response, err := http.ReadResponse(c.reader, &http.Request{Method: a.method})
	if err != nil {
		c.close()
		writing.Wait()
		return err
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		c.close()
		writing.Wait()
		return err
	}
	a.status, a.answer = response.StatusCode, string(answer)
	writing.Wait()
	if writeError != nil || response.Close {
		c.close()
	}
	return nil
}

// write sends the header and the body of the attempt.
func (a *attempt) write(conn net.Conn) error {
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n", a.method, a.uri, hostName, a.id, a.deadline.Milliseconds())
	if a.chunks <= 1 {
		if len(a.body) > 0 {
			text += fmt.Sprintf("Content-Length: %d\r\n", len(a.body))
		}
		_, err := conn.Write(append([]byte(text+"\r\n"), a.body...))
		return err
	}
	if _, err := io.WriteString(conn, text+"Transfer-Encoding: chunked\r\n\r\n"); err != nil {
		return err
	}
	size := (len(a.body) + a.chunks - 1) / a.chunks
	for rest := a.body; len(rest) > 0; {
		part := rest[:min(size, len(rest))]
		rest = rest[len(part):]
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(part), part); err != nil {
			return err
		}
		time.Sleep(a.upload / time.Duration(a.chunks))
	}
	_, err := io.WriteString(conn, "0\r\n\r\n")
	return err
}
