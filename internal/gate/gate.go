package gate

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"gitlab.com/curranttiller/curranttiller/internal/config"
	"gitlab.com/curranttiller/curranttiller/pkg/admit"
	"gitlab.com/curranttiller/curranttiller/pkg/fault"
	"gitlab.com/curranttiller/curranttiller/pkg/table"
)

const (
	// MaxHeadBytes is the largest limit for the size of a head. A server must allow as much, so
	// that the limits that are in force can change.
	MaxHeadBytes = 1 << 20
	// MaxHeadTime is the same for the time of a head and the time between requests.
	MaxHeadTime = 24 * time.Hour
	// headSlack is how much longer than the limit a head may be, because not all clients count
	// its first and its last line.
	headSlack = 4 << 10
	// shortestLine is the length of the shortest line of a head.
	shortestLine = 3
	// statedTimeFactor times a time that an operator allows callers is that of the host, which
	// begins to count earlier.
	statedTimeFactor = 2
	// idleTimeout is how long connections may be idle unless an operator allows more.
	idleTimeout = 90 * time.Second

	// fieldBytes is about what a field of a head takes beside its text, while the head is
	// read and as long as the request is in progress.
	fieldBytes = 256
	// headByteCost is about how many bytes a byte of a head takes while it is read.
	headByteCost = 2
	// requestBytes is about what the goroutines and buffers of a caller's request take.
	requestBytes = 16 << 10
	// writePieceBytes is the part of an answer that a caller must accept within the limit
	// for answers that it doesn't read.
	writePieceBytes = 16 << 10
	// refusedRetryAfter is when a caller whose request was refused may return.
	refusedRetryAfter = time.Second
	// logPeriod is the shortest time between two log lines about closed connections.
	logPeriod = time.Second
	// lingerTime is how long an answer that closes its connection may take to reach a caller
	// that has sent further requests, and lingerPeriod how often that is checked.
	lingerTime   = 5 * time.Second
	lingerPeriod = 20 * time.Millisecond
	// fileDescriptors is the number of descriptors that sockets don't use, and callerShare
	// the part of the others that connections of callers may use. The rest is for other
	// clients and for the calls of the system itself.
	fileDescriptors = 200
	callerShare     = 7.0 / 12
	// lookupShare times the limits for callers are those for lookups and readiness checks.
	lookupShare = 1.0 / 7
	// connectionBytes is the memory of the process for each connection of a caller that may
	// be open.
	connectionBytes = 96 << 10
	// heldShare is the part of the memory of the process that is held for callers at most.
	heldShare = 1.0 / 8

	// adminConnections is the largest number of connections of operators and metrics
	// collectors, and adminShare the part of the descriptors that they may use.
	adminConnections = 64
	adminShare       = 1.0 / 16
	// adminHeldShare is the part of the memory of the process that is held for them at most.
	adminHeldShare = 1.0 / 32
	// adminHeadBytes and adminFields are the size of the largest head of their requests and the
	// largest number of lines in it, and adminHeadTimeout is how long it may take.
	adminHeadBytes   = 16 << 10
	adminFields      = 256
	adminHeadTimeout = 5 * time.Second
	// adminAnswerBytes is about the longest answer to them, apart from events.
	adminAnswerBytes = 256 << 10
	// EventBytes is about what an event takes in an answer.
	EventBytes = 512
)

// Answers to heads that are not read on.
const (
	// tooLarge is the answer to a head with more bytes or lines than allowed.
	tooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
	// noRoom is the answer to a head that may not be held. Nothing of its request has run.
	noRoom = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)

// HeadLimits bound the heads of requests and the time between requests. Those of a server may
// be larger but have no effect then.
type HeadLimits struct {
	// Bytes is the size of the largest head, and Fields the largest number of lines in one.
	Bytes, Fields int
	// Timeout is how long a head may take, and IdleTimeout how long a connection may be idle.
	Timeout, IdleTimeout time.Duration
}

// Limits bound what clients can make the process hold.
type Limits struct {
	admit.Limits

	// Heads returns the limits of heads that are in force. It must not block.
	Heads func() HeadLimits
	// RequestBytes is about what a request takes beside its head, its body and an answer
	// that is counted apart.
	RequestBytes int
	// AnswerStall is how long a caller may take no byte of its answer.
	AnswerStall time.Duration
}

