package entry

import (
	"net/http"
	"time"

	"gitlab.com/curranttiller/curranttiller/internal/route"
	"gitlab.com/curranttiller/curranttiller/pkg/fault"
	"gitlab.com/curranttiller/curranttiller/pkg/orgs"
	"gitlab.com/curranttiller/curranttiller/pkg/table"
)

const (
	// reasonKeyMayBeNewer refuses a request whose key is unknown to a host whose
	// configuration is older than noRouteMaxAge.
	reasonKeyMayBeNewer = "KeyMayBeNewer"
	// reasonKeyTakenAway and reasonKeyMoved refuse a request whose key was taken away, or was
	// given to another organisation, after the request had been assigned to one.
	reasonKeyTakenAway = "KeyTakenAway"
	reasonKeyMoved     = "KeyMoved"
)

// replaceRoutes puts routes in force, with their organisations, and has the requests that
// wait check their keys again; d.mu is held.
func (d *Daemon) replaceRoutes(routes *table.Table) {
	d.routes = routes
	limits := routes.CallerLimits()
	d.callerLimits.Store(&limits)
	close(d.routesReplaced)
	d.routesReplaced = make(chan struct{})
}

// assignOrganisation sets the organisation of a request by the keys that it carries, under
// the configuration in force; d.mu is held.
func (d *Daemon) assignOrganisation(destination *Destination, matched *table.Route, keys []string) *fault.Error {
	organisations := d.routes.Organisations()
	if organisations == nil {
		return nil
	}
	destination.HasOrganisations = true
	if matched.Public {
		return nil
	}
	var reason string
	destination.Organisation, destination.Key, reason = organisations.Assign(keys)
	if reason == "" {
		return nil
	}
	failed := d.refuseKey(reason)
	d.counters.countRefusedKey(failed.Reason)
	return failed
}

// refuseKey returns the error of a request without a valid key; d.mu is held.
func (d *Daemon) refuseKey(reason string) *fault.Error {
	status := http.StatusUnauthorized
	switch {
	case d.configuration.topic.Age(time.Now()) > noRouteMaxAge:
		// A newer configuration may have the key.
		reason, status = reasonKeyMayBeNewer, http.StatusServiceUnavailable
	case reason == orgs.ReasonKeyRepeated:
		status = http.StatusBadRequest
	case reason == reasonKeyMoved:
		// The caller may try again on behalf of the other organisation.
		status = http.StatusServiceUnavailable
	}
	return fault.New(fault.NotRun, status, reason)
}

// checkKey returns an error if a request may not be sent to a target any more, because its
// key is no longer held by the organisation that the request was assigned to.
func (r *activeRequest) checkKey() *fault.Error {
	if r.request.Organisation == nil {
		return nil
	}
	d := r.service.daemon
	d.mu.Lock()
	defer d.mu.Unlock()
	r.routesReplaced = d.routesReplaced
	failed := d.checkKey(r.request)
	if failed == nil {
		return nil
	}
	if r.running == 0 {
		// The request ends with this error.
		d.counters.countRefusedKey(failed.Reason)
	}
	return r.withEarlierAttempts(failed)
}

// hasKey reports whether the key of a request still belongs to its organisation.
func (d *Daemon) hasKey(request *route.Request) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.checkKey(request) == nil
}

// checkKey is activeRequest.checkKey without the earlier attempts; d.mu is held.
func (d *Daemon) checkKey(request *route.Request) *fault.Error {
	owner := d.routes.Organisations().Owner(request.Key)
	switch {
	case owner != nil && owner.Name == request.Organisation.Name:
		return nil
	case owner != nil || d.routes.Organisations() == nil:
		return d.refuseKey(reasonKeyMoved)
	default:
		return d.refuseKey(reasonKeyTakenAway)
	}
}
