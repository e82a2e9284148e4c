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
	// suspectForwardAfter is how long a forwarded request may go unanswered before the connection to the other host is tested.
	suspectForwardAfter = 150 * time.Millisecond
	// connectionTestTimeout bounds the heartbeat that tests a connection.
	connectionTestTimeout = 250 * time.Millisecond
)

// Serve answers one request of a caller or of another entry host. The error is
// route.ErrTruncated if the answer broke off after its head. For a request with a route it
// may also be a *fault.Error, and whoever calls Serve has to write the answer to it.
// For a request without a route, Serve writes that answer to w itself.
func (d *Daemon) Serve(ctx context.Context, request *route.Request, w http.ResponseWriter) error {
	if request.Terms != nil {
		return d.serveRouted(ctx, request, w)
	}
	w.Header().Set(header.RequestID, request.ID)
	err := d.serve(ctx, request, w)
	if err == nil || errors.Is(err, route.ErrTruncated) {
		return err
	}
	failed := route.AsFault(err)
	d.recordFault(request, failed)
	route.WriteFault(w, request.ID, failed)
	return nil
}

// serveRouted serves a request that has a route. It never forwards the request to
// another host. Errors are route.ErrTruncated or a *fault.Error.
func (d *Daemon) serveRouted(ctx context.Context, request *route.Request, w http.ResponseWriter) error {
	s, err := d.lookupService(request)
	if err == nil {
		err = s.serveAdmitted(ctx, request, w)
	}
	if err == nil || errors.Is(err, route.ErrTruncated) {
		return err
	}
	failed := route.AsFault(err)
	d.recordFault(request, failed)
	return failed
}

// recordFault records a failed request in the events, the log and the metrics.
func (d *Daemon) recordFault(request *route.Request, failed *fault.Error) {
	d.events.Add(event.Event{Kind: "RequestFailed", Service: d.serviceLabel(request.Service), Request: request.ID, Cause: failed.Error()})
	d.logFailedRequest(request, failed)
	d.metrics.GetOrCreateCounter(`curranttiller_faults_total{verdict="` + failed.Verdict.String() + `",reason="` + failed.Reason + `"}`).Inc()
}

// serve deduplicates keyed requests before any other check can refuse them. A refusal
// with the verdict NotRun applies to every submission of the key, so only the key's
// home may send it.
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
	return d.forwardToHome(ctx, request, key, w)
}

// lookupService returns the service of a request, or a *fault.Error that says why this host cannot serve it.
func (d *Daemon) lookupService(request *route.Request) (*service, error) {
	if d.isIsolated(time.Now()) {
		return nil, fault.New(fault.NotRun, http.StatusServiceUnavailable, "Isolated")
	}
	if failed := d.refuseDuringStop(time.Now(), request); failed != nil {
		return nil, failed
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

// serveUnkeyed serves a request without an idempotency key. If this host is no holder of
// the service, it forwards the request to one. If that fails before any answer, it
// serves the request here, provided that it was not sent or is idempotent, and that its
// body can be sent again.
func (d *Daemon) serveUnkeyed(ctx context.Context, request *route.Request, w http.ResponseWriter) error {
	s, err := d.lookupService(request)
	if err != nil {
		return err
	}
	address := d.remoteHolder(s, request.Header.Get(header.Avoid))
	if address == "" || request.Forwarded {
		return s.serveRequest(ctx, request, w)
	}
	body, err := newRequestBody(ctx, request)
	if err != nil {
		return d.bodyFault(err)
	}
	request.Body = body.take()
	err = d.forward(ctx, address, request, w)
	if !isUnsent(err) && (!request.IsIdempotent() || !isUnanswered(err)) {
		return err
	}
	if !body.canBeTaken() {
		return err
	}
	request.Body = body.take()
	return s.serveRequest(ctx, request, w)
}

// isUnanswered reports whether a forwarded request failed before any part of an answer was written.
func isUnanswered(err error) bool {
	var failed *fault.Error
	return errors.As(err, &failed)
}

// isUnsent reports whether a forwarded request certainly did not leave this host.
func isUnsent(err error) bool {
	var failed *fault.Error
	return errors.As(err, &failed) && failed.Verdict == fault.NotRun
}

// remoteHolder returns the peer address of a holder of the service. It returns an empty
// string if the request is to be served here, because this host is a holder, is leaving
// or finds no other holder. It skips the holder named avoid, which the caller could not
// reach, and tests the connection to it, because this host may detect the failure later
// than the caller.
func (d *Daemon) remoteHolder(s *service, avoid string) string {
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

// forward sends a request to the entry host at a peer address. If the answer is late
// it tests the connection, because a device on the path may have lost its state.
func (d *Daemon) forward(ctx context.Context, address string, request *route.Request, w http.ResponseWriter) error {
	d.counters.forwards.Inc()
	timer := time.AfterFunc(suspectForwardAfter, func() { d.testConnection(address) })
	defer timer.Stop()
	d.events.Add(event.Event{Kind: "RequestForwarded", Service: request.Service, Request: request.ID, Cause: "to " + address})
	return d.peers.Forward(ctx, address, request, w)
}

// testConnection sends a heartbeat to a host. If there is no answer it drops the
// connection and marks the host as unreachable.
func (d *Daemon) testConnection(address string) {
	if !d.startConnectionTest(address) {
		return
	}
	defer d.endConnectionTest(address)
	ctx, cancel := context.WithTimeout(d.ctx, connectionTestTimeout)
	defer cancel()
	heartbeat := d.newHeartbeat(time.Now(), "")
	if _, err := d.peers.Heartbeat(ctx, address, &heartbeat); err != nil {
		d.peerLog.Warn("entry host did not answer a heartbeat; dropping the connection", "Peer", address)
		d.peers.Disconnect(address)
		d.markUnreachable(address)
	}
}

// startConnectionTest registers a test of the connection to an address. It returns
// false if one is running already.
func (d *Daemon) startConnectionTest(address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.addressesUnderTest[address] {
		return false
	}
	d.addressesUnderTest[address] = true
	return true
}

func (d *Daemon) endConnectionTest(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.addressesUnderTest, address)
}

// markUnreachable marks the host at a peer address as failed until a newer heartbeat
// counter of it, a beacon of it or a relay's report on it is received.
func (d *Daemon) markUnreachable(address string) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, m := range d.members.Alive(now) {
		if m.PeerAddress == address {
			d.members.MarkUnreachable(now, m.Name, m.Incarnation)
		}
	}
	d.refreshHolders()
}
