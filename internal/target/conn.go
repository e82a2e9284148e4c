package target

import (
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"gitlab.com/curranttiller/curranttiller/internal/answer"
)

// idleMargin is how long before the target's idle timeout a connection is closed. It must
// exceed the time that a request takes to reach the target. Otherwise a request could
// arrive after the target has closed the connection.
const idleMargin = time.Second

var errWritesBlocked = eris.New("writes to the connection are blocked")

// trackedConn is a connection that counts its writes and can block them. Once
// blockWrites has returned that nothing was written for an attempt, nothing will be.
// So the verdict NotRun is certain, although the transport writes from a goroutine of
// its own.
type trackedConn struct {
	*answer.Conn

	// address is that of the target, and openedAt when the connection was established.
	address  string
	openedAt time.Time

	mu      sync.Mutex
	writes  uint64
	blocked bool
	onClose func()
	// answeredAt is when the last answer on the connection was complete; zero before.
	answeredAt time.Time
	// idleSince is when the last answer on the connection was complete. It is zero
	// while the connection is in use.
	idleSince time.Time
	// targetIdleTimeout is how long the target keeps an idle connection open, or zero
	// if it did not state this.
	targetIdleTimeout time.Duration
}

// setInUse records that an attempt got the connection.
func (c *trackedConn) setInUse() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleSince = time.Time{}
}

// setIdle records that the answer to an attempt is complete.
func (c *trackedConn) setIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleSince = now
	c.answeredAt = now
}

// hasAnswered reports whether the connection was opened before the first time and has
// carried a complete answer after the second.
func (c *trackedConn) hasAnswered(openedBefore, after time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.openedAt.Before(openedBefore) && c.answeredAt.After(after)
}

func (c *trackedConn) setTargetIdleTimeout(timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.targetIdleTimeout = timeout
}

// blockIfExpired blocks writes if the connection is idle and less than idleMargin
// remains of the target's idle timeout. It reports whether it has done so.
func (c *trackedConn) blockIfExpired(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.blocked || c.idleSince.IsZero() || c.targetIdleTimeout == 0 || now.Sub(c.idleSince) < c.targetIdleTimeout-idleMargin {
		return false
	}
	c.blocked = true
	return true
}

// blockIfIdleSince blocks writes if the connection is idle and its last answer ended at
// the time since or earlier. It reports whether it has done so.
func (c *trackedConn) blockIfIdleSince(since time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.blocked || c.idleSince.IsZero() || c.idleSince.After(since) {
		return false
	}
	c.blocked = true
	return true
}

// Write fails if writes are blocked. A write is counted before it is done, so that one
// that fails halfway counts too.
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

// Close closes the connection. The first call also calls onClose.
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

// blockWrites makes all further writes fail. It reports whether the connection was written
// to between the time when writeCount returned writesBefore and this call.
func (c *trackedConn) blockWrites(writesBefore uint64) (written bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.blocked = true
	return c.writes != writesBefore
}
