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

// Serve answers one request of a caller or of another entry host. It returns
// route.ErrCut if the answer broke off after its head, and nil otherwise.
func (d *Daemon) Serve(ctx context.Context, request *route.Request, w http.ResponseWriter) error {
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

func (d *Daemon) noteFault(request *route.Request, failed *fault.Error) {
	d.events.Add(event.Event{Kind: "RequestFailed", Service: request.Service, Request: request.ID, Cause: failed.Error()})
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
	if address := d.holderElsewhere(s); address != "" && !request.Forwarded {
		err := d.forward(ctx, address, request, w)
		if !isUnsent(err) {
			return err
		}
	}
	return s.run(ctx, request, w)
}

// isUnsent reports whether a forwarded request certainly did not leave this host.
func isUnsent(err error) bool {
	var failed *fault.Error
	return errors.As(err, &failed) && failed.Verdict == fault.NotRun
}

// holderElsewhere returns the peer address of a living holder, or nothing if this host is one.
func (d *Daemon) holderElsewhere(s *service) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.isHolder(s) || d.draining.Load() {
		return ""
	}
	for _, h := range s.holders {
		if m, found := d.members.Lookup(time.Now(), h.Name); found {
			return m.PeerAddress
		}
	}
	return ""
}

func (d *Daemon) forward(ctx context.Context, address string, request *route.Request, w http.ResponseWriter) error {
	d.counters.forwards.Inc()
	d.events.Add(event.Event{Kind: "RequestForwarded", Service: request.Service, Request: request.ID, Cause: "to " + address})
	return d.peers.Forward(ctx, address, request, w)
}
