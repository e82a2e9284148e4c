package front

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"gitlab.com/curranttiller/curranttiller/internal/gate"
	"gitlab.com/curranttiller/curranttiller/internal/route"
	"gitlab.com/curranttiller/curranttiller/pkg/caller"
	"gitlab.com/curranttiller/curranttiller/pkg/fault"
	"gitlab.com/curranttiller/curranttiller/pkg/header"
)

const (
	idleTimeout       = 60 * time.Second
	servicePrefix     = "/svc/"
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
	// bodyReadGrace is how long after its deadline the body of a request is still read.
	bodyReadGrace = time.Second
)

// Handler answers the requests of callers.
type Handler interface {
	// Serve answers a request for a service. An error means that the answer broke off
	// after its header was sent.
	Serve(ctx context.Context, request *route.Request, w http.ResponseWriter) error
	// Directory returns the entry hosts that a caller in a failure domain should use for a
	// service. Errors are a *fault.Error.
	Directory(service, failureDomain string) (caller.Directory, error)
	// DefaultDeadline returns the time limit of a request that states none.
	DefaultDeadline(service string) time.Duration
	// EndRequests makes all requests without an answer end at once.
	EndRequests()
}

// Limits bound each request.
type Limits struct {
	// Deadline is the longest time limit of a request. Callers that state a longer one
	// get this one.
	Deadline time.Duration
	// BodyBytes is the size of the largest body. Requests with a larger one are refused.
	BodyBytes int64
	// HeadBytes and HeadTimeout limit the head of a request.
	HeadBytes   int
	HeadTimeout time.Duration
}

// Server is an HTTP server for callers.
type Server struct {
	handler Handler
	limits  Limits
	log     *slog.Logger
	http    *http.Server
	tracker *Tracker
	gate    *gate.Gate
	// listener is nil before Start.
	listener net.Listener
	done     sync.WaitGroup
}

// NewServer returns a server that is not started yet, whose connections a gate bounds.
func NewServer(handler Handler, limits Limits, callers *gate.Gate, log *slog.Logger) *Server {
	s := &Server{handler: handler, limits: limits, gate: callers, log: log, tracker: NewTracker()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /tiller/directory", s.serveDirectory)
	mux.HandleFunc(servicePrefix, s.serveRequest)
	s.http = &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: limits.HeadTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    limits.HeadBytes,
		ErrorLog:          slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	s.tracker.Follow(s.http)
	callers.Follow(s.http, func(w http.ResponseWriter, r *http.Request, failed *fault.Error) { refuse(w, r, rand.Text(), failed) })
	return s
}

// Listen listens on a TCP address. Keep-alive packets detect connections whose caller no
// longer responds.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{
		Enable:   true,
		Idle:     keepAliveIdle,
		Interval: keepAliveInterval,
		Count:    keepAliveCount,
	}}
	return config.Listen(ctx, "tcp", address)
}

// Start accepts connections from a listener until Close. It does not block.
func (s *Server) Start(listener net.Listener) {
	s.listener = listener
	s.done.Go(func() {
		if err := s.http.Serve(s.gate.Guard(listener)); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			s.log.Error("HTTP server for callers stopped with an error", "Error", err.Error())
		}
	})
}

// Leave is called before the entry host shuts down. It does nothing, because callers that
// speak the project's own protocol see in the directory that a host leaves.
func (s *Server) Leave() {}

// Close refuses new connections and lets the requests in progress finish until end. Then
// it has the handler answer those that are still in progress.
func (s *Server) Close(end time.Time) {
	if s.listener != nil {
		s.tracker.Stop(s.http, s.listener, end, func() {
			s.gate.Cut()
			s.handler.EndRequests()
		})
	}
	s.done.Wait()
}

