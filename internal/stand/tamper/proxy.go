package tamper

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	readHeaderTimeout = 5 * time.Second
	bufferBytes       = 32 << 10
	dialTimeout       = 2 * time.Second
	// redialPeriod is the time between attempts to connect to a destination that refused a connection.
	redialPeriod = 20 * time.Millisecond
)

// Fault states the faults of a route. Its zero value removes the faults, except that
// silenced connections stay silent.
type Fault struct {
	// Route is the name of the route. If it is empty, the fault applies to every route.
	Route string
	// Cut closes all connections and closes new ones at once until it is reset.
	Cut bool
	// Silence drops all further data of the connections that are open now, in both
	// directions. When one end closes such a connection, the other end is not notified.
	Silence bool
	// DropReplies forwards requests and closes the connection when the reply arrives.
	DropReplies bool
	// DelayMicros is the delay in µs that is added in each direction.
	DelayMicros int64
}

// Proxy forwards the connections of its routes. It is safe for concurrent use.
type Proxy struct {
	mu      sync.Mutex
	routes  map[string]*route
	running sync.WaitGroup
}

// route is a listener and the address to which its connections are forwarded.
type route struct {
	name        string
	destination string
	listener    net.Listener

	mu     sync.Mutex
	fault  Fault
	pairs  map[*connectionPair]bool
	closed bool
}

// connectionPair is an accepted connection and the connection to the destination
// with which the proxy exchanges its data.
type connectionPair struct {
	inbound, outbound net.Conn
	silenced          chan struct{}
	silenceOnce       sync.Once
}

// New returns a proxy without routes.
func New() *Proxy {
	return &Proxy{routes: make(map[string]*route)}
}

// Add adds a route that forwards the connections of a listener to a destination.
func (p *Proxy) Add(name string, listener net.Listener, destination string) {
	r := &route{name: name, destination: destination, listener: listener, pairs: make(map[*connectionPair]bool)}
	p.mu.Lock()
	p.routes[name] = r
	p.mu.Unlock()
	p.running.Go(func() { p.accept(r) })
}

// Close closes the listeners and connections of all routes and waits until they have ended.
func (p *Proxy) Close() {
	p.mu.Lock()
	for _, r := range p.routes {
		r.closeAll()
	}
	p.mu.Unlock()
	p.running.Wait()
}

// Apply replaces the faults of the route fault.Route, or of all routes if that name is empty.
func (p *Proxy) Apply(fault Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, r := range p.routes {
		if fault.Route == "" || fault.Route == name {
			r.apply(fault)
		}
	}
}

// ServeHTTP applies a Fault that it receives as JSON.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var fault Fault
	if err := json.NewDecoder(r.Body).Decode(&fault); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.Apply(fault)
	_, _ = io.WriteString(w, "{}")
}

// ServeControl serves ServeHTTP on a listener until the listener is closed.
func (p *Proxy) ServeControl(listener net.Listener) error {
	server := &http.Server{Handler: p, ReadHeaderTimeout: readHeaderTimeout}
	return server.Serve(listener)
}

func (r *route) apply(fault Fault) {
	r.mu.Lock()
	r.fault = fault
	pairs := make([]*connectionPair, 0, len(r.pairs))
	for pair := range r.pairs {
		pairs = append(pairs, pair)
	}
	r.mu.Unlock()
	for _, pair := range pairs {
		if fault.Silence {
			pair.silence()
		}
		if fault.Cut {
			pair.close()
		}
	}
}

func (r *route) closeAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	_ = r.listener.Close()
	for pair := range r.pairs {
		_ = pair.inbound.Close()
		_ = pair.outbound.Close()
		pair.silence()
	}
}

func (r *route) currentFault() Fault {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fault
}

func (c *connectionPair) silence() {
	c.silenceOnce.Do(func() { close(c.silenced) })
}

func (c *connectionPair) close() {
	_ = c.inbound.Close()
	_ = c.outbound.Close()
}

// accept forwards the connections of a route. If the destination refuses a
// connection, accept closes the client's connection. It also closes the listener until
// the destination accepts again, so that later connections are refused as they would
// be without the proxy.
func (p *Proxy) accept(r *route) {
	for {
		inbound, err := r.listener.Accept()
		if err != nil && !r.awaitDestination() {
			return
		}
		if err != nil {
			continue
		}
		if r.currentFault().Cut {
			_ = inbound.Close()
			continue
		}
		outbound, err := dial(r.destination)
		if err != nil {
			_ = inbound.Close()
			_ = r.listener.Close()
			continue
		}
		p.running.Go(func() { r.forward(inbound, outbound) })
	}
}

func dial(address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	return dialer.DialContext(context.Background(), "tcp", address)
}

// awaitDestination waits until the destination accepts connections and then listens
// again. It returns false if the proxy was closed.
func (r *route) awaitDestination() bool {
	var config net.ListenConfig
	for {
		r.mu.Lock()
		isClosed := r.closed
		r.mu.Unlock()
		if isClosed {
			return false
		}
		if probe, err := dial(r.destination); err == nil {
			_ = probe.Close()
			listener, err := config.Listen(context.Background(), "tcp", r.listener.Addr().String())
			if err == nil {
				return r.replaceListener(listener)
			}
		}
		time.Sleep(redialPeriod)
	}
}

// replaceListener sets a new listener. It returns false if the proxy was closed in the meantime.
func (r *route) replaceListener(listener net.Listener) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		_ = listener.Close()
		return false
	}
	r.listener = listener
	return true
}

func (r *route) forward(inbound, outbound net.Conn) {
	pair := &connectionPair{inbound: inbound, outbound: outbound, silenced: make(chan struct{})}
	r.mu.Lock()
	r.pairs[pair] = true
	r.mu.Unlock()
	var copying sync.WaitGroup
	copying.Go(func() { r.copyOneWay(pair, outbound, inbound, false) })
	copying.Go(func() { r.copyOneWay(pair, inbound, outbound, true) })
	copying.Wait()
	pair.close()
	r.mu.Lock()
	delete(r.pairs, pair)
	r.mu.Unlock()
}

// chunk is data that was read, with the time at which it has to be written.
type chunk struct {
	data      []byte
	deliverAt time.Time
}

// copyOneWay forwards one direction of a connection. A silenced connection drops its
// data but stays open. isReply is set for the direction from the destination.
func (r *route) copyOneWay(pair *connectionPair, to, from net.Conn, isReply bool) {
	chunks := make(chan chunk, 1024)
	var writing sync.WaitGroup
	writing.Go(func() { r.writeChunks(pair, to, chunks, isReply) })
	for {
		buffer := make([]byte, bufferBytes)
		n, err := from.Read(buffer)
		if n > 0 {
			delay := time.Duration(r.currentFault().DelayMicros) * time.Microsecond
			chunks <- chunk{data: buffer[:n], deliverAt: time.Now().Add(delay)}
		}
		if err != nil {
			break
		}
	}
	close(chunks)
	writing.Wait()
	select {
	case <-pair.silenced:
		// The end of the stream is not forwarded on a silenced connection either.
	default:
		if conn, ok := to.(*net.TCPConn); ok {
			_ = conn.CloseWrite()
		}
	}
}

func (r *route) writeChunks(pair *connectionPair, to net.Conn, chunks <-chan chunk, isReply bool) {
	for next := range chunks {
		if wait := time.Until(next.deliverAt); wait > 0 {
			time.Sleep(wait)
		}
		select {
		case <-pair.silenced:
			continue
		default:
		}
		if isReply && r.currentFault().DropReplies {
			pair.close()
			continue
		}
		_, _ = to.Write(next.data)
	}
}
