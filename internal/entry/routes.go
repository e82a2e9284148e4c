package entry

import (
	"net/http"
	"time"

	"gitlab.com/curranttiller/curranttiller/pkg/event"
	"gitlab.com/curranttiller/curranttiller/pkg/fault"
	"gitlab.com/curranttiller/curranttiller/pkg/member"
	"gitlab.com/curranttiller/curranttiller/pkg/orgs"
	"gitlab.com/curranttiller/curranttiller/pkg/steer"
	"gitlab.com/curranttiller/curranttiller/pkg/table"
)

// Destination is the service that a request is sent to, with the terms of its route.
type Destination struct {
	Service string
	Terms   *table.Terms
	// HasOrganisations says that the configuration has organisations. The request then
	// belongs to Organisation, by the key with the digest Key, or to none if its route is
	// public.
	HasOrganisations bool
	Organisation     *orgs.Organisation
	Key              orgs.Digest
}

// Route finds the destination of a request by its HTTP host, its path and the keys that it
// carries. If no route matches, the reason is NoRoute, or RouteMayBeNewer if the
// configuration is older than noRouteMaxAge.
func (d *Daemon) Route(host, path string, keys []string) (Destination, *fault.Error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.ready {
		return Destination{}, fault.New(fault.NotRun, http.StatusServiceUnavailable, "ConfigurationUnknown")
	}
	route := d.routes.Match(host, path)
	if route == nil {
		if d.configuration.topic.Age(time.Now()) > noRouteMaxAge {
			return Destination{}, fault.New(fault.NotRun, http.StatusServiceUnavailable, "RouteMayBeNewer")
		}
		return Destination{}, fault.New(fault.NotRun, http.StatusNotFound, "NoRoute")
	}
	destination := Destination{Terms: &route.Terms}
	if failed := d.assignOrganisation(&destination, route, keys); failed != nil {
		return Destination{}, failed
	}
	destination.Service = d.splitter.Next(route)
	if destination.Service == "" {
		return Destination{}, fault.New(fault.NotRun, http.StatusServiceUnavailable, "RouteWithoutService")
	}
	return destination, nil
}

// CallerLimits returns the limits for callers that the configuration in force states. It does
// not block.
func (d *Daemon) CallerLimits() table.CallerLimits {
	if limits := d.callerLimits.Load(); limits != nil {
		return *limits
	}
	return table.CallerLimits{}
}

// IsReady reports whether callers may be sent to this host.
func (d *Daemon) IsReady() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ready && !d.draining.Load()
}

// AddressQuery is a caller's request for the addresses of entry hosts.
type AddressQuery struct {
	// CallerAddress decides which hosts the answer names if there are more than
	// MaxAddresses. The same address gets the same ones until the steered hosts change.
	CallerAddress string
	// FailureDomain is the caller's; empty if unknown.
	FailureDomain string
	// MaxAddresses is the largest number of addresses in the answer.
	MaxAddresses int
}

// EntryAddresses returns the addresses that a caller may connect to, and how long it
// may use them before it must query again.
func (d *Daemon) EntryAddresses(query AddressQuery) ([]string, time.Duration, *fault.Error) {
	now := time.Now()
	if d.isResuming(now) {
		return nil, 0, fault.New(fault.NotRun, http.StatusServiceUnavailable, "Resuming")
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.ready {
		return nil, 0, fault.New(fault.NotRun, http.StatusServiceUnavailable, "ConfigurationUnknown")
	}
	if !d.joinPhase.IsOver() {
		// Callers query another host or keep using their last answer.
		return nil, 0, fault.New(fault.NotRun, http.StatusServiceUnavailable, "EntryHostsUnknown")
	}
	var addresses []string
	for _, h := range steer.HostsForCaller(d.selectSteered(d.aliveHosts(now)), query.CallerAddress, query.FailureDomain, query.MaxAddresses) {
		if m, found := d.members.Lookup(now, h.Name); found && m.State == member.Alive {
			addresses = append(addresses, m.CallerAddress)
		}
	}
	if len(addresses) == 0 {
		d.events.Add(event.Event{Kind: "DirectoryEmpty"})
		return nil, 0, fault.New(fault.NotRun, http.StatusServiceUnavailable, "NoEntryHost")
	}
	return addresses, d.settings.DirectoryHold, nil
}
