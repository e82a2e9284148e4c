package table

import (
	"cmp"
	"net"
	"slices"
	"strings"
	"time"
)

// Share is a service's part of the requests of a route.
type Share struct {
	Service string
	// Weight is relative to the other shares of the route.
	Weight float64
}

// Terms are what the operator grants each request of a route.
type Terms struct {
	// Class names requests of one kind; latencies are compared within a class.
	Class string
	// Idempotent requests may run more than once.
	Idempotent bool
	// AttemptsAtMost bounds the targets that one request is sent to.
	AttemptsAtMost int
	// TimeLimit is the longest time from arrival to the final answer.
	TimeLimit time.Duration
	// Objective is the latency within which an answer is worth most.
	Objective time.Duration
	// Priority is the rank among the requests of a service; zero goes first.
	Priority int
}

// Route sends the requests below a path of a host name to services.
type Route struct {
	Terms

	// Host is the name that callers ask for, in lower case and without a port.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Shares []Share
}

// Table is one version of all routes; it is immutable.
type Table struct {
	version uint64
	routes  map[string][]Route
}

// New returns a table; within a host name the longest prefix comes first.
func New(version uint64, routes []Route) *Table {
	t := &Table{version: version, routes: make(map[string][]Route)}
	for i := range routes {
		host := routes[i].Host
		t.routes[host] = append(t.routes[host], routes[i])
	}
	for _, list := range t.routes {
		slices.SortStableFunc(list, func(a, b Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t
}

// Version returns the version that the operator gave the table.
func (t *Table) Version() uint64 {
	return t.version
}

// Match returns the route of a request, or nil.
func (t *Table) Match(host, path string) *Route {
	list := t.routes[CanonicalHost(host)]
	for i := range list {
		if strings.HasPrefix(path, list[i].Prefix) {
			return &list[i]
		}
	}
	return nil
}

// CanonicalHost returns a host name as routes spell it: in lower case, without a port.
func CanonicalHost(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}

// Splitter deals the requests of routes to services in proportion to the
// weights, as evenly as possible; it is not safe for concurrent use.
type Splitter struct {
	// credits is what each service of a route has coming, by class of the route.
	credits map[string]map[string]float64
	// phase returns where the turn of a new route begins, from 0 to below 1.
	phase func() float64
}

// NewSplitter returns a splitter; a random phase keeps hosts from dealing in step.
func NewSplitter(phase func() float64) *Splitter {
	return &Splitter{credits: make(map[string]map[string]float64), phase: phase}
}

// Next returns the service of the next request of a route, or an empty name if
// the route has no share with a weight.
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
	credit := s.creditsOf(route, total)
	best := ""
	for _, share := range route.Shares {
		credit[share.Service] += share.Weight / total
		if share.Weight > 0 && (best == "" || credit[share.Service] > credit[best]) {
			best = share.Service
		}
	}
	credit[best]--
	return best
}

// creditsOf returns the credit of a route. A changed set of services starts anew.
func (s *Splitter) creditsOf(route *Route, total float64) map[string]float64 {
	key := route.Host + route.Prefix
	credit, found := s.credits[key]
	if found && len(credit) == len(route.Shares) && hasAll(credit, route.Shares) {
		return credit
	}
	credit = make(map[string]float64, len(route.Shares))
	for _, share := range route.Shares {
		credit[share.Service] = s.phase() * share.Weight / total
	}
	s.credits[key] = credit
	return credit
}

func hasAll(credit map[string]float64, shares []Share) bool {
	return !slices.ContainsFunc(shares, func(share Share) bool {
		_, found := credit[share.Service]
		return !found
	})
}
