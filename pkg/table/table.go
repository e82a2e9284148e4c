package table

import (
	"net"
	"slices"
	"strings"
	"time"

	"gitlab.com/curranttiller/curranttiller/pkg/orgs"
)

// Share is the share of a route's requests that one service gets.
type Share struct {
	Service string
	// Weight is relative to the sum of the weights of the route. A service with zero gets
	// no requests, unless it is the only one of the route.
	Weight float64
}

// Terms are the limits and objectives that the operator has set for each request of a route.
type Terms struct {
	// Class names a group of requests with similar latencies. Latencies are compared only within a class.
	Class string
	// Idempotent says that a request may run more than once.
	Idempotent bool
	// AttemptsAtMost is the largest number of attempts of one request, the first included.
	AttemptsAtMost int
	// TimeLimit is the longest time from the arrival of a request to the end of its response.
	TimeLimit time.Duration
	// Objective is the latency that the response should not exceed.
	Objective time.Duration
	// Priority is the rank in the queue of a service. Requests with a lower value go first.
	Priority int
}

// Route assigns the requests with a host name and a path prefix to services.
type Route struct {
	Terms

	// Host is the host name of the requests, as CanonicalHost returns it.
	Host string
	// Prefix is the start of the paths of the requests. It begins and ends with a slash.
	Prefix string
	Shares []Share
	// Public says that the requests need no key of an organisation.
	Public bool
}

// Table holds one version of all routes. It is immutable.
type Table struct {
	version uint64
	hosts   map[string]*hostRoutes
	// organisations is nil if there are none.
	organisations *orgs.Registry
	callerLimits  CallerLimits
}

// New returns a table of routes. Of two routes with the same host name and prefix, the first one is used.
func New(version uint64, routes []Route) *Table {
	lists := make(map[string][]Route)
	for i := range routes {
		host := routes[i].Host
		lists[host] = append(lists[host], routes[i])
	}
	t := &Table{version: version, hosts: make(map[string]*hostRoutes, len(lists))}
	for host, list := range lists {
		t.hosts[host] = newHostRoutes(list)
	}
	return t
}

// Version returns the version number of the table, as passed to New.
func (t *Table) Version() uint64 {
	return t.version
}

// CallerLimits are what the operator allows callers to send, and how long they may take. Zero
// means that the configuration states no limit.
type CallerLimits struct {
	// HeadBytes is the size of the largest head of a request, and BodyBytes that of the
	// largest body.
	HeadBytes, BodyBytes int
	// HeadTimeout is how long a head may take, and IdleTimeout how long a connection may be
	// idle between two requests.
	HeadTimeout, IdleTimeout time.Duration
}

// WithCallerLimits returns a copy with the limits for callers of the same version of the
// configuration.
func (t *Table) WithCallerLimits(limits CallerLimits) *Table {
	changed := *t
	changed.callerLimits = limits
	return &changed
}

// CallerLimits returns the limits for callers.
func (t *Table) CallerLimits() CallerLimits {
	return t.callerLimits
}

// WithOrganisations returns a copy with the organisations of the same version of the configuration.
func (t *Table) WithOrganisations(organisations *orgs.Registry) *Table {
	changed := *t
	changed.organisations = organisations
	return &changed
}

// Organisations returns the organisations whose keys requests need, or nil if requests need no keys.
func (t *Table) Organisations() *orgs.Registry {
	return t.organisations
}

// Match returns the route for a host name, with or without a port, and a path as it was
// sent, without the query. It is the one with the longest prefix that begins the path, byte
// by byte, or nil if none does. If the path can be read in other ways that lead to other
// routes, the result has the strictest terms of all these routes, and is nil if one of the
// ways leads to none.
func (t *Table) Match(host, path string) *Route {
	routes, found := t.hosts[CanonicalHost(host)]
	if !found {
		return nil
	}
	return routes.match(path)
}

// CanonicalHost returns a host name in lower case, without a port and a final dot.
func CanonicalHost(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}

// Splitter divides the requests of routes among their services in proportion to the
// weights, by smooth weighted round robin. It is not safe for concurrent use.
type Splitter struct {
	// credits has the number of requests that each service of a route is due. It is below
	// zero after the service got a request early. The first key is the host name and prefix of
	// the route, the second the service.
	credits map[string]map[string]float64
	// phase returns a random number from 0 to below 1.
	phase func() float64
}

// NewSplitter returns a splitter. The function phase must return random numbers from 0
// to below 1. They determine where the rotation of a route starts, so that the entry
// hosts don't all send their first requests to the same service.
func NewSplitter(phase func() float64) *Splitter {
	return &Splitter{credits: make(map[string]map[string]float64), phase: phase}
}

// Next returns the service for the next request of a route. If the route has only one
// service, it returns this one whatever its weight. Otherwise it returns an empty name
// if all weights are zero.
func (s *Splitter) Next(route *Route) string {
	if len(route.Shares) == 1 {
		return route.Shares[0].Service
	}
	total := 0.0
	for _, share := range route.Shares {
		total += share.Weight
	}
	if total <= 0 {
		return ""
	}
	credits := s.creditsOf(route, total)
	best := ""
	for _, share := range route.Shares {
		credits[share.Service] += share.Weight / total
		if share.Weight > 0 && (best == "" || credits[share.Service] > credits[best]) {
			best = share.Service
		}
	}
	credits[best]--
	return best
}

// creditsOf returns the credits of a route by service. It resets them if the set of services has changed.
func (s *Splitter) creditsOf(route *Route, total float64) map[string]float64 {
	key := route.Host + route.Prefix
	credits, found := s.credits[key]
	if found && len(credits) == len(route.Shares) && hasAll(credits, route.Shares) {
		return credits
	}
	credits = make(map[string]float64, len(route.Shares))
	for _, share := range route.Shares {
		credits[share.Service] = s.phase() * share.Weight / total
	}
	s.credits[key] = credits
	return credits
}

// hasAll reports whether credits has all services of the shares.
func hasAll(credits map[string]float64, shares []Share) bool {
	return !slices.ContainsFunc(shares, func(share Share) bool {
		_, found := credits[share.Service]
		return !found
	})
}