// callerHeads returns the limits of heads that settings state.
func callerHeads(settings *config.Settings) HeadLimits {
	return HeadLimits{Bytes: settings.HeadBytesAtMost, Fields: settings.HeadFieldsAtMost, Timeout: settings.HeadTimeout, IdleTimeout: idleTimeout}
}

func fixedHeads(heads HeadLimits) func() HeadLimits {
	return func() HeadLimits { return heads }
}

// WithStated returns limits within which callers may use what an operator allows them. Lower
// limits than those of the settings are not enforced, because a caller measures its head and
// its time in another way than the host.
func (l Limits) WithStated(stated func() table.CallerLimits) Limits {
	own := l.Heads
	l.Heads = func() HeadLimits {
		heads, allowed := own(), stated()
		bytes := min(allowed.HeadBytes, MaxHeadBytes)
		heads.Bytes, heads.Fields = max(heads.Bytes, bytes), max(heads.Fields, bytes/shortestLine)
		heads.Timeout = max(heads.Timeout, statedTimeFactor*allowed.HeadTimeout)
		heads.IdleTimeout = max(heads.IdleTimeout, statedTimeFactor*allowed.IdleTimeout)
		return heads
	}
	return l
}

// NewCallerLimits returns the limits for callers that settings state or imply.
func NewCallerLimits(settings *config.Settings) Limits {
	memory := settings.MemoryMB << 20
	limits := Limits{Heads: fixedHeads(callerHeads(settings)), RequestBytes: requestBytes, AnswerStall: settings.AnswerStall}
	limits.Connections = settings.CallerConnections
	if limits.Connections == 0 {
		limits.Connections = min(int(callerShare*float64(settings.Descriptors-fileDescriptors)), memory/connectionBytes)
	}
	limits.Bytes = settings.CallerBytes
	if limits.Bytes == 0 {
		limits.Bytes = int(heldShare * float64(memory))
	}
	return limits
}

// NewLookupLimits returns the limits for lookups in the directory and readiness checks. They
// are apart from those of callers, so that a host full of requests still answers them.
func NewLookupLimits(settings *config.Settings) Limits {
	limits := NewCallerLimits(settings)
	limits.Connections = max(1, int(lookupShare*float64(limits.Connections)))
	limits.Bytes = int(lookupShare * float64(limits.Bytes))
	return limits
}

// NewAdminLimits returns the limits for operators and metrics collectors that settings imply.
// The whole answer to a request of theirs is held until it is read. Events in it are counted
// apart.
func NewAdminLimits(settings *config.Settings) Limits {
	heads := HeadLimits{Bytes: adminHeadBytes, Fields: adminFields, Timeout: adminHeadTimeout, IdleTimeout: idleTimeout}
	limits := Limits{Heads: fixedHeads(heads), RequestBytes: adminAnswerBytes, AnswerStall: settings.AnswerStall}
	limits.Connections = max(1, min(adminConnections, int(adminShare*float64(settings.Descriptors-fileDescriptors))))
	limits.Bytes = max(int(adminHeldShare*float64(settings.MemoryMB<<20)), 2*(adminAnswerBytes+settings.EventsKept*EventBytes))
	return limits
}

// Gate bounds the connections of clients to one or more HTTP servers, and what is held for
// them. It is safe for concurrent use.
type Gate struct {
	name   string
	limits Limits
	log    *slog.Logger
	lastID atomic.Uint64
	// isCutting is set by Cut.
	isCutting       atomic.Bool
	closed, refused *metrics.Counter

	mu    sync.Mutex
	table *admit.Table
	conns map[uint64]guarded
	// unlogged is the number of connections closed since the last log line, at loggedAt.
	unlogged int
	loggedAt time.Time
}

// New returns a gate without connections, which registers its metrics in a set. Their names
// and its log lines contain the name of its clients, such as caller.
func New(name string, limits Limits, set *metrics.Set, log *slog.Logger) *Gate {
	g := &Gate{
		name:    name,
		limits:  limits,
		log:     log,
		closed:  set.NewCounter("curranttiller_" + name + "_connections_shed_total"),
		refused: set.NewCounter("curranttiller_" + name + "_requests_refused_for_memory_total"),
		conns:   make(map[uint64]guarded),
	}
	g.table = admit.New(limits.Limits, connMeter(g.conns))
	set.NewGauge("curranttiller_"+name+"_connections", func() float64 { return float64(g.count(g.table.Connections)) })
	set.NewGauge("curranttiller_"+name+"_bytes_held", func() float64 { return float64(g.count(g.table.Held)) })
	return g
}

