package facts_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"gitlab.com/curranttiller/curranttiller/pkg/facts"
)

// host is a host that starts together with all others.
type host struct {
	asker facts.Requester
	tree  *facts.DistributionTree
	knows bool
	gave  int
}

// TestStartOfAFleet lets all hosts ask the same three, as after a loss of power.
func TestStartOfAFleet(t *testing.T) {
	tests := []struct {
		name  string
		hosts int
		// rounds bounds the time of the start, and crossings the copies between failure domains.
		rounds, crossings int
	}{
		{name: "a small fleet", hosts: 13, rounds: 3, crossings: 10},
		{name: "hundreds", hosts: 313, rounds: 6, crossings: 15},
		{name: "a thousand", hosts: 1000, rounds: 8, crossings: 15},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(tt.hosts)
			rounds := 0
			for f.isMissing() {
				is.True(rounds < tt.rounds)
				f.askAll()
				rounds++
			}
			is.True(f.crossings <= tt.crossings)
			for _, h := range f.order {
				is.True(h.gave <= 8) // four of the own failure domain and one of each other
			}
		})
	}
}

// fleet is hosts in five failure domains, of which the first three know the topic.
type fleet struct {
	all       map[string]*host
	order     []*host
	crossings int
}

func newFleet(hosts int) *fleet {
	f := &fleet{all: make(map[string]*host)}
	for i := range hosts {
		h := &host{asker: facts.Requester{Address: fmt.Sprintf("h%d", i), FailureDomain: fmt.Sprintf("d%d", i%5)}, knows: i < 3}
		h.tree = facts.NewDistributionTree(h.asker.FailureDomain)
		f.all[h.asker.Address] = h
		f.order = append(f.order, h)
	}
	return f
}

func (f *fleet) isMissing() bool {
	return slices.ContainsFunc(f.order, func(h *host) bool { return !h.knows })
}

// askAll lets every host that does not know the topic ask one of the first three.
func (f *fleet) askAll() {
	var learned []*host
	for i, h := range f.order {
		from := f.ask(h, f.order[i%3])
		if h.knows || from == nil {
			continue
		}
		from.gave++
		learned = append(learned, h)
		if from.asker.FailureDomain != h.asker.FailureDomain {
			f.crossings++
		}
	}
	for _, h := range learned {
		h.knows = true
	}
}

// ask follows a host from the one that it asks first to the one that answers, or to nobody.
func (f *fleet) ask(h, first *host) *host {
	const hops = 8
	if h.knows {
		return nil
	}
	for range hops {
		if !first.knows {
			return nil
		}
		elsewhere := first.tree.Redirect(time.Unix(100, 0), &h.asker, nil)
		if elsewhere == "" {
			return first
		}
		first = f.all[elsewhere]
	}
	return nil
}

func TestRedirect(t *testing.T) {
	now := time.Unix(100, 0)
	tests := []struct {
		name   string
		asker  facts.Requester
		relays []string
		want   string
	}{
		{name: "answers a neighbour", asker: facts.Requester{Address: "a", FailureDomain: "own"}},
		{name: "sends others to hosts near them", asker: facts.Requester{Address: "a", FailureDomain: "far"}, relays: []string{"b"}, want: "b"},
		{name: "a relay is not sent to itself", asker: facts.Requester{Address: "b", FailureDomain: "far"}, relays: []string{"b"}},
		{name: "answers one that was helped nowhere", asker: facts.Requester{Address: "a", FailureDomain: "far", RedirectFailed: true}, relays: []string{"b"}},
		{name: "answers one that cannot be named", asker: facts.Requester{FailureDomain: "far"}, relays: []string{"b"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(facts.NewDistributionTree("own").Redirect(now, &tt.asker, tt.relays), tt.want)
		})
	}
}
