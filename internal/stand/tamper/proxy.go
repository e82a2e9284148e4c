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
	// redialPeriod is how often a refused destination is tried again.
	redialPeriod = 20 * time.Millisecond
)

// Fault is a fault of a route.
type Fault struct {
	// Route names the route; empty means every one.
	Route string
	// Cut closes all connections and refuses new ones until it is reset.
	Cut bool
	// Silence makes the connections that are open now carry nothing any more, in either direction, for good.
	Silence bool
	// DropReplies passes on requests and closes the connection in place of the reply.
	DropReplies bool
	// DelayMicros delays every piece of data one way, in µs.
	DelayMicros int64
}

// Proxy carries connections along its routes; it is safe for concurrent use.
type Proxy struct {
	mu      sync.Mutex
	routes  map[string]*route
	running sync.WaitGroup
}

// route is one listener and its destination.
type route struct {
	name        string
	destination string
	listener    net.Listener

	mu     sync.Mutex
	fault  Fault
	pairs  map[*connectionPair]bool
	closed bool
}

// connectionPair is a connection and its continuation.
type connectionPair struct {
	inbound, outbound net.Conn
	silenced          chan struct{}
	silenceOnce       sync.Once
}

// New returns a proxy without routes.
func New() *Proxy {
	return &Proxy{routes: make(map[string]*route)}
}

// Add serves a listener as a route to a destination.
func (p *Proxy) Add(name string, listener net.Listener, destination string) {
	r := &route{name: name, destination: destination, listener: listener, pairs: make(map[*connectionPair]bool)}
	p.mu.Lock()
	p.routes[name] = r
	p.mu.Unlock()
	p.running.Go(func() { p.accept(r) })
}

// Close closes every connection and waits for the routes to end.
func (p *Proxy) Close() {
	p.mu.Lock()
	for _, r := range p.routes {
		r.closeAll()
	}
	p.mu.Unlock()
	p.running.Wait()
}

// Apply puts a fault in force on its route.
func (p *Proxy) Apply(action Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, r := range p.routes {
		if action.Route == "" || action.Route == name {
			r.apply(action)
		}
	}
}

// ServeHTTP takes actions as JSON, for the control address.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var action Fault
	if err := json.NewDecoder(r.Body).Decode(&action); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.Apply(action)
	_, _ = io.WriteString(w, "{}")
}

// ServeControl serves actions on a listener.
func (p *Proxy) ServeControl(listener net.Listener) error {
	server := &http.Server{Handler: p, ReadHeaderTimeout: readHeaderTimeout}
	return server.Serve(listener)
}

func (r *route) apply(action Fault) {
	r.mu.Lock()
	r.fault = action
	pairs := make([]*connectionPair, 0, len(r.pairs))
	for open := range r.pairs {
		pairs = append(pairs, open)
	}
	r.mu.Unlock()
	for _, open := range pairs {
		if action.Silence {
			open.silence()
		}
		if action.Cut {
			open.close()
		}
	}
}

func (r *route) closeAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	_ = r.listener.Close()
	for open := range r.pairs {
		_ = open.inbound.Close()
		_ = open.outbound.Close()
		open.silence()
	}
}

func (r *route) currentFault() Fault {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fault
}

func (o *connectionPair) silence() {
	o.silenceOnce.Do(func() { close(o.silenced) })
}

func (o *connectionPair) close() {
	_ = o.inbound.Close()
	_ = o.outbound.Close()
}

// accept takes connections while the destination does. A destination that
// refuses connections makes the route refuse them too, as without a proxy.
func (p *Proxy) accept(r *route) {
	for {
		near, err := r.listener.Accept()
		if err != nil && !r.awaitDestination() {
			return
		}
		if err != nil {
			continue
		}
		if r.currentFault().Cut {
			_ = near.Close()
			continue
		}
		far, err := dial(r.destination)
		if err != nil {
			_ = near.Close()
			_ = r.listener.Close()
			continue
		}
		p.running.Go(func() { r.forward(near, far) })
	}
}

func dial(address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	return dialer.DialContext(context.Background(), "tcp", address)
}

// awaitDestination waits until the destination accepts connections and listens again; false means that the proxy is closed.
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

// replaceListener puts a new listener in place, unless the proxy was closed meanwhile.
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

func (r *route) forward(near, far net.Conn) {
	o := &connectionPair{inbound: near, outbound: far, silenced: make(chan struct{})}
	r.mu.Lock()
	r.pairs[o] = true
	r.mu.Unlock()
	var copying sync.WaitGroup
	copying.Go(func() { r.copyOneWay(o, far, near, false) })
	copying.Go(func() { r.copyOneWay(o, near, far, true) })
	copying.Wait()
	o.close()
	r.mu.Lock()
	delete(r.pairs, o)
	r.mu.Unlock()
}

// chunk is data on its way, with the time at which it arrives.
type chunk struct {
	data      []byte
	deliverAt time.Time
}

// copyOneWay carries one direction. A silent pair swallows data but stays open.
func (r *route) copyOneWay(o *connectionPair, to, from net.Conn, isReply bool) {
	pieces := make(chan chunk, 1024)
	var writing sync.WaitGroup
	writing.Go(func() { r.writeChunks(o, to, pieces, isReply) })
	for {
		buffer := make([]byte, bufferBytes)
		n, err := from.Read(buffer)
		if n > 0 {
			delay := time.Duration(r.currentFault().DelayMicros) * time.Microsecond
			pieces <- chunk{data: buffer[:n], deliverAt: time.Now().Add(delay)}
		}
		if err != nil {
			break
		}
	}
	close(pieces)
	writing.Wait()
	select {
	case <-o.silenced:
		// The end of a silent connection is not passed on either.
	default:
		if half, ok := to.(*net.TCPConn); ok {
			_ = half.CloseWrite()
		}
	}
}

func (r *route) writeChunks(o *connectionPair, to net.Conn, pieces <-chan chunk, isReply bool) {
	for next := range pieces {
		if wait := time.Until(next.deliverAt); wait > 0 {
			time.Sleep(wait)
		}
		select {
		case <-o.silenced:
			continue
		default:
		}
		if isReply && r.currentFault().DropReplies {
			o.close()
			continue
		}
		_, _ = to.Write(next.data)
	}
}