func (g *Gate) count(value func() int) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return value()
}

// Cut makes connections close at once, also those whose caller has not read its answer.
func (g *Gate) Cut() {
	g.isCutting.Store(true)
}

// Follow makes a server tell the gate of its connections and requests. It must be called
// once, after Tracker.Follow and before the server serves a listener of Guard. Requests for
// which there is no room are answered by refuse. If it is nil, as for a server of small
// answers, nothing is counted for requests whose head is whole.
func (g *Gate) Follow(server *http.Server, refuse RefuseFunc) {
	next := server.ConnState
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		if c, ok := conn.(*gatedConn); ok {
			c.connChanged(state)
		}
		if next != nil {
			next(conn, state)
		}
	}
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		if c, ok := conn.(*gatedConn); ok {
			return admit.WithAccount(ctx, c)
		}
		return ctx
	}
	if refuse != nil {
		server.Handler = g.withAccount(server.Handler, refuse)
	}
}

// RefuseFunc answers a request that was refused before a handler got it.
type RefuseFunc func(w http.ResponseWriter, r *http.Request, failed *fault.Error)

// withAccount refuses requests that need more than may be held.
func (g *Gate) withAccount(next http.Handler, refuse RefuseFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := admit.FromContext(r.Context()).(*gatedConn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		c.isPipelining.Store(c.current.bytes == 0 || c.current.isFollowed(r.ContentLength))
		if !c.Hold(g.limits.RequestBytes + headBytes(r)) {
			g.refused.Inc()
			w.Header().Set("Connection", "close")
			refuse(w, r, fault.New(fault.NotRun, http.StatusServiceUnavailable, admit.ReasonMemoryFull).WithRetryAfter(refusedRetryAfter))
			return
		}
		if r.ContentLength != 0 {
			c.enter(admit.Body)
			r.Body = &gatedBody{ReadCloser: r.Body, conn: c}
		}
		next.ServeHTTP(w, r)
	})
}

// headBytes returns about what the head of a request takes beyond a usual one.
func headBytes(r *http.Request) int {
	size := len(r.RequestURI)
	for name, values := range r.Header {
		size += len(name)
		for _, value := range values {
			size += len(value) + fieldBytes
		}
	}
	return size
}

// Guard returns a listener whose connections are bounded.
func (g *Gate) Guard(listener net.Listener) net.Listener {
	return &gatedListener{Listener: listener, open: func(conn net.Conn) (net.Conn, bool) {
		c := &gatedConn{Conn: conn, gate: g, id: g.lastID.Add(1)}
		return c, g.open(c.id, c, conn.RemoteAddr())
	}}
}

type gatedListener struct {
	net.Listener

	// open returns the connection that the server gets, and whether there is room for it.
	open func(conn net.Conn) (net.Conn, bool)
}

// Accept returns the next connection for which there is room.
func (l *gatedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c, ok := l.open(conn); ok {
			return c, nil
		}
		_ = conn.Close()
	}
}

// guarded is a connection whose client may have to give up its place.
type guarded interface {
	progress() admit.Progress
	// shut closes the connection at once.
	shut()
}

// open reports whether there is room for a connection.
func (g *Gate) open(id uint64, conn guarded, remote net.Addr) bool {
	address, _, err := net.SplitHostPort(remote.String())
	if err != nil {
		address = remote.String()
	}
	g.mu.Lock()
	shed, ok := g.table.Open(id, address, time.Now())
	if ok {
		g.conns[id] = conn
	}
	victims := g.take(shed)
	g.mu.Unlock()
	if ok {
		g.closeAll(victims, 0)
	} else {
		g.closeAll(victims, 1)
	}
	return ok
}

// take returns the connections with these ids. It must be called with mu held.
func (g *Gate) take(ids []uint64) []guarded {
	conns := make([]guarded, 0, len(ids))
	for _, id := range ids {
		if c, exists := g.conns[id]; exists {
			conns = append(conns, c)
			delete(g.conns, id)
		}
	}
	return conns
}

