package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"gitlab.com/curranttiller/curranttiller/internal/route"
	"gitlab.com/curranttiller/curranttiller/pkg/choose"
	"gitlab.com/curranttiller/curranttiller/pkg/event"
	"gitlab.com/curranttiller/curranttiller/pkg/fault"
	"gitlab.com/curranttiller/curranttiller/pkg/header"
	"gitlab.com/curranttiller/curranttiller/pkg/settle"
	"gitlab.com/curranttiller/curranttiller/pkg/spec"
)

const (
	// forwardSuspect is how long a forwarded request may go unanswered before its connection is tested.
	forwardSuspect = 150 * time.Millisecond
	// forwardTest is how long the test may take.
	forwardTest = 250 * time.Millisecond
)

// Serve answers one request of a caller or of another entry host. It returns
// route.ErrCut if the answer broke off after its head, and nil otherwise.
func (d *Daemon) Serve(ctx context.Context, request *route.Request, w http.ResponseWriter) error {
	if request.Terms != nil {
		return d.serveRouted(ctx, request, w)
	}
	w.Header().Set(header.RequestID, request.ID)
	err := d.serve(ctx, request, w)
	if err == nil || errors.Is(err, route.ErrCut) {
		return err
	}
	failed := route.AsFault(err)
	d.noteFault(request, failed)
	route.WriteFault(w, request.ID, failed)
	return nil
}

// serveRouted serves a request that a route has brought to its service, at this
// host. Errors are route.ErrCut or *fault.Error; the latter is left to the caller's door.
func (d *Daemon) serveRouted(ctx context.Context, request *route.Request, w http.ResponseWriter) error {
	s, err := d.lookup(request)
	if err == nil {
		err = s.run(ctx, request, w)
	}
	if err == nil || errors.Is(err, route.ErrCut) {
		return err
	}
	failed := route.AsFault(err)
	d.noteFault(request, failed)
	return failed
}

func (d *Daemon) noteFault(request *route.Request, failed *fault.Error) {
	d.events.Add(event.Event{Kind: "RequestFailed", Service: request.Service, Request: request.ID, Cause: failed.Error()})
	d.logRefused(request, failed)
	d.metrics.GetOrCreateCounter(`curranttiller_faults_total{verdict="` + failed.Verdict.String() + `",reason="` + failed.Reason + `"}`).Inc()
}

// serve settles keyed requests before anything else can refuse them: a refusal
// as not run speaks for every submission of a key, so only the home may give it.
func (d *Daemon) serve(ctx context.Context, request *route.Request, w http.ResponseWriter) error {
	if !request.IsKeyed() {
		return d.serveUnkeyed(ctx, request, w)
	}
	key, valid := settle.ParseKey(request.Header.Get(header.IdempotencyKey))
	if !valid {
		return fault.New(fault.NotRun, http.StatusBadRequest, "KeyWithoutToken")
	}
	if key.Host == d.settings.Name && key.Incarnation == d.incarnation {
		return d.serveKeyed(ctx, request, key, w)
	}
	return d.passToHome(ctx, request, key, w)
}

// lookup returns the service of a request, or why it is not served here.
func (d *Daemon) lookup(request *route.Request) (*service, error) {
	if d.isIsolated(time.Now()) {
		return nil, fault.New(fault.NotRun, http.StatusServiceUnavailable, "Isolated")
	}
	if !spec.IsName(request.Service) {
		return nil, fault.New(fault.NotRun, http.StatusNotFound, "UnknownService")
	}
	if !request.Deadline.IsZero() && !time.Now().Before(request.Deadline) {
		return nil, fault.New(fault.NotRun, http.StatusGatewayTimeout, choose.ReasonDeadline)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.ready {
		return nil, fault.New(fault.NotRun, http.StatusServiceUnavailable, "DocumentsUnknown")
	}
	s, found := d.services[request.Service]
	if !found {
		return nil, fault.New(fault.NotRun, http.StatusNotFound, "UnknownService")
	}
	return s, nil
}

// serveUnkeyed serves a request that has no home: here if this host holds the
// service, and otherwise at a holder if one can be reached.
func (d *Daemon) serveUnkeyed(ctx context.Context, request *route.Request, w http.ResponseWriter) error {
	s, err := d.lookup(request)
	if err != nil {
		return err
	}
	address := d.holderElsewhere(s, request.Header.Get(header.Avoid))
	if address == "" || request.Forwarded {
		return s.run(ctx, request, w)
	}
	body, err := newReplayBody(request)
	if err != nil {
		return fault.Wrap(err, fault.NotRun, http.StatusBadRequest, "BodyUnreadable")
	}
	request.Body = body.reader()
	err = d.forward(ctx, address, request, w)
	if !isUnsent(err) && (!request.IsIdempotent() || !isUnanswered(err)) {
		return err
	}
	if !body.isReplayable() {
		return err
	}
	request.Body = body.reader()
	return s.run(ctx, request, w)
}

// isUnanswered reports whether a forwarded request failed before any part of an answer.
func isUnanswered(err error) bool {
	var failed *fault.Error
	return errors.As(err, &failed)
}

// isUnsent reports whether a forwarded request certainly did not leave this host.
func isUnsent(err error) bool {
	var failed *fault.Error
	return errors.As(err, &failed) && failed.Verdict == fault.NotRun
}

// holderElsewhere returns the peer address of a living holder, or nothing if
// this host is one. A holder that the caller could not reach is passed by and
// tested, since this host may notice later than the caller.
func (d *Daemon) holderElsewhere(s *service, avoid string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.isHolder(s) || d.draining.Load() {
		return ""
	}
	for _, h := range s.holders {
		m, found := d.members.Lookup(time.Now(), h.Name)
		if !found {
			continue
		}
		if h.Name != avoid {
			return m.PeerAddress
		}
		d.done.Go(func() { d.testConnection(m.PeerAddress) })
	}
	return ""
}

// forward passes a request on. If the answer is late, the connection is tested,
// because something between the hosts may have lost track of it.
func (d *Daemon) forward(ctx context.Context, address string, request *route.Request, w http.ResponseWriter) error {
	d.counters.forwards.Inc()
	watch := time.AfterFunc(forwardSuspect, func() { d.testConnection(address) })
	defer watch.Stop()
	d.events.Add(event.Event{Kind: "RequestForwarded", Service: request.Service, Request: request.ID, Cause: "to " + address})
	return d.peers.Forward(ctx, address, request, w)
}

// testConnection drops the connection to a host that does not answer a heartbeat on it.
func (d *Daemon) testConnection(address string) {
	if !d.startTest(address) {
		return
	}
	defer d.endTest(address)
	ctx, cancel := context.WithTimeout(d.ctx, forwardTest)
	defer cancel()
	own := d.newHeartbeat(time.Now(), "")
	if _, err := d.peers.Heartbeat(ctx, address, &own); err != nil {
		d.peerLog.Warn("connection to an entry host is silent; dropping it", "Peer", address)
		d.peers.Drop(address)
		d.failMember(address)
	}
}

// startTest reports whether no test of a connection runs yet, and notes that one does.
func (d *Daemon) startTest(address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.addressesUnderTest[address] {
		return false
	}
	d.addressesUnderTest[address] = true
	return true
}

func (d *Daemon) endTest(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.addressesUnderTest, address)
}

// failMember takes a host that does not answer out of use until it is heard of again.
func (d *Daemon) failMember(address string) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, m := range d.members.Alive(now) {
		if m.PeerAddress == address {
			d.members.Refused(now, m.Name, m.Incarnation)
		}
	}
	d.refreshHolders()
}
