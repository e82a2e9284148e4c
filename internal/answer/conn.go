package answer

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Conn is the connection of an HTTP client to a server. One goroutine may read from it while
// another one writes.
type Conn struct {
	net.Conn

	// expectsHead says that the last request has the method HEAD.
	expectsHead atomic.Bool
	scanner     scanner
	// readErr is the error of all further reads.
	readErr error

	// ended is closed at the end of reading, and when the connection is closed.
	ended chan struct{}
	// end closes ended.
	end func()

	// writing is held during a write to the socket.
	writing sync.Mutex
	// lost is the error with which the connection broke, if a write was told of it.
	lost error
}

// NewConn returns a Conn that reads from and writes to conn.
func NewConn(conn net.Conn) *Conn {
	ended := make(chan struct{})
	return &Conn{Conn: conn, ended: ended, end: sync.OnceFunc(func() { close(ended) })}
}

// Expect must be called with the method of each request before the request is written.
func (c *Conn) Expect(method string) {
	c.expectsHead.Store(method == http.MethodHead)
}

// Read implements net.Conn. It fails at an answer that is not sound, and returns io.EOF only if
// the server has ended its side of the connection. All reads after an error return the same
// error.
func (c *Conn) Read(p []byte) (int, error) {
	if c.readErr != nil {
		return 0, c.readErr
	}
	n, err := c.Conn.Read(p)
	if sound, unsound := c.scanner.scan(p[:n], c.expectsHead.Load()); unsound != nil {
		n, err = sound, unsound
	}
	if errors.Is(err, io.EOF) {
		err = c.endOfRead()
	}
	if err != nil {
		c.readErr = err
		c.end()
	}
	return n, err
}

// endOfRead returns the error of a read to which the operating system has stated the end of
// the connection. A reset is reported once, to the read or write that comes first, and reads
// see an ordinary end afterwards. A write that was told of it may not have returned yet.
func (c *Conn) endOfRead() error {
	// Ends a write that waits for a server that takes no more.
	_ = c.SetWriteDeadline(time.Unix(1, 0))
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.lost != nil {
		return c.lost
	}
	return io.EOF
}

// Write implements net.Conn. A write that fails returns only after the answer has been read to
// the end of the connection, or the connection was closed, because net/http closes the
// connection at once then. A server may answer a request without reading all of it.
func (c *Conn) Write(p []byte) (int, error) {
	n, err := c.write(p)
	if err != nil {
		<-c.ended
	}
	return n, err
}

// write writes to the socket and records an error that means that the connection broke.
func (c *Conn) write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if c.lost == nil && isLoss(err) {
		c.lost = err
	}
	return n, err
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.end()
	return c.Conn.Close()
}

// isLoss reports whether the error of a write means that the connection broke before the
// server had ended its side. A reset that follows that end is reported as EPIPE.
func isLoss(err error) bool {
	return err != nil && !errors.Is(err, syscall.EPIPE) && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed)
}