func (s *Server) serveDirectory(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	answer, err := s.handler.Directory(query.Get("service"), query.Get("failureDomain"))
	if err != nil {
		route.WriteFault(w, rand.Text(), route.AsFault(err))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
}

func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	id := rand.Text()
	request, failed := s.parseRequest(id, r)
	if failed != nil {
		s.log.Debug("caller's request refused", "Request", id, "Reason", failed.Reason)
		refuse(w, r, id, failed)
		return
	}
	request.Body = LimitBody(w, r.Body, s.limits.BodyBytes)
	if r.ContentLength != 0 {
		// Stops reading a body that arrives too slowly.
		if err := http.NewResponseController(w).SetReadDeadline(request.Deadline.Add(bodyReadGrace)); err != nil {
			s.log.Warn("setting the read deadline of a request body failed", "Error", err.Error())
		}
	}
	if err := s.handler.Serve(r.Context(), request, w); err != nil {
		// The header has been sent, so the connection must be aborted to show the caller
		// that the answer is truncated.
		panic(http.ErrAbortHandler)
	}
}

// refuse answers a request that is not passed on.
func refuse(w http.ResponseWriter, r *http.Request, id string, failed *fault.Error) {
	if r.Header.Get(header.IdempotencyKey) != "" {
		// An earlier submission with the key may have run. Only the home of the key, the
		// entry host that records its requests, can exclude that.
		failed = failed.WithVerdict(fault.MayHaveRun)
	}
	route.WriteFault(w, id, failed)
}

func (s *Server) parseRequest(id string, r *http.Request) (*route.Request, *fault.Error) {
	service, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, servicePrefix), "/")
	if r.ContentLength > s.limits.BodyBytes {
		return nil, fault.New(fault.NotRun, http.StatusRequestEntityTooLarge, "BodyTooLarge")
	}
	timeout, failed := s.parseTimeout(service, r)
	if failed != nil {
		return nil, failed
	}
	depth, failed := parseDepth(r)
	if failed != nil {
		return nil, failed
	}
	request := &route.Request{
		ID:            id,
		Service:       service,
		Method:        r.Method,
		URI:           "/" + strings.TrimPrefix(strings.TrimPrefix(r.URL.RequestURI(), servicePrefix+service), "/"),
		Header:        route.EndToEnd(r.Header),
		ContentLength: r.ContentLength,
		Deadline:      time.Now().Add(timeout),
	}
	request.Header.Set("Host", r.Host)
	request.Header.Set(header.RequestID, id)
	request.Header.Set(header.Depth, strconv.Itoa(depth+1))
	return request, nil
}

// parseTimeout returns the time limit that a request states, or else the default of the
// service, but at most the limit of the server.
func (s *Server) parseTimeout(service string, r *http.Request) (time.Duration, *fault.Error) {
	text := r.Header.Get(header.DeadlineMillis)
	if text == "" {
		return min(s.handler.DefaultDeadline(service), s.limits.Deadline), nil
	}
	millis, err := strconv.ParseInt(text, 10, 32)
	if err != nil || millis < 0 {
		return 0, fault.New(fault.NotRun, http.StatusBadRequest, "BadDeadline")
	}
	if millis == 0 {
		return 0, fault.New(fault.NotRun, http.StatusGatewayTimeout, "DeadlinePassed")
	}
	return min(time.Duration(millis)*time.Millisecond, s.limits.Deadline), nil
}

// parseDepth returns how many entry hosts the chain of calls that led to the request has
// passed. Its limit stops calls that loop.
func parseDepth(r *http.Request) (int, *fault.Error) {
	text := r.Header.Get(header.Depth)
	if text == "" {
		return 0, nil
	}
	depth, err := strconv.Atoi(text)
	if err != nil || depth < 0 {
		return 0, fault.New(fault.NotRun, http.StatusBadRequest, "BadDepth")
	}
	if depth >= header.MaxDepth {
		return 0, fault.New(fault.NotRun, http.StatusLoopDetected, "CallChainTooDeep")
	}
	return depth, nil
}