// closeAll closes connections that were shed, and counts those that were not opened too.
func (g *Gate) closeAll(conns []guarded, unopened int) {
	for _, c := range conns {
		c.shut()
	}
	count := len(conns) + unopened
	if count == 0 {
		return
	}
	g.closed.Add(count)
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.unlogged += count
	if now.Sub(g.loggedAt) < logPeriod {
		return
	}
	g.log.Warn("connections of clients are closed to stay within the limits", "Clients", g.name, "Closed", g.unlogged, "Open", g.table.Connections(), "BytesHeld", g.table.Held())
	g.unlogged, g.loggedAt = 0, now
}

// connMeter measures the connections of a gate, whose mutex is held.
type connMeter map[uint64]guarded

// Progress implements admit.Meter.
func (m connMeter) Progress(id uint64) admit.Progress {
	c, exists := m[id]
	if !exists {
		return admit.Progress{}
	}
	return c.progress()
}

// gatedConn is a connection of a client. The phase is also held here, so that reads during
// a request need no lock.
type gatedConn struct {
	net.Conn

	gate  *Gate
	id    uint64
	phase atomic.Int32
	// moved is the number of bytes of the body that have been read and of the answer that have
	// been written since the phase began.
	moved atomic.Int64
	// isReading and isWriting are set while a read or a write waits for the client.
	isReading, isWriting atomic.Bool
	// isPipelined says that the caller has sent bytes before it had its answer.
	isPipelined atomic.Bool
	// isClosing is set by the first call of Close.
	isClosing atomic.Bool
	// head is what has arrived of the head of the next request. Only Read uses it, and the
	// server never reads while it changes the phase.
	head headScan
	// current is the same for the request in progress. It is empty if all of the head arrived
	// beside an earlier request.
	current headScan
	// isPipelining says that the request in progress arrived in that way, or with others
	// behind it.
	isPipelining atomic.Bool
}

// progress implements guarded.
func (c *gatedConn) progress() admit.Progress {
	// A read that runs beside an answer only notices that the client closes the connection.
	isRead := c.isReading.Load() && admit.Phase(c.phase.Load()) == admit.Body
	return admit.Progress{IsAwaited: c.isWriting.Load() || isRead, Bytes: c.taken()}
}

// shut implements guarded.
func (c *gatedConn) shut() {
	_ = c.Conn.Close()
}

func (c *gatedConn) enter(phase admit.Phase) {
	if admit.Phase(c.phase.Swap(int32(phase))) == phase {
		return
	}
	c.moved.Store(0)
	c.gate.enter(c.id, phase)
}

func (c *gatedConn) connChanged(state http.ConnState) {
	if state != http.StateActive && state != http.StateIdle {
		return
	}
	c.enter(admit.Idle) // releases the bytes of the head, or those of the request
	if state == http.StateActive {
		c.current, c.head = c.head, headScan{}
		c.isPipelining.Store(false)
		c.enter(admit.Running)
	}
}

// Hold implements admit.Account. It closes other connections if that makes room.
func (c *gatedConn) Hold(size int) bool {
	return c.gate.hold(c.id, size)
}

// Record implements admit.Account.
func (c *gatedConn) Record() admit.Record {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	return admit.Record{IsPipelined: c.isPipelining.Load(), IsAddressLate: c.gate.table.IsAddressLate(c.id, time.Now())}
}

// Yield implements admit.Account.
func (c *gatedConn) Yield() bool {
	c.gate.mu.Lock()
	var victims []guarded
	if c.gate.table.Yield(c.id, time.Now()) {
		victims = c.gate.take([]uint64{c.id})
	}
	c.gate.mu.Unlock()
	c.gate.closeAll(victims, 0)
	return len(victims) > 0
}

// Read implements net.Conn. What arrives of a head counts as held.
func (c *gatedConn) Read(p []byte) (int, error) {
	c.isReading.Store(true)
	n, err := c.Conn.Read(p)
	c.isReading.Store(false)
	if n == 0 {
		return n, err
	}
	switch phase := admit.Phase(c.phase.Load()); phase {
	case admit.Body:
		c.moved.Add(int64(n))
	case admit.Running, admit.Answer:
		c.isPipelined.Store(true)
	case admit.Head, admit.Idle:
		if err := c.readHead(p[:n]); err != nil {
			return 0, err
		}
	}
	return n, err
}

