package admin

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/pprof"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"gitlab.com/curranttiller/curranttiller/internal/gate"
	"gitlab.com/curranttiller/curranttiller/pkg/admit"
	"gitlab.com/curranttiller/curranttiller/pkg/event"
	"gitlab.com/curranttiller/curranttiller/pkg/fault"
)

const (
	closeTimeout = time.Second
	// refusedRetryAfterSeconds is when a client may return for whose request there was no room.
	refusedRetryAfterSeconds = "1"
)

// Handler supplies the state of an entry host.
type Handler interface {
	Status() Status
	Documents() Documents
	// Events returns the stored events that the filter selects, oldest first.
	Events(filter event.Filter) []event.Event
	// Explain says what would happen to a request, which isn't sent.
	Explain(query ExplainQuery) Explanation
	Metrics() *metrics.Set
}

// Server is the HTTP server for operators.
type Server struct {
	handler Handler
	host    string
	http    *http.Server
	gate    *gate.Gate
	done    sync.WaitGroup
}

// NewServer returns a server that is not started yet, whose connections a gate bounds. host is
// the name of the entry host. withPprof adds the endpoints of net/http/pprof for profiles.
func NewServer(host string, handler Handler, operators *gate.Gate, withPprof bool) *Server {
	s := &Server{handler: handler, host: host, gate: operators}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /tiller/status", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, handler.Status()) })
	mux.HandleFunc("GET /tiller/documents", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, handler.Documents()) })
	mux.HandleFunc("GET /tiller/events", s.serveEvents)
	mux.HandleFunc("GET /tiller/explain", s.serveExplanation)
	mux.HandleFunc("GET /metrics", s.serveMetrics)
	if withPprof {
		mux.HandleFunc("GET /debug/pprof/", pprof.Index)
		mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	}
	// The gate applies the limits of operators.
	s.http = &http.Server{Handler: mux, ReadHeaderTimeout: gate.MaxHeadTime, IdleTimeout: gate.MaxHeadTime, MaxHeaderBytes: gate.MaxHeadBytes}
	operators.Follow(s.http, refuse)
	return s
}

// refuse answers a request for which there is no room.
func refuse(w http.ResponseWriter, _ *http.Request, failed *fault.Error) {
	w.Header().Set("Retry-After", refusedRetryAfterSeconds)
	http.Error(w, failed.Reason, failed.Status)
}

// Start accepts connections from a listener until Close. It does not block.
func (s *Server) Start(listener net.Listener) {
	s.done.Go(func() { _ = s.http.Serve(s.gate.Guard(listener)) })
}

// Close stops the server. It waits up to closeTimeout for requests in progress.
func (s *Server) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if s.http.Shutdown(ctx) != nil {
		s.gate.Cut()
		_ = s.http.Close()
	}
	s.done.Wait()
}

func writeJSON[T any](w http.ResponseWriter, answer T) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
}

func (s *Server) serveEvents(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	filter := event.Filter{
		Service: query.Get("service"),
		Target:  query.Get("target"),
		Request: query.Get("request"),
		Kind:    query.Get("kind"),
	}
	events := s.handler.Events(filter)
	if !admit.FromContext(r.Context()).Hold(len(events) * gate.EventBytes) {
		refuse(w, r, fault.New(fault.NotRun, http.StatusServiceUnavailable, admit.ReasonMemoryFull))
		return
	}
	writeJSON(w, Events{Host: s.host, NowUnixNanos: time.Now().UnixNano(), Events: events})
}

func (s *Server) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	s.handler.Metrics().WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}
