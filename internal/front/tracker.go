package front

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// cutAnswerTimeout is how long the answers to requests that are cut may take to reach
	// their callers.
	cutAnswerTimeout = 200 * time.Millisecond
	// flushTimeout is how long a server waits for the connections of requests whose
	// handlers have returned.
	flushTimeout = 100 * time.Millisecond
)

// Tracker follows the requests of one HTTP server, so that each gets an answer before the
// server stops. http.Server.Shutdown alone closes the connections of requests that arrive
// during the stop, and of those that are too slow. It is safe for concurrent use.
type Tracker struct {
	mu     sync.Mutex
	active int
	// idle is closed when active falls to zero, and nil unless Stop waits for that.
	idle chan struct{}

	// cut is done when the bodies that still arrive must be given up.
	cut   context.Context
	abort context.CancelFunc
}

// NewTracker returns a tracker without requests.
func NewTracker() *Tracker {
	t := &Tracker{}
	t.cut, t.abort = context.WithCancel(context.Background())
	return t
}

// Handler returns a handler whose requests the tracker follows.
func (t *Tracker) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		t.begin()
		defer t.end()
		if r.ContentLength != 0 {
			// A blocked read of the body ends with an error when the server cuts its requests.
			controller := http.NewResponseController(w)
			unregister := context.AfterFunc(t.cut, func() { _ = controller.SetReadDeadline(time.Now()) })
			defer unregister()
		}
		next.ServeHTTP(w, r)
	})
}

func (t *Tracker) begin() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.active++
}

func (t *Tracker) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.active--
	if t.active == 0 && t.idle != nil {
		close(t.idle)
		t.idle = nil
	}
}

// waitIdle waits until there is no request or the time is over. It reports whether there is none.
func (t *Tracker) waitIdle(wait time.Duration) bool {
	t.mu.Lock()
	if t.active == 0 {
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

// Stop closes the listener and the idle connections of a server, and waits for its
// requests until a given time. Then it calls cut, which must make the handlers answer
// their requests, and gives up the bodies that still arrive. At last it closes the
// connections. It returns after at most 300 ms beyond the given time.
func (t *Tracker) Stop(server *http.Server, listener net.Listener, end time.Time, cut func()) {
	_ = listener.Close()
	server.SetKeepAlivesEnabled(false)
	if !t.waitIdle(time.Until(end)) {
		cut()
		t.abort()
		t.waitIdle(cutAnswerTimeout)
	}
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	if server.Shutdown(ctx) != nil {
		_ = server.Close()
	}
}
