package answer

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Conn is the connection of an HTTP client to a server. One goroutine may read from it while
// another one writes.
type Conn struct {
	net.Conn

	// readErr is the error of all further reads.
	readErr error

	// writing is held during a write.
	writing sync.Mutex
	// lost is the error with which the connection broke, if a write was told of it.
	lost error
}

// NewConn returns a Conn that reads from and writes to conn.
func NewConn(conn net.Conn) *Conn {
	return &Conn{Conn: conn}
}

// Read implements net.Conn. It returns io.EOF only if the server has ended its side of the
// connection. All reads after an error return the same error.
func (c *Conn) Read(p []byte) (int, error) {
	if c.readErr != nil {
		return 0, c.readErr
	}
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		err = c.endOfRead()
	}
	c.readErr = err
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

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if c.lost == nil && isLoss(err) {
		c.lost = err
	}
	return n, err
}

// isLoss reports whether the error of a write means that the connection broke before the
// server had ended its side. A reset that follows that end is reported as EPIPE.
func isLoss(err error) bool {
	return err != nil && !errors.Is(err, syscall.EPIPE) && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed)
}
