package gate

import (
	"net"
	"time"

	"gitlab.com/curranttiller/curranttiller/internal/config"
	"gitlab.com/curranttiller/curranttiller/pkg/admit"
)

const (
	// callBytes is about what a call takes beside its messages.
	callBytes = 8 << 10
	// decodedFactor is about how many bytes a byte of a message takes when it is decoded.
	decodedFactor = 8
	// peerConnectionBytes is the memory of the process for each connection of another entry
	// host that may be open, and peerShare the part of the descriptors that these may use.
	peerConnectionBytes = 256 << 10
	peerShare           = 1.0 / 8
	// peerHeldShare is the part of the memory of the process that is held for them at most.
	peerHeldShare = 1.0 / 16
)

// NewPeerLimits returns the limits for other entry hosts that settings imply.
func NewPeerLimits(settings *config.Settings) Limits {
	memory := settings.MemoryMB << 20
	return Limits{Limits: admit.Limits{
		Connections: max(1, min(int(peerShare*float64(settings.Descriptors-fileDescriptors)), memory/peerConnectionBytes)),
		Bytes:       int(peerHeldShare * float64(memory)),
	}}
}

// GuardCalls is Guard for a server whose connections carry several calls at a time. The server
// must tell what happens to these. The address of the client of each connection is a CallAddr.
func (g *Gate) GuardCalls(listener net.Listener) net.Listener {
	return &gatedListener{Listener: listener, open: func(conn net.Conn) (net.Conn, bool) {
		c := &callConn{Conn: conn, gate: g, id: g.lastID.Add(1)}
		return c, g.open(c.id, c, conn.RemoteAddr())
	}}
}

// CallAddr is the address of a client together with its connection.
type CallAddr struct {
	net.Addr

	conn *callConn
}

// NewCall returns a call on the connection of an address. It returns false if there is no
// room for the call.
func (a CallAddr) NewCall() (*Call, bool) {
	if !a.conn.begin() {
		return nil, false
	}
	return &Call{conn: a.conn, held: callBytes}, true
}

// callConn is a connection that carries calls. What it has read counts as held until the
// message that it belongs to is whole, and a message that is to be written until it is. It is
// closed if that may not be held.
type callConn struct {
	net.Conn

	gate *Gate
	id   uint64

	// The mutex of the gate guards the fields below. calls is the number of calls in progress.
	calls int
	// unread is the number of bytes that belong to no whole message, and unwritten that of
	// messages that are not written.
	unread, unwritten int
	// moved is the number of bytes read and written.
	moved int64
}

// RemoteAddr implements net.Conn.
func (c *callConn) RemoteAddr() net.Addr {
	return CallAddr{Addr: c.Conn.RemoteAddr(), conn: c}
}

// progress implements guarded; the mutex of the gate is held.
func (c *callConn) progress() admit.Progress {
	return admit.Progress{IsAwaited: c.unread+c.unwritten > 0, Bytes: c.moved}
}

// shut implements guarded.
func (c *callConn) shut() {
	_ = c.Conn.Close()
}

// Read implements net.Conn.
func (c *callConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.count(&c.unread, n) {
		return 0, net.ErrClosed
	}
	return n, err
}

// Write implements net.Conn.
func (c *callConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.uncount(&c.unwritten, n)
	return n, err
}

// Close implements net.Conn.
func (c *callConn) Close() error {
	c.gate.forget(c.id)
	return c.Conn.Close()
}

// begin counts a call, and reports whether there is room for it.
func (c *callConn) begin() bool {
	c.gate.mu.Lock()
	c.calls++
	c.gate.table.Enter(c.id, admit.Body, time.Now())
	c.gate.mu.Unlock()
	if c.gate.hold(c.id, callBytes) {
		return true
	}
	c.gate.refused.Inc()
	c.end(0)
	return false
}

// end counts the end of a call for which a number of bytes is held. Nothing is held for a
// connection without calls.
func (c *callConn) end(held int) {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	c.gate.table.Release(c.id, held)
	c.calls--
	if c.calls == 0 {
		c.unread, c.unwritten = 0, 0
		c.gate.table.Enter(c.id, admit.Idle, time.Now())
	}
}

// count adds bytes to unread or unwritten. If they may not be held it closes the connection
// and returns false.
func (c *callConn) count(counter *int, size int) bool {
	c.gate.mu.Lock()
	*counter += size
	c.moved += int64(size)
	c.gate.mu.Unlock()
	return c.holdOrClose(size)
}

// holdOrClose closes the connection if a number of bytes may not be held.
func (c *callConn) holdOrClose(size int) bool {
	if c.gate.hold(c.id, size) {
		return true
	}
	c.gate.refused.Inc()
	_ = c.Close()
	return false
}

// uncount removes up to a number of bytes from unread or unwritten.
func (c *callConn) uncount(counter *int, size int) {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	counted := min(*counter, size)
	*counter -= counted
	c.moved += int64(size)
	c.gate.table.Release(c.id, counted)
}

// Call is a call in progress.
type Call struct {
	conn *callConn
	// held is what is held until the call ends.
	held int
}

// Read counts a message of the client that is whole. If isKept is set, what it takes when it is
// decoded counts until the call ends.
func (c *Call) Read(wireBytes, decodedBytes int, isKept bool) {
	c.conn.uncount(&c.conn.unread, wireBytes)
	if size := decodedFactor * decodedBytes; isKept && c.conn.holdOrClose(size) {
		c.held += size
	}
}

// Write counts a message to the client that waits to be written.
func (c *Call) Write(wireBytes int) {
	c.conn.count(&c.conn.unwritten, wireBytes)
}

// End must be called once, at the end of the call.
func (c *Call) End() {
	c.conn.end(c.held)
}

// enter sets the phase of a connection in the table.
func (g *Gate) enter(id uint64, phase admit.Phase) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.Enter(id, phase, time.Now())
}

// hold adds bytes that are held for a connection. It closes others if that makes room.
func (g *Gate) hold(id uint64, size int) bool {
	g.mu.Lock()
	shed, ok := g.table.Hold(id, size, time.Now())
	victims := g.take(shed)
	g.mu.Unlock()
	g.closeAll(victims, 0)
	return ok
}

// forget removes a connection.
func (g *Gate) forget(id uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.Close(id)
	delete(g.conns, id)
}
