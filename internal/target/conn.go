package target

import (
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// idleMargin is how long before the target a connection is closed that rests; a request takes less to reach it.
const idleMargin = time.Second

var errWritesBlocked = eris.New("connection was given up")

// trackedConn counts writes and can be sealed. After seal has returned that nothing
// was written since a mark, nothing will be: that makes "not run" certain even
// though the transport writes from a goroutine of its own.
type trackedConn struct {
	net.Conn

	mu      sync.Mutex
	writes  uint64
	blocked bool
	onClose func()
	// rested is when the last answer on it was complete; zero while it is in use.
	idleSince time.Time
	// idleTimeout is how long the target lets the connection rest; zero if it did not say.
	targetIdleTimeout time.Duration
}

// use notes that a request has the connection, and rest that its answer is complete.
func (c *trackedConn) setInUse() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleSince = time.Time{}
}

func (c *trackedConn) setIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleSince = now
}

// setTargetIdleTimeout notes how long the target says that it lets the connection rest.
func (c *trackedConn) setTargetIdleTimeout(timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.targetIdleTimeout = timeout
}

// blockIfExpired seals the connection if it has rested as long as the target lets it.
func (c *trackedConn) blockIfExpired(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.blocked || c.idleSince.IsZero() || c.targetIdleTimeout == 0 || now.Sub(c.idleSince) < c.targetIdleTimeout-idleMargin {
		return false
	}
	c.blocked = true
	return true
}

// blockIfIdleSince seals the connection if it is idle and has not answered since a time.
func (c *trackedConn) blockIfIdleSince(since time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.blocked || c.idleSince.IsZero() || c.idleSince.After(since) {
		return false
	}
	c.blocked = true
	return true
}

// Write counts the write before it happens, so that a partial one counts.
func (c *trackedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.blocked {
		c.mu.Unlock()
		return 0, errWritesBlocked
	}
	c.writes++
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// Close closes the connection and runs the close hook once.
func (c *trackedConn) Close() error {
	c.mu.Lock()
	hook := c.onClose
	c.onClose = nil
	c.mu.Unlock()
	if hook != nil {
		hook()
	}
	return c.Conn.Close()
}

func (c *trackedConn) writeCount() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// seal stops all further writes and reports whether any happened since the mark.
func (c *trackedConn) blockWrites(writesBefore uint64) (written bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.blocked = true
	return c.writes != writesBefore
}
