package facts_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"gitlab.com/curranttiller/curranttiller/pkg/facts"
)

// host is a host of a fleet in which all start at the same time.
type host struct {
	requester facts.Requester
	tree      *facts.DistributionTree
	hasTopic  bool
	// snapshotsSent is the number of snapshots that the host sent to others.
	snapshotsSent int
}

// TestFleetStart starts all hosts at the same time, as after a loss of power, so that
// all request the topic from the same three. It guards against a host that has to send
// the topic to most of the others.
func TestFleetStart(t *testing.T) {
	tests := []struct {
		name  string
		hosts int
		// maxRounds bounds the time of the start, and maxRemoteCopies the copies between failure domains.
		maxRounds, maxRemoteCopies int
	}{
		{name: "a small fleet", hosts: 13, maxRounds: 3, maxRemoteCopies: 10},
		{name: "hundreds of hosts", hosts: 313, maxRounds: 6, maxRemoteCopies: 15},
		{name: "a thousand hosts", hosts: 1000, maxRounds: 8, maxRemoteCopies: 15},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(tt.hosts)
			rounds := 0
			for f.isIncomplete() {
				is.True(rounds < tt.maxRounds)
				f.requestAll()
				rounds++
			}
			is.True(f.remoteCopies <= tt.maxRemoteCopies)
			for _, h := range f.order {
				is.True(h.snapshotsSent <= 8) // four hosts of its own failure domain and one of each of the four others
			}
		})
	}
}

// fleet is a number of hosts in five failure domains; the first three have the topic.
type fleet struct {
	all          map[string]*host
	order        []*host
	remoteCopies int
}

func newFleet(hosts int) *fleet {
	f := &fleet{all: make(map[string]*host)}
	for i := range hosts {
		h := &host{requester: facts.Requester{Address: fmt.Sprintf("h%d", i), FailureDomain: fmt.Sprintf("d%d", i%5)}, hasTopic: i < 3}
		h.tree = facts.NewDistributionTree(h.requester.FailureDomain)
		f.all[h.requester.Address] = h
		f.order = append(f.order, h)
	}
	return f
}

func (f *fleet) isIncomplete() bool {
	return slices.ContainsFunc(f.order, func(h *host) bool { return !h.hasTopic })
}

// requestAll has every host without the topic request it from one of the first three.
func (f *fleet) requestAll() {
	var received []*host
	for i, h := range f.order {
		sender := f.request(h, f.order[i%3])
		if h.hasTopic || sender == nil {
			continue
		}
		sender.snapshotsSent++
		received = append(received, h)
		if sender.requester.FailureDomain != h.requester.FailureDomain {
			f.remoteCopies++
		}
	}
	for _, h := range received {
		h.hasTopic = true
	}
}

// request has h request the topic from a host and follow the redirects. It returns the
// host that sends the topic, or nil if there is none.
func (f *fleet) request(h, asked *host) *host {
	const maxRedirects = 8
	if h.hasTopic {
		return nil
	}
	for range maxRedirects {
		if !asked.hasTopic {
			return nil
		}
		redirected := asked.tree.Redirect(time.Unix(100, 0), &h.requester, nil)
		if redirected == "" {
			return asked
		}
		asked = f.all[redirected]
	}
	return nil
}

func TestRedirect(t *testing.T) {
	now := time.Unix(100, 0)
	tests := []struct {
		name      string
		requester facts.Requester
		relays    []string
		want      string
	}{
		{name: "host of the same failure domain is served", requester: facts.Requester{Address: "a", FailureDomain: "own"}},
		{name: "host of another failure domain is redirected to a relay there", requester: facts.Requester{Address: "a", FailureDomain: "far"}, relays: []string{"b"}, want: "b"},
		{name: "relay is not redirected to itself", requester: facts.Requester{Address: "b", FailureDomain: "far"}, relays: []string{"b"}},
		{name: "host whose redirect failed is served", requester: facts.Requester{Address: "a", FailureDomain: "far", RedirectFailed: true}, relays: []string{"b"}},
		{name: "host without an address is served", requester: facts.Requester{FailureDomain: "far"}, relays: []string{"b"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(facts.NewDistributionTree("own").Redirect(now, &tt.requester, tt.relays), tt.want)
		})
	}
}

// TestTreeIsBounded guards against requesters that name ever new failure domains (issue 40).
// A domain for which there is no room gets its snapshot too, and room comes back with time.
func TestTreeIsBounded(t *testing.T) {
	is := is.New(t)
	tree := facts.NewDistributionTree("d0")
	now := time.Unix(1000, 0)
	const domains = 1000
	for i := range domains {
		requester := facts.Requester{Address: "192.0.2.1:1", FailureDomain: fmt.Sprintf("f%d", i)}
		is.Equal(tree.Redirect(now, &requester, nil), "")
	}
	// Only the first ones were remembered, so that another host of theirs is redirected.
	isRedirected := func(now time.Time, domain int) bool {
		requester := facts.Requester{Address: "192.0.2.2:1", FailureDomain: fmt.Sprintf("f%d", domain)}
		return tree.Redirect(now, &requester, nil) != ""
	}
	is.True(isRedirected(now, 0))
	is.True(!isRedirected(now, domains-1))
	now = now.Add(time.Minute)
	is.True(!isRedirected(now, domains-1))
	is.True(isRedirected(now, domains-1) || tree.Redirect(now, &facts.Requester{Address: "192.0.2.3:1", FailureDomain: fmt.Sprintf("f%d", domains-1)}, nil) != "")
}
