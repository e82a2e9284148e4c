package answer_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"gitlab.com/curranttiller/curranttiller/internal/answer"
)

// writeReturns is longer than a write takes to return after its error.
const writeReturns = 20 * time.Millisecond

// dialPair returns both sides of a connection on loopback.
func dialPair(t *testing.T) (client, server *net.TCPConn) {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	dialed, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = dialed.Close()
		_ = accepted.Close()
	})
	return dialed.(*net.TCPConn), accepted.(*net.TCPConn)
}

// socketConn tells of the error that a write got from the socket before the write returns.
type socketConn struct {
	net.Conn

	failed chan error
}

// newSocketConn returns a socketConn for one write that fails.
func newSocketConn(conn net.Conn) *socketConn {
	return &socketConn{Conn: conn, failed: make(chan error, 1)}
}

// Write implements net.Conn.
func (c *socketConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		c.failed <- err
	}
	return n, err
}

// writeUntilError writes until the connection takes no more, and sends the error.
func writeUntilError(conn net.Conn) <-chan error {
	written := make(chan error, 1)
	go func() {
		chunk := make([]byte, 64<<10)
		for {
			if _, err := conn.Write(chunk); err != nil {
				written <- err
				return
			}
		}
	}()
	return written
}

// readAll reads until an error, which is nil for an ordinary end.
func readAll(conn net.Conn) (string, error) {
	text, err := io.ReadAll(conn)
	return string(text), err
}

// TestReadAfterWriteSawReset lets a write be told of a reset before any read is.
func TestReadAfterWriteSawReset(t *testing.T) {
	is := is.New(t)
	client, server := dialPair(t)
	socket := newSocketConn(client)
	conn := answer.NewConn(socket)
	_, err := io.WriteString(server, "part")
	is.NoErr(err)
	// The part has arrived before the reset, which discards what is in flight.
	_, err = io.ReadFull(conn, make([]byte, 1))
	is.NoErr(err)
	is.NoErr(server.SetLinger(0))
	is.NoErr(server.Close())
	written := writeUntilError(conn)
	is.True(errors.Is(<-socket.failed, syscall.ECONNRESET))
	text, err := readAll(conn)
	is.Equal(text, "art")
	is.True(errors.Is(err, syscall.ECONNRESET)) // a net.TCPConn reports an ordinary end here
	_, err = conn.Read(make([]byte, 1))
	is.True(errors.Is(err, syscall.ECONNRESET))
	is.True(errors.Is(<-written, syscall.ECONNRESET))
}

// TestReadAfterEndAndReset has the server end its side before it resets the connection. The
// write fails only after the end has been read.
func TestReadAfterEndAndReset(t *testing.T) {
	is := is.New(t)
	client, server := dialPair(t)
	socket := newSocketConn(client)
	conn := answer.NewConn(socket)
	_, err := io.WriteString(server, "whole")
	is.NoErr(err)
	is.NoErr(server.Close())
	written := writeUntilError(conn)
	is.True(errors.Is(<-socket.failed, syscall.EPIPE))
	select {
	case err := <-written:
		t.Fatalf("write returned %v before the answer was read", err)
	case <-time.After(writeReturns):
	}
	text, err := readAll(conn)
	is.Equal(text, "whole")
	is.NoErr(err)
	is.True(errors.Is(<-written, syscall.EPIPE))
}

// TestCloseEndsFailedWrite closes the connection while a write that failed waits for a read.
func TestCloseEndsFailedWrite(t *testing.T) {
	is := is.New(t)
	client, server := dialPair(t)
	socket := newSocketConn(client)
	conn := answer.NewConn(socket)
	is.NoErr(server.Close())
	written := writeUntilError(conn)
	is.True(<-socket.failed != nil)
	is.NoErr(conn.Close())
	is.True(<-written != nil)
}

// TestReadEndsBesideBlockedWrite has the server end its side and read no more.
func TestReadEndsBesideBlockedWrite(t *testing.T) {
	is := is.New(t)
	client, server := dialPair(t)
	conn := answer.NewConn(client)
	written := writeUntilError(conn)
	_, err := io.WriteString(server, "whole")
	is.NoErr(err)
	is.NoErr(server.CloseWrite())
	text, err := readAll(conn)
	is.Equal(text, "whole")
	is.NoErr(err)
	is.True(<-written != nil)
}

// TestTransportReadsFromConn sends an upload that a server answers with a part before it resets the
// connection.
func TestTransportReadsFromConn(t *testing.T) {
	is := is.New(t)
	transport := answer.NewTransport(&http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) {
		return newFakeConn("HTTP/1.1 200 OK\r\n\r\npart"), nil
	}})
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://server.example/", strings.NewReader("upload"))
	is.NoErr(err)
	response, err := transport.RoundTrip(request)
	if err == nil {
		_, err = io.ReadAll(response.Body)
		is.NoErr(response.Body.Close())
	}
	is.True(errors.Is(err, syscall.ECONNRESET))
}

// fakeConn simulates a socket with an answer that tells a write of a reset, and whose read then
// sees an ordinary end before the write has returned.
type fakeConn struct {
	net.Conn

	answer  *strings.Reader
	isReset chan struct{}
	hasRead chan struct{}
}

// newFakeConn returns a fakeConn for one write and one answer.
func newFakeConn(text string) *fakeConn {
	return &fakeConn{answer: strings.NewReader(text), isReset: make(chan struct{}), hasRead: make(chan struct{})}
}

// Read waits until the write was told of the reset.
func (c *fakeConn) Read(p []byte) (int, error) {
	<-c.isReset
	n, err := c.answer.Read(p)
	if err != nil {
		close(c.hasRead)
	}
	return n, err
}

// Write returns after the end was read.
func (c *fakeConn) Write([]byte) (int, error) {
	close(c.isReset)
	<-c.hasRead
	return 0, syscall.ECONNRESET
}

// SetWriteDeadline does nothing.
func (*fakeConn) SetWriteDeadline(time.Time) error { return nil }

// Close does nothing.
func (*fakeConn) Close() error { return nil }

// TestReadWaitsForWriteThatSawReset fixes the order in which the read returns before the
// write that was told of the reset.
func TestReadWaitsForWriteThatSawReset(t *testing.T) {
	is := is.New(t)
	conn := answer.NewConn(newFakeConn("part"))
	written := make(chan error)
	go func() {
		_, err := conn.Write([]byte("upload"))
		written <- err
	}()
	text, err := readAll(conn)
	is.Equal(text, "part")
	is.True(errors.Is(err, syscall.ECONNRESET))
	is.True(errors.Is(<-written, syscall.ECONNRESET))
}
