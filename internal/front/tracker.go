package front

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// cutAnswerTimeout is how long the answers to requests that are cut may take to reach
// their callers.
const cutAnswerTimeout = 200 * time.Millisecond

// Tracker follows the connections of one HTTP server, so that each request that it has
// read gets an answer before it stops. http.Server.Shutdown alone closes connections on
// which a request arrives during the stop, and gives no answer to requests that are too
// slow. It is safe for concurrent use.
type Tracker struct {
	isStopping atomic.Bool

	mu sync.Mutex
	// active are the connections with a request that has been read and whose answer has not
	// been written.
	active map[net.Conn]bool
	// idle is closed when active becomes empty, and nil unless Stop waits for that.
	idle chan struct{}

	// cut is done when the bodies that still arrive must be given up.
	cut   context.Context
	abort context.CancelFunc
}

// NewTracker returns a tracker without connections.
func NewTracker() *Tracker {
	t := &Tracker{active: make(map[net.Conn]bool)}
	t.cut, t.abort = context.WithCancel(context.Background())
	return t
}

// Follow makes a server tell the tracker of its connections and requests. It must be called
// once, when the server has its handler and before it serves.
func (t *Tracker) Follow(server *http.Server) {
	server.ConnState = t.connChanged
	server.Handler = t.withStop(server.Handler)
}

// connChanged is called before a request that has been read gets to its handler, and after
// its answer was written.
func (t *Tracker) connChanged(conn net.Conn, state http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if state == http.StateActive {
		t.active[conn] = true
		return
	}
	delete(t.active, conn)
	if len(t.active) == 0 && t.idle != nil {
		close(t.idle)
		t.idle = nil
	}
}

// withStop returns a handler that ends connections with their answer during a stop, and
// gives up the body of a request when the server cuts its requests.
func (t *Tracker) withStop(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			controller := http.NewResponseController(w)
			unregister := context.AfterFunc(t.cut, func() { _ = controller.SetReadDeadline(time.Now()) })
			defer unregister()
		}
		next.ServeHTTP(&stopWriter{ResponseWriter: w, isStopping: &t.isStopping}, r)
	})
}

// stopWriter is an http.ResponseWriter that ends the connection with an answer that begins
// during the stop.
type stopWriter struct {
	http.ResponseWriter

	isStopping *atomic.Bool
}

// WriteHeader implements http.ResponseWriter.
func (w *stopWriter) WriteHeader(status int) {
	w.endConnection()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *stopWriter) Write(p []byte) (int, error) {
	w.endConnection()
	return w.ResponseWriter.Write(p)
}

// Unwrap returns the writer of the server, for http.ResponseController.
func (w *stopWriter) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}

// endConnection has no effect once the header is written.
func (w *stopWriter) endConnection() {
	if w.isStopping.Load() {
		w.Header().Set("Connection", "close")
	}
}

// LimitBody returns a body of a request that fails beyond a number of bytes. The server
// then closes the connection, which it only does if http.MaxBytesReader gets its own writer.
func LimitBody(w http.ResponseWriter, body io.ReadCloser, limit int64) io.ReadCloser {
	if wrapped, ok := w.(*stopWriter); ok {
		w = wrapped.ResponseWriter
	}
	return http.MaxBytesReader(w, body, limit)
}

// waitIdle waits until no connection is active or the time is over. It reports whether none is.
func (t *Tracker) waitIdle(wait time.Duration) bool {
	t.mu.Lock()
	if len(t.active) == 0 {
		t.mu.Unlock()
		return true
	}
	if t.idle == nil {
		t.idle = make(chan struct{})
	}
	idle := t.idle
	t.mu.Unlock()
	timer := time.NewTimer(max(wait, 0))
	defer timer.Stop()
	select {
	case <-idle:
		return true
	case <-timer.C:
		return false
	}
}

// Stop closes the listener of a server, waits for its requests until a given time, and
// closes the connections. Requests on open connections are served meanwhile. At the given
// time it calls cut, which must make the handlers answer their requests, and gives up the
// bodies that still arrive. It returns after at most 200 ms beyond that time.
func (t *Tracker) Stop(server *http.Server, listener net.Listener, end time.Time, cut func()) {
	t.isStopping.Store(true)
	_ = listener.Close()
	t.waitUntil(end, cut)
	// With a context that is done, Shutdown only closes the idle connections. From before it
	// does so, the server drops the requests that it reads, and those that it has read by
	// then count as active.
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = server.Shutdown(ctx)
	t.waitUntil(end, cut)
	_ = server.Close()
}

// waitUntil waits for the active connections, and cuts their requests at the given time.
func (t *Tracker) waitUntil(end time.Time, cut func()) {
	if t.waitIdle(time.Until(end)) {
		return
	}
	cut()
	t.abort()
	t.waitIdle(time.Until(end.Add(cutAnswerTimeout)))
}