// SetReadDeadline implements net.Conn. While a request is awaited it sets no later time than
// the limits allow.
func (c *gatedConn) SetReadDeadline(t time.Time) error {
	phase := admit.Phase(c.phase.Load())
	if t.IsZero() || (phase != admit.Head && phase != admit.Idle) {
		return c.Conn.SetReadDeadline(t)
	}
	heads := c.gate.limits.Heads()
	latest := time.Now().Add(heads.Timeout)
	if phase == admit.Idle && c.head.bytes == 0 {
		latest = time.Now().Add(heads.IdleTimeout)
	}
	if t.After(latest) {
		t = latest
	}
	return c.Conn.SetReadDeadline(t)
}

// readHead counts a part of a head that has arrived. An error means that it is not read on.
func (c *gatedConn) readHead(part []byte) error {
	lines := c.head.add(part)
	if heads := c.gate.limits.Heads(); c.head.lines > heads.Fields || c.head.bytes-c.head.rest > heads.Bytes+headSlack {
		return c.endHead(tooLarge)
	}
	if !c.Hold(headByteCost*len(part) + lines*fieldBytes) {
		c.gate.refused.Inc()
		return c.endHead(noRoom)
	}
	return nil
}

// endHead answers a head that is not read on. The error makes the server close the connection
// without an answer of its own, which would be status 400.
func (c *gatedConn) endHead(answer string) error {
	_ = c.SetWriteDeadline(time.Now().Add(c.gate.limits.AnswerStall))
	_, _ = io.WriteString(c.Conn, answer)
	return io.EOF
}

// taken returns how much of the body has been read and how much of the answer the client has
// acknowledged. A write to a full send buffer goes on only when much of the buffer is free, so
// what has been written does not show how the client reads.
func (c *gatedConn) taken() int64 {
	return c.moved.Load() - int64(max(queued(c.Conn, sent), 0))
}

// Write implements net.Conn. It fails if the client takes no bytes for too long.
func (c *gatedConn) Write(p []byte) (int, error) {
	written, taken := 0, int64(-1)
	for {
		if phase := admit.Phase(c.phase.Load()); phase == admit.Running || phase == admit.Answer {
			c.enter(admit.Answer)
		}
		if err := c.SetWriteDeadline(time.Now().Add(c.gate.limits.AnswerStall)); err != nil {
			return written, err
		}
		c.isWriting.Store(true)
		n, err := c.Conn.Write(p[written:min(written+writePieceBytes, len(p))])
		c.isWriting.Store(false)
		written += n
		c.moved.Add(int64(n))
		if errors.Is(err, os.ErrDeadlineExceeded) {
			if before := taken; before < c.taken() {
				taken = c.taken()
				continue
			}
		}
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// CloseWrite lets the server end its answers before it closes the connection.
func (c *gatedConn) CloseWrite() error {
	if closer, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return closer.CloseWrite()
	}
	return nil
}

// Close implements net.Conn. If requests may be unread behind the last answer, it first waits
// until the answer has arrived: a close with unread bytes resets the connection and drops
// what is still to be sent.
func (c *gatedConn) Close() error {
	isFirst := c.isClosing.CompareAndSwap(false, true)
	if isFirst && admit.Phase(c.phase.Load()) == admit.Answer && (c.isPipelined.Load() || queued(c.Conn, received) > 0) {
		c.linger()
	}
	c.gate.forget(c.id)
	return c.Conn.Close()
}

// linger ends the answers and drops what the caller sends, until it has them all.
func (c *gatedConn) linger() {
	_ = c.CloseWrite()
	end := time.Now().Add(lingerTime)
	for queued(c.Conn, sent) != 0 && !c.gate.isCutting.Load() && time.Now().Before(end) {
		_ = c.SetReadDeadline(time.Now().Add(lingerPeriod))
		var timeout net.Error
		if _, err := io.Copy(io.Discard, c.Conn); !errors.As(err, &timeout) || !timeout.Timeout() {
			return // the caller has closed the connection
		}
	}
}

// gatedBody is the body of a request, which is whole when a read ends it.
type gatedBody struct {
	io.ReadCloser

	conn *gatedConn
}

// Read implements io.Reader.
func (b *gatedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && admit.Phase(b.conn.phase.Load()) == admit.Body {
		b.conn.enter(admit.Running)
	}
	return n, err
}
