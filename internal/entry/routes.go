package entry

import (
	"net/http"
	"time"

	"gitlab.com/curranttiller/curranttiller/pkg/event"
	"gitlab.com/curranttiller/curranttiller/pkg/fault"
	"gitlab.com/curranttiller/curranttiller/pkg/member"
	"gitlab.com/curranttiller/curranttiller/pkg/steer"
	"gitlab.com/curranttiller/curranttiller/pkg/table"
)

// Destination is where a request goes by the routes in force.
type Destination struct {
	Service string
	Terms   *table.Terms
}

// Route finds the destination of a request. A host that does not know the newest
// configuration cannot say that there is no route.
func (d *Daemon) Route(host, path string) (Destination, *fault.Error) {
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
	service := d.splitter.Next(route)
	if service == "" {
		return Destination{}, fault.New(fault.NotRun, http.StatusServiceUnavailable, "RouteWithoutService")
	}
	return Destination{Service: service, Terms: &route.Terms}, nil
}

// IsReady reports whether callers may be sent to this host.
func (d *Daemon) IsReady() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ready && !d.draining.Load()
}

// Asker is a caller that asks where to connect.
type Asker struct {
	// Address tells callers apart that are told of different hosts.
	Address string
	// FailureDomain is where the caller is; empty if it did not say.
	FailureDomain string
	// Most is how many addresses it takes.
	Most int
}

// EntryAddresses returns the addresses that a caller may connect to, and how long
// the answer may be kept.
func (d *Daemon) EntryAddresses(asker Asker) ([]string, time.Duration, *fault.Error) {
	now := time.Now()
	if d.isResuming(now) {
		return nil, 0, fault.New(fault.NotRun, http.StatusServiceUnavailable, "Resuming")
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.ready {
		return nil, 0, fault.New(fault.NotRun, http.StatusServiceUnavailable, "ConfigurationUnknown")
	}
	if !d.settling.IsOver() {
		// Callers ask another host, or go on with the answer that they have.
		return nil, 0, fault.New(fault.NotRun, http.StatusServiceUnavailable, "EntryHostsUnknown")
	}
	var addresses []string
	for _, h := range steer.Named(d.selectSteered(d.aliveHosts(now)), asker.Address, asker.FailureDomain, asker.Most) {
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
